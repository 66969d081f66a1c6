#pragma once

#include "samphiretray/orders/claim_batcher.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

/// Simulates several entries, one claim shard and the key-value service in virtual time.
namespace samphiretray::orders::testing {

struct faults {
    /// Of 100 calls, how many are lost, lose their answer or take effect late. `lost` is drawn on its own;
    /// the other two are drawn together, so a call with the rarer of these faults always has the other one
    /// too.
    int lost = 0;
    int answer_lost = 0;
    int late = 0;
    bool service_down = false;
};

struct claim_simulation {
    struct entry {
        claim_batcher batcher;
        /// Counts restarts. Answers to calls from before a crash are dropped; the calls may still take
        /// effect.
        int incarnation = 0;
        /// Claim keys by request.
        std::map<std::string, std::string> key_of;
    };

    claim_simulation(int count, std::uint64_t seed, claim_batcher_options chosen = {})
        : random(seed), options(chosen) {
        for (int index = 0; index < count; ++index) {
            entries.push_back({claim_batcher{0, {}, options}, 0, {}});
        }
    }

    void order(std::size_t entry_index, const std::string& key, const std::string& content,
               duration timeout) {
        const std::string request = "r" + std::to_string(++requests);
        entries[entry_index].key_of[request] = key;
        entries[entry_index].batcher.request_claim({key, content, request, now + timeout}, now);
    }

    void crash(std::size_t entry_index) {
        ++crashes;
        entries[entry_index] = {claim_batcher{0, {}, options}, entries[entry_index].incarnation + 1, {}};
    }

    void run(duration span) {
        const time_point end = now + span;
        while (now < end) {
            now += 1ms;
            while (!events.empty() && events.begin()->first <= now) {
                const auto node = events.extract(events.begin());
                node.mapped()();
            }
            for (std::size_t index = 0; index < entries.size(); ++index) {
                poll(index);
            }
        }
    }

    void poll(std::size_t entry_index) {
        entry& polled = entries[entry_index];
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
        if (const auto call = polled.batcher.next_call(now, seconds)) {
            std::visit([&](const auto& request) { start_call(entry_index, polled.incarnation, request); },
                       *call);
        }
        for (const claim_answer& each : polled.batcher.take_answers(now)) {
            on_answer(entry_index, polled.key_of.at(each.request_id), each);
        }
    }

    /// Runs `deliver` on the entry after `delay`, unless the entry has crashed in the meantime.
    void deliver_later(std::size_t entry_index, int incarnation, duration delay,
                       std::function<void(claim_batcher&)> deliver) {
        events.emplace(now + delay, [this, entry_index, incarnation, deliver = std::move(deliver)] {
            if (entries[entry_index].incarnation == incarnation) {
                deliver(entries[entry_index].batcher);
            }
        });
    }

    template <typename Call, typename Answer>
    void complete_call(claim_batcher& batcher, std::uint64_t call, const Answer& answer) {
        if constexpr (std::is_same_v<Call, read_claims>) {
            batcher.on_read(call, answer, now);
        } else {
            batcher.on_written(call, answer, now);
        }
    }

    template <typename Call>
    void start_call(std::size_t entry_index, int incarnation, const Call& request) {
        const int roll = static_cast<int>(random() % 100);
        const duration delay = roll < fault.late ? duration{random() % 3'000'000} : duration{1'500};
        const bool answer_delivered = roll >= fault.answer_lost;
        if (static_cast<int>(random() % 100) >= fault.lost) {
            events.emplace(now + delay,
                           [=, this] { serve(entry_index, incarnation, request, answer_delivered); });
        }
        deliver_later(entry_index, incarnation, 200ms, [this, call = request.call](claim_batcher& batcher) {
            const auto failure = make_error(errc::timeout, step::claim, "kv", "timeout");
            complete_call<Call>(batcher, call, failure);
        });
    }

    template <typename Call>
    void serve(std::size_t entry_index, int incarnation, const Call& request, bool answer_delivered) {
        auto answer = apply(request);
        if (answer_delivered) {
            deliver_later(entry_index, incarnation, 1500us,
                          [this, call = request.call, answer](claim_batcher& batcher) {
                              complete_call<Call>(batcher, call, answer);
                          });
        }
    }

    result<ports::versioned_value> apply(const read_claims&) {
        ++reads;
        if (fault.service_down) {
            return make_error(errc::unavailable, step::claim, "kv", "down");
        }
        return stored;
    }

    result<std::uint64_t> apply(const write_claims& request) {
        ++writes;
        if (fault.service_down) {
            return make_error(errc::unavailable, step::claim, "kv", "down");
        }
        if (request.swap.expected_revision != stored.revision) {
            ++conflicts;
            return make_error(errc::conflict, step::claim, "kv", "conflict");
        }
        stored = {request.swap.value, stored.revision + 1};
        return stored.revision;
    }

    std::mt19937_64 random;
    claim_batcher_options options;
    std::vector<entry> entries;
    /// Called for each answer, with the index of the entry and the claim key.
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
