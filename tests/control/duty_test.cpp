#include "samphiretray/control/duty.h"

#include "tests/support/fake_key_value.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <deque>
#include <functional>

using namespace samphiretray;
using namespace samphiretray::control;

namespace {

using settings_factory =
    std::function<duty_settings(const std::string& holder, const std::string& incarnation)>;

/// Simulates candidates for one lease, each with its own clock and the only watcher of its region. Their
/// key-value service has outages, loses answers and applies writes late.
class lease_simulation {
public:
    static constexpr std::size_t candidates = 3;

    explicit lease_simulation(settings_factory make_settings) : make_settings_(std::move(make_settings)) {
        for (std::size_t i = 0; i < candidates; ++i) {
            processes_.at(i).emplace(i);
            restart(i);
        }
    }

    void step(unsigned choice) {
        const std::size_t i = (choice / 32) % candidates;
        const unsigned detail = choice / 128;
        switch (choice % 32) {
        case 0:
            is_service_up_ = !is_service_up_;
            break;
        case 1:
            process(i).is_paused = true;
            break;
        case 2:
        case 3:
            process(i).is_paused = false;
            break;
        case 4:
            process(i).is_isolated = !process(i).is_isolated;
            break;
        case 5:
            restart(i);
            break;
        case 6:
            process(i).holder->release(local_time(i));
            process(i).is_candidate = false;
            break;
        case 7:
            process(i).holder->campaign(local_time(i));
            process(i).is_candidate = true;
            break;
        case 8:
            apply_late_write(detail);
            break;
        default:
            now_ += std::chrono::milliseconds{detail % 400};
            run(i, detail / 400);
        }
        check();
    }

    /// Checks that without further faults one candidate acts in the end.
    void check_eventual_holder() {
        is_service_up_ = true;
        for (std::size_t i = 0; i < candidates; ++i) {
            process(i).is_paused = false;
            process(i).is_isolated = false;
            process(i).holder->campaign(local_time(i));
        }
        for (int i = 0; i < 1000; ++i) {
            now_ += 100ms;
            run(static_cast<std::size_t>(i) % candidates, 0);
            check();
        }
        RC_ASSERT(count_acting() == 1U);
    }

    void run_without_faults(std::size_t i, duration time) {
        for (duration passed{}; passed < time; passed += 100ms) {
            now_ += 100ms;
            run(i, 0);
        }
    }

    [[nodiscard]] bool acts(std::size_t i) const {
        const auto& each = *processes_.at(i);
        // Works on a copy, so that the check does not change the state.
        duty copy = *each.holder;
        copy.on_contact(local_time(i), each.evidence);
        return copy.may_act(local_time(i), each.evidence.state(local_time(i)));
    }
    [[nodiscard]] duty& holder(std::size_t i) { return *process(i).holder; }
    void set_service(bool up) { is_service_up_ = up; }
    void isolate(std::size_t i) { process(i).is_isolated = true; }

private:
    struct process_state {
        explicit process_state(std::size_t index)
            : evidence({"r" + std::to_string(index), 10s}), offset(index * 1000s) {}

        contact_tracker evidence;
        duration offset;
        std::optional<duty> holder;
        std::optional<duty_action> call;
        bool is_paused = false;
        bool is_isolated = false;
        bool is_candidate = true;
    };

    [[nodiscard]] process_state& process(std::size_t i) { return *processes_.at(i); }
    [[nodiscard]] time_point local_time(std::size_t i) const { return now_ + processes_.at(i)->offset; }

    void restart(std::size_t i) {
        process(i).evidence = contact_tracker{{"r" + std::to_string(i), 10s}};
        const std::array<std::string, candidates> regions{"r0", "r1", "r2"};
        process(i).evidence.set_regions(regions);
        process(i).holder.emplace(make_settings_("vm" + std::to_string(i), std::to_string(++incarnations_)));
        process(i).call.reset();
        if (process(i).is_candidate) {
            process(i).holder->campaign(local_time(i));
        }
    }

    void run(std::size_t i, unsigned detail) {
        process_state& each = process(i);
        if (each.is_paused) {
            return;
        }
        each.evidence.on_in_force(1);
        if (!each.call) {
            report_own_call(i, detail);
            pull_evidence(i, detail);
            each.holder->on_contact(local_time(i), each.evidence);
            each.call = each.holder->on_time(local_time(i));
        }
        // The call is made now or in a later step.
        if (each.call && detail % 4 != 3) {
            make_call(i, detail / 4);
        }
    }

    [[nodiscard]] bool reaches_service(std::size_t i) { return is_service_up_ && !process(i).is_isolated; }

    void report_own_call(std::size_t i, unsigned detail) {
        if (reaches_service(i) && detail % 3 != 2) {
            process(i).evidence.on_own_success(local_time(i), 1);
        } else {
            process(i).evidence.on_own_failure(local_time(i));
        }
    }

    void pull_evidence(std::size_t i, unsigned detail) {
        for (std::size_t j = 0; j < candidates; ++j) {
            const bool is_cut = process(i).is_isolated || process(j).is_isolated || process(j).is_paused;
            if (i != j && !is_cut && (detail >> j) % 3 != 2) {
                wire::state_reply reply;
                process(j).evidence.fill_reply(local_time(j), reply);
                process(i).evidence.on_reply(local_time(i), reply);
            }
        }
    }

    void make_call(std::size_t i, unsigned detail) {
        process_state& each = process(i);
        const duty_action call = *std::exchange(each.call, std::nullopt);
        const unsigned outcome = detail % 6;
        const bool is_lost = !reaches_service(i) || outcome >= 3;
        const error lost = make_error(errc::timeout, step::lease, "kv", "injected");
        if (!is_lost) {
            each.evidence.on_own_answer(local_time(i));
        }
        if (const auto* read = std::get_if<duty_read>(&call)) {
            const auto stored = service_.read(now_, read->key);
            each.call = is_lost ? each.holder->on_read(local_time(i), lost)
                                : each.holder->on_read(local_time(i), stored);
            return;
        }
        const auto& swap = std::get<duty_swap>(call).swap;
        if (reaches_service(i) && outcome == 4) {
            late_writes_.push_back(swap);
        }
        const bool takes_effect = reaches_service(i) && (outcome < 3 || outcome == 3);
        const auto answer = takes_effect ? service_.swap(now_, swap) : result<std::uint64_t>{lost};
        each.call =
            is_lost ? each.holder->on_swap(local_time(i), lost) : each.holder->on_swap(local_time(i), answer);
    }

    void apply_late_write(unsigned detail) {
        if (!late_writes_.empty() && is_service_up_) {
            const auto position =
                late_writes_.begin() + static_cast<std::ptrdiff_t>(detail % late_writes_.size());
            static_cast<void>(service_.swap(now_, *position));
            late_writes_.erase(position);
        }
    }

    [[nodiscard]] std::size_t count_acting() const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < candidates; ++i) {
            count += acts(i) ? 1U : 0U;
        }
        return count;
    }

    void check() {
        RC_ASSERT(count_acting() <= 1U);
        for (std::size_t i = 0; i < candidates; ++i) {
            if (acts(i)) {
                const std::uint64_t number = process(i).holder->fencing_number();
                RC_ASSERT(number >= highest_fencing_number_);
                highest_fencing_number_ = number;
            }
        }
    }

    settings_factory make_settings_;
    test::fake_key_value service_;
    std::array<std::optional<process_state>, candidates> processes_;
    time_point now_{1s};
    bool is_service_up_ = true;
    std::deque<ports::swap_request> late_writes_;
    std::uint64_t incarnations_ = 0;
    std::uint64_t highest_fencing_number_ = 0;
};

duty_settings rate_issuer_lease(const std::string& holder, const std::string& incarnation) {
    return duty_lease("luzon", "rate-0", holder, incarnation);
}

duty_settings unfenced_endpoint_lease(const std::string& holder, const std::string& incarnation) {
    return endpoint_lease("e1", holder, incarnation, false);
}

void check_single_actor(const settings_factory& make_settings) {
    const auto choices = *rc::gen::container<std::vector<unsigned>>(600, rc::gen::inRange(0U, 1U << 26U));
    lease_simulation under_test{make_settings};
    for (const unsigned choice : choices) {
        under_test.step(choice);
    }
    under_test.check_eventual_holder();
}

} // namespace

// Guards against two issuers of an organisation's tokens, which together would exceed its rate.
TEST_CASE("at most one holder of a duty may act, and fencing numbers never decrease") {
    CHECK(rc::check([] { check_single_actor(rate_issuer_lease); }));
}

// Guards against two agents that both send commands to an endpoint that does not check fencing numbers.
TEST_CASE("at most one agent may send commands to an endpoint") {
    CHECK(rc::check([] { check_single_actor(unfenced_endpoint_lease); }));
}

// Guards against two holders: a holder that is cut off just as the service comes back has evidence of the
// outage for up to another 10 s.
TEST_CASE("a new holder does not act before the evidence of the outage has expired") {
    lease_simulation under_test{rate_issuer_lease};
    const auto run_all = [&](duration time) {
        for (duration passed{}; passed < time; passed += 300ms) {
            for (std::size_t i = 0; i < lease_simulation::candidates; ++i) {
                under_test.run_without_faults(i, 100ms);
                REQUIRE(under_test.acts(0) + under_test.acts(1) + under_test.acts(2) <= 1);
            }
        }
    };
    run_all(30s);
    under_test.set_service(false);
    run_all(30s);
    REQUIRE(under_test.acts(0));
    under_test.isolate(0);
    under_test.set_service(true);
    run_all(40s);
    CHECK_FALSE(under_test.acts(0));
    CHECK((under_test.acts(1) || under_test.acts(2)));
}

namespace {

/// A duty that acts at once after its acquisition, and the write that acquires it.
struct acquisition {
    duty holder{[] {
        duty_settings settings = rate_issuer_lease("vm0", "1");
        settings.takeover_wait = 0s;
        // The times in the tests below follow from this lease and the margin.
        settings.lease = 10s;
        return settings;
    }()};
    time_point start{100s};
    ports::swap_request request;

    acquisition() {
        holder.campaign(start);
        static_cast<void>(holder.on_time(start));
        request = std::get<duty_swap>(*holder.on_read(start, ports::versioned_value{})).swap;
    }
};

} // namespace

TEST_CASE("the validity of a lease counts from before its write was sent, less the margin") {
    acquisition held;
    static_cast<void>(held.holder.on_swap(held.start + 5s, 7));
    CHECK(held.holder.may_act(held.start + 9499ms, contact_state::fresh));
    CHECK_FALSE(held.holder.may_act(held.start + 9500ms, contact_state::fresh));
}

TEST_CASE("an acquisition whose answer was lost is recognised by its stored value") {
    acquisition held;
    const error lost = make_error(errc::timeout, step::lease, "kv", "injected");
    REQUIRE(held.holder.on_swap(held.start + 2s, lost));
    CHECK_FALSE(held.holder.on_read(held.start + 3s, ports::versioned_value{held.request.value, 7}));
    CHECK(held.holder.fencing_number() == 7);
    CHECK(held.holder.may_act(held.start + 9s, contact_state::fresh));
}

// Another process may have acquired the lease between two outages.
TEST_CASE("a lease is lost when the service answers after its end") {
    acquisition held;
    static_cast<void>(held.holder.on_swap(held.start, 7));
    contact_tracker evidence{{"r", 10s}};
    evidence.on_own_success(held.start + 8s, 0);
    held.holder.on_contact(held.start + 10s, evidence);
    CHECK(held.holder.is_held());
    evidence.on_own_success(held.start + 11s, 0);
    held.holder.on_contact(held.start + 11s, evidence);
    CHECK_FALSE(held.holder.is_held());
}

TEST_CASE("a holder that is cut off stops acting and loses the lease") {
    lease_simulation under_test{rate_issuer_lease};
    under_test.run_without_faults(0, 20s);
    CHECK(under_test.acts(0));
    under_test.set_service(false);
    // The other regions' watchers do not run, so no failures of theirs are reported.
    under_test.run_without_faults(0, 30s);
    CHECK_FALSE(under_test.acts(0));
    CHECK_FALSE(under_test.holder(0).is_held());
}

TEST_CASE("the holder keeps acting in an outage that all watchers report") {
    lease_simulation under_test{rate_issuer_lease};
    const auto run_all = [&](duration time) {
        for (duration passed{}; passed < time; passed += 300ms) {
            for (std::size_t i = 0; i < lease_simulation::candidates; ++i) {
                under_test.run_without_faults(i, 100ms);
            }
        }
    };
    run_all(30s);
    REQUIRE(under_test.acts(0));
    under_test.set_service(false);
    run_all(60s);
    CHECK(under_test.acts(0));
}

TEST_CASE("after a release the next holder does not wait for the lease to expire") {
    lease_simulation under_test{unfenced_endpoint_lease};
    under_test.run_without_faults(0, 20s);
    REQUIRE(under_test.acts(0));
    under_test.holder(0).release(time_point{1s} + 20s);
    CHECK_FALSE(under_test.acts(0));
    CHECK(under_test.holder(0).is_releasing());
    under_test.run_without_faults(0, 1s);
    CHECK_FALSE(under_test.holder(0).is_releasing());
    under_test.run_without_faults(1, 3s);
    CHECK(under_test.acts(1));
    CHECK(under_test.holder(1).fencing_number() > 1);
}

TEST_CASE("an agent preempts the lease of an endpoint that checks fencing numbers") {
    lease_simulation under_test{[](const std::string& holder, const std::string& incarnation) {
        return endpoint_lease("e1", holder, incarnation, true);
    }};
    under_test.run_without_faults(0, 5s);
    const std::uint64_t first = under_test.holder(0).fencing_number();
    under_test.run_without_faults(1, 3s);
    CHECK(under_test.acts(1));
    CHECK(under_test.holder(1).fencing_number() > first);
}
