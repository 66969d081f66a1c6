#pragma once

#include "samphiretray/orders/claim_batcher.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

/// Entries, one claim shard and the key-value service in virtual time.
namespace samphiretray::orders::testing {

struct faults {
    /// Of 100 calls, how many are lost, lose their answer, or take effect late.
    int lost = 0;
    int answer_lost = 0;
    int late = 0;
    bool service_down = false;
};

struct world {
    struct entry {
        claim_batcher batcher;
        /// Which incarnation calls and answers belong to.
        int start = 0;
        std::map<std::string, std::string> key_of;
    };

    world(int count, std::uint64_t seed, claim_batcher_options chosen = {}) : random(seed), options(chosen) {
        for (int each = 0; each < count; ++each) {
            entries.push_back({claim_batcher{0, {}, options}, 0, {}});
        }
    }

    void order(std::size_t by, const std::string& key, const std::string& content, duration patience) {
        const std::string request = "r" + std::to_string(++requests);
        entries[by].key_of[request] = key;
        entries[by].batcher.claim_call({key, content, request, now + patience}, now);
    }

    void crash(std::size_t which) {
        ++crashes;
        entries[which] = {claim_batcher{0, {}, options}, entries[which].start + 1, {}};
    }

    void run(duration span) {
        const time_point end = now + span;
        while (now < end) {
            now += 1ms;
            while (!events.empty() && events.begin()->first <= now) {
                const auto node = events.extract(events.begin());
                node.mapped()();
            }
            for (std::size_t each = 0; each < entries.size(); ++each) {
                poll(each);
            }
        }
    }

    void poll(std::size_t which) {
        entry& of = entries[which];
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
        if (const auto call = of.batcher.next_call(now, seconds)) {
            std::visit([&](const auto& made) { start(which, of.start, made); }, *call);
        }
        for (const claim_answer& each : of.batcher.take_answers(now)) {
            on_answer(which, of.key_of.at(each.request), each);
        }
    }

    /// Runs `deliver` on the entry unless it crashed meanwhile.
    void later(std::size_t which, int start, duration delay, std::function<void(claim_batcher&)> deliver) {
        events.emplace(now + delay, [this, which, start, deliver = std::move(deliver)] {
            if (entries[which].start == start) {
                deliver(entries[which].batcher);
            }
        });
    }

    template <typename Call, typename Answer>
    void finish(claim_batcher& of, std::uint64_t call, const Answer& answer) {
        if constexpr (std::is_same_v<Call, read_claims>) {
            of.on_read(call, answer, now);
        } else {
            of.on_written(call, answer, now);
        }
    }

    template <typename Call>
    void start(std::size_t which, int start, const Call& made) {
        const int fate = static_cast<int>(random() % 100);
        const duration delay = fate < fault.late ? duration{random() % 3'000'000} : duration{1'500};
        const bool heard = fate >= fault.answer_lost;
        if (static_cast<int>(random() % 100) >= fault.lost) {
            events.emplace(now + delay, [=, this] { serve(which, start, made, heard); });
        }
        later(which, start, 200ms, [this, call = made.call](claim_batcher& of) {
            const auto failure = make_error(errc::timeout, step::claim, "kv", "timeout");
            finish<Call>(of, call, failure);
        });
    }

    template <typename Call>
    void serve(std::size_t which, int start, const Call& made, bool heard) {
        auto answer = apply(made);
        if (heard) {
            later(which, start, 1500us,
                  [this, call = made.call, answer](claim_batcher& of) { finish<Call>(of, call, answer); });
        }
    }

    result<ports::versioned_value> apply(const read_claims&) {
        ++reads;
        if (fault.service_down) {
            return make_error(errc::unavailable, step::claim, "kv", "down");
        }
        return stored;
    }

    result<std::uint64_t> apply(const write_claims& made) {
        ++writes;
        if (fault.service_down) {
            return make_error(errc::unavailable, step::claim, "kv", "down");
        }
        if (made.swap.expected != stored.revision) {
            ++conflicts;
            return make_error(errc::conflict, step::claim, "kv", "conflict");
        }
        stored = {made.swap.value, stored.revision + 1};
        return stored.revision;
    }

    std::mt19937_64 random;
    claim_batcher_options options;
    std::vector<entry> entries;
    /// Called for each answer with the entry and the claim key.
    std::function<void(std::size_t, const std::string&, const claim_answer&)> on_answer;
    std::multimap<time_point, std::function<void()>> events;
    faults fault;
    time_point now{1'000'000s};
    ports::versioned_value stored;
    std::uint64_t requests = 0;
    int crashes = 0;
    int reads = 0;
    int writes = 0;
    int conflicts = 0;
};

} // namespace samphiretray::orders::testing
