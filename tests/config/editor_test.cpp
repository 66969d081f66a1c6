#include "samphiretray/config/editor.h"
#include "samphiretray/config/replica.h"

#include "tests/support/fake_key_value.h"
#include "tests/support/sample_configuration.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque>
#include <set>

using namespace samphiretray;
using namespace samphiretray::config;

namespace {

// Faults that the test injects into a call of the key-value service; `normal` is none, `count` their number.
enum class fault { normal, request_lost, answer_lost, delayed, refused, not_sent, duplicated, count };

constexpr std::size_t editor_count = 3;
constexpr std::size_t replica_count = 2;

/// Simulates several editors and replicas on one faulty key-value service. Each edit sets the rate of one
/// organisation to a number that no other edit uses, so the content of a revision shows which edits it
/// includes.
class edit_simulation {
public:
    void step(unsigned choice) {
        const std::size_t slot = (choice / 16) % editor_count;
        const unsigned detail = choice / 64;
        switch (choice % 16) {
        case 0:
            crash(slot);
            break;
        case 1:
            deliver_delayed_write(detail);
            break;
        case 2:
            offer_old_manifest(detail);
            break;
        case 3:
        case 4:
            replicas_.at(slot % replica_count).offer(*this, detail);
            break;
        default:
            advance(slot, detail);
        }
        check();
    }

    /// Completes all outstanding calls and edits without further faults, then checks the final state.
    void settle() {
        while (!delayed_writes_.empty()) {
            deliver_delayed_write(0);
        }
        for (std::size_t slot = 0; slot < editor_count; ++slot) {
            while (slots_.at(slot).running) {
                advance(slot, 0);
            }
        }
        check();
        for (const std::string& token : rejected_) {
            RC_ASSERT(!revision_of_.contains(token));
        }
        for (const auto& [token, revision] : accepted_) {
            RC_ASSERT(revision_of_.at(token) == revision);
        }
        for (replica_state& state : replicas_) {
            state.offer(*this, 0);
            RC_ASSERT(state.target.revision() == history_.size());
        }
    }

private:
    using rates = std::map<std::string, std::uint64_t>;

    struct slot_state {
        std::optional<editor> running;
        std::deque<editor_action> calls;
        std::string token;
    };

    struct replica_state {
        replica target;

        void offer(edit_simulation& simulation, unsigned detail) {
            const auto value = simulation.service_.read({}, std::string{manifest_key});
            if (value.revision == 0) {
                return;
            }
            const auto missing = target.offer_manifest(value.value);
            RC_ASSERT(missing);
            for (const std::string& digest : *missing) {
                static_cast<void>(
                    target.offer_chunk(digest, simulation.service_.read({}, chunk_key(digest)).value));
                if (detail % 4 == 3) {
                    return;
                }
            }
        }
    };

    void begin(slot_state& slot, std::size_t index) {
        const std::uint64_t number = ++edits_;
        const std::string name = "o" + std::to_string(index % 2);
        slot.token = "token-" + std::to_string(number);
        edits_by_token_[slot.token] = {name, number};
        slot.running.emplace(
            [name, number](configuration value) -> result<configuration> {
                auto& all = value.rules.organisations;
                const auto found = std::ranges::find(all, name, &organisation::name);
                (found == all.end() ? all.emplace_back() : *found) = {name, number, 1, false};
                return value;
            },
            slot.token);
        push(slot, slot.running->start());
    }

    static void push(slot_state& slot, std::vector<editor_action> calls) {
        slot.calls.insert(slot.calls.end(), calls.begin(), calls.end());
    }

    void advance(std::size_t index, unsigned detail) {
        slot_state& slot = slots_.at(index);
        if (!slot.running) {
            return begin(slot, index + detail);
        }
        RC_ASSERT(!slot.calls.empty());
        const std::size_t position = detail % slot.calls.size();
        const editor_action call = slot.calls.at(position);
        slot.calls.erase(slot.calls.begin() + static_cast<std::ptrdiff_t>(position));
        // A fault is injected into at most one of three calls.
        const auto injected =
            static_cast<fault>(detail % 3 == 2 ? (detail / 3) % static_cast<unsigned>(fault::count) : 0);
        execute(slot, call, injected);
        if (slot.running->outcome()) {
            record_outcome(slot);
        }
    }

    static error failure(fault injected) {
        const errc code = injected == fault::refused    ? errc::unavailable
                          : injected == fault::not_sent ? errc::connection_failed
                                                        : errc::timeout;
        return make_error(code, step::configure, "kv", "injected");
    }

    static bool is_answered(fault injected) {
        return injected == fault::normal || injected == fault::duplicated;
    }

    void execute(slot_state& slot, const editor_action& call, fault injected) {
        if (const auto* read = std::get_if<read_action>(&call)) {
            result<ports::versioned_value> answer = service_.read({}, read->key);
            push(slot, slot.running->on_read(read->key, is_answered(injected) ? answer : failure(injected)));
            return;
        }
        const auto& request = std::get<swap_action>(call).swap;
        result<std::uint64_t> answer = failure(injected);
        if (is_answered(injected)) {
            answer = write(request);
        } else if (injected == fault::answer_lost) {
            static_cast<void>(write(request));
        }
        if (injected == fault::delayed || injected == fault::duplicated) {
            delayed_writes_.push_back(request);
        }
        push(slot, slot.running->on_swap(request.key, answer));
    }

    result<std::uint64_t> write(const ports::swap_request& request) {
        auto answer = service_.swap({}, request);
        if (answer && request.key == manifest_key) {
            record_manifest(request.value);
        }
        return answer;
    }

    void record_manifest(const std::string& text) {
        const auto list = parse_manifest(text);
        RC_ASSERT(list);
        // Each write of the manifest increases the revision by one.
        RC_ASSERT(list->revision == history_.size() + 1);
        chunk_map chunks;
        for (const std::string& digest : list->chunks()) {
            chunks.emplace(digest, service_.read({}, chunk_key(digest)).value);
        }
        // All chunks that a manifest lists are stored.
        const auto joined = join_chunks(*list, chunks);
        RC_ASSERT(joined);
        rates content;
        for (const organisation& o : joined->rules.organisations) {
            content[o.name] = o.rate;
        }
        // Each revision is the previous one with exactly one edit applied, so no accepted edit is lost.
        rates expected = history_.empty() ? rates{} : history_.back();
        const auto& [name, number] = edits_by_token_.at(list->token);
        expected[name] = number;
        RC_ASSERT(content == expected);
        RC_ASSERT(revision_of_.emplace(list->token, list->revision).second);
        history_.push_back(content);
        manifests_.push_back(text);
    }

    void record_outcome(slot_state& slot) {
        const auto& outcome = *slot.running->outcome();
        if (outcome) {
            accepted_[slot.token] = *outcome;
        } else if (outcome.error().code != errc::outcome_unknown) {
            rejected_.insert(slot.token);
        }
        slot.running.reset();
        slot.calls.clear();
    }

    void crash(std::size_t index) {
        slots_.at(index).running.reset();
        slots_.at(index).calls.clear();
    }

    void deliver_delayed_write(unsigned detail) {
        if (delayed_writes_.empty()) {
            return;
        }
        const auto position =
            delayed_writes_.begin() + static_cast<std::ptrdiff_t>(detail % delayed_writes_.size());
        const ports::swap_request request = *position;
        delayed_writes_.erase(position);
        static_cast<void>(write(request));
    }

    void offer_old_manifest(unsigned detail) {
        if (!manifests_.empty()) {
            static_cast<void>(
                replicas_.at(detail % replica_count)
                    .target.offer_manifest(manifests_.at(detail / replica_count % manifests_.size())));
        }
    }

    void check() {
        for (std::size_t i = 0; i < replica_count; ++i) {
            const replica& target = replicas_.at(i).target;
            RC_ASSERT(target.revision() >= last_revisions_.at(i));
            last_revisions_.at(i) = target.revision();
            if (target.current()) {
                for (const auto& [name, rate] : history_.at(target.revision() - 1)) {
                    RC_ASSERT(target.current()->find_organisation(name)->rate == rate);
                }
            }
        }
    }

    test::fake_key_value service_;
    std::array<slot_state, editor_count> slots_;
    std::array<replica_state, replica_count> replicas_;
    std::array<std::uint64_t, replica_count> last_revisions_{};
    std::vector<ports::swap_request> delayed_writes_;
    std::uint64_t edits_ = 0;
    std::map<std::string, std::pair<std::string, std::uint64_t>> edits_by_token_;
    std::vector<rates> history_;
    std::vector<std::string> manifests_;
    std::map<std::string, std::uint64_t> revision_of_;
    std::map<std::string, std::uint64_t> accepted_;
    std::set<std::string> rejected_;
};

} // namespace

// Guards against edits that are lost, applied twice or reverted after lost responses, delayed and duplicate
// writes, and crashes of editors.
TEST_CASE("concurrent edits are not lost, duplicated or reverted, and replica revisions never decrease") {
    CHECK(rc::check([] {
        const auto choices = *rc::gen::container<std::vector<unsigned>>(400, rc::gen::inRange(0U, 1U << 20U));
        edit_simulation under_test;
        for (const unsigned choice : choices) {
            under_test.step(choice);
        }
        under_test.settle();
    }));
}

// Guards against reporting a conflict for a write that took effect: its response is lost, and a later edit
// replaces the manifest before the editor reads it back. The history of the manifest still has the token.
TEST_CASE("an editor whose write response was lost finds its token in the manifest history") {
    test::fake_key_value service;
    const auto run = [&service](const std::string& token, bool lose_answer) {
        editor edit{[&](configuration value) -> result<configuration> {
                        value.rules.organisations.push_back({token, 1, 1, false});
                        return value;
                    },
                    token};
        std::deque<editor_action> calls;
        const auto push = [&](auto actions) { calls.insert(calls.end(), actions.begin(), actions.end()); };
        push(edit.start());
        bool was_lost = false;
        while (!edit.outcome()) {
            const editor_action call = calls.front();
            calls.pop_front();
            if (const auto* read = std::get_if<read_action>(&call)) {
                push(edit.on_read(read->key, service.read({}, read->key)));
                continue;
            }
            const auto& request = std::get<swap_action>(call).swap;
            auto answer = service.swap({}, request);
            if (lose_answer && !was_lost && request.key == manifest_key) {
                was_lost = true;
                auto later = parse_manifest(request.value);
                later->history.insert(later->history.begin(), later->token);
                later->token = "later";
                later->revision = 2;
                REQUIRE(service.swap({}, {request.key, to_text(*later), *answer, std::nullopt}));
                answer = make_error(errc::connection_closed, step::configure, "kv", "lost");
            }
            push(edit.on_swap(request.key, answer));
        }
        return *edit.outcome();
    };
    const auto outcome = run("first", true);
    REQUIRE(outcome);
    CHECK(*outcome == 1);
}

TEST_CASE("an edit that makes the configuration invalid writes nothing") {
    test::fake_key_value service;
    editor edit{[](configuration value) -> result<configuration> {
                    value.rules.organisations.push_back({"o", 1, 0, false});
                    return value;
                },
                "token"};
    static_cast<void>(edit.start());
    CHECK(edit.on_read(manifest_key, ports::versioned_value{}).empty());
    REQUIRE(edit.outcome());
    CHECK(edit.outcome()->error().code == errc::invalid_argument);
}
