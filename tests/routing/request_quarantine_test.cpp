#include "samphiretray/routing/request_quarantine.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <ctime>
#include <random>
#include <set>

using namespace samphiretray;
using namespace samphiretray::routing;

namespace {

const time_point start{1h};
constexpr request_key crashing = 7;
constexpr request_key sound = 8;

/// Whether an attempt is refused; one that is not may be sent.
bool is_held(request_quarantine& at, request_key request, time_point now, std::uint64_t attempt = 1000) {
    (void)at.poll(now);
    return at.check(request, attempt, now).has_value();
}

/// `count` servers are lost, one a second from `start` on, each with one attempt at each of the requests.
void lose_servers(request_quarantine& at, std::size_t count, const std::vector<request_key>& requests) {
    for (std::size_t i = 0; i < count; ++i) {
        for (const request_key each : requests) {
            at.on_cut(each, {100 + i, 200 + i, 0ms}, start + i * 1s);
        }
    }
}

} // namespace

// Guards against a request that crashes server after server, and against one that is held back too early.
TEST_CASE("a request is quarantined once three servers were lost with it and none has answered it") {
    request_quarantine quarantine{{}};
    lose_servers(quarantine, 2, {crashing});
    CHECK_FALSE(is_held(quarantine, crashing, start + 10s));
    quarantine.on_cut(crashing, {102, 202, 0ms}, start + 11s);
    CHECK_FALSE(is_held(quarantine, crashing, start + 11s + 500ms));
    CHECK(is_held(quarantine, crashing, start + 12s));
    CHECK_FALSE(is_held(quarantine, sound, start + 12s));
    const auto listed = quarantine.quarantined(start + 12s);
    REQUIRE(listed.size() == 1);
    CHECK(listed.front().request == crashing);
    CHECK(listed.front().cuts == 3);
    CHECK(listed.front().time_left == 29s);
}

// Guards against sound requests that are held back because they were sent again each time their server ended
// for another reason.
TEST_CASE("a request that was answered in between is not quarantined") {
    request_quarantine quarantine{{}};
    SECTION("between two losses") {
        lose_servers(quarantine, 2, {sound});
        quarantine.on_answered(sound, start + 1500ms);
        quarantine.on_cut(sound, {102, 202, 0ms}, start + 2s);
    }
    SECTION("shortly before the first loss") {
        quarantine.on_answered(sound, start - 2s);
        lose_servers(quarantine, 3, {sound});
    }
    SECTION("later, as another process tells") {
        lose_servers(quarantine, 3, {sound});
        quarantine.merge({1, {{sound, {}, 500ms}}}, start + 3s);
    }
    CHECK_FALSE(is_held(quarantine, sound, start + 4s));
}

// Guards against a sound request that is held back because its one attempt was sent on each time its server
// ended for another reason.
TEST_CASE("losses that one attempt has met are not enough, nor those of fewer attempts than are set") {
    request_quarantine_settings settings;
    settings.min_attempts = GENERATE(2U, 3U);
    request_quarantine quarantine{settings};
    for (std::uint64_t i = 0; i < 4; ++i) {
        quarantine.on_cut(sound, {100 + i, 200 + i % (settings.min_attempts - 1), 0ms}, start + i * 2s);
    }
    CHECK_FALSE(is_held(quarantine, sound, start + 10s));
    quarantine.on_cut(sound, {104, 300, 0ms}, start + 11s);
    CHECK(is_held(quarantine, sound, start + 12s));
}

// Guards against further probes that are sent while the loss of the first one settles (BUDGET).
TEST_CASE("a lost probe begins the next quarantine at once") {
    request_quarantine quarantine{{}};
    quarantine.set_members("entry-0", {"entry-0"});
    lose_servers(quarantine, 3, {crashing});
    const time_point probing = start + 2s + 30s;
    REQUIRE_FALSE(is_held(quarantine, crashing, probing, 300));
    quarantine.on_cut(crashing, {103, 300, 0ms}, probing + 100ms);
    const duration next_slot = request_quarantine_settings{}.probe_slot;
    CHECK(quarantine.quarantined(probing + 101ms).front().phase == request_phase::quarantined);
    CHECK(is_held(quarantine, crashing, probing + next_slot, 301));
}

// Guards against one crash that counts once for each attempt it has cut, and against a server that comes back
// under its old name and counts only once.
TEST_CASE("cuts by one server at one moment are one loss, later ones are further losses") {
    request_quarantine quarantine{{}};
    for (std::uint64_t i = 0; i < 6; ++i) {
        quarantine.on_cut(crashing, {100, 200 + i, 0ms}, start + i * 50ms);
    }
    CHECK_FALSE(is_held(quarantine, crashing, start + 1s));
    quarantine.on_cut(crashing, {100, 300, 0ms}, start + 2s);
    quarantine.on_cut(crashing, {100, 301, 0ms}, start + 4s);
    CHECK(is_held(quarantine, crashing, start + 5s));
}

// Guards against one attempt that ends two servers after its request is known (BUDGET).
TEST_CASE("an attempt is not sent on after the third loss") {
    request_quarantine quarantine{{}};
    lose_servers(quarantine, 2, {crashing});
    CHECK(quarantine.may_repeat(crashing));
    quarantine.on_cut(crashing, {102, 202, 0ms}, start + 2s);
    CHECK_FALSE(quarantine.may_repeat(crashing));
    CHECK(quarantine.may_repeat(sound));
}

// Guards against a quarantine that ends while the request still crashes servers: one probe at a time shows
// it.
TEST_CASE("after a quarantine one process sends one attempt, and a further loss doubles the quarantine") {
    request_quarantine quarantine{{}};
    quarantine.set_members("entry-0", {"entry-0"});
    lose_servers(quarantine, 3, {crashing});
    const time_point probing = start + 2s + 30s;
    CHECK(is_held(quarantine, crashing, probing - 1ms));
    CHECK_FALSE(is_held(quarantine, crashing, probing, 300));
    CHECK_FALSE(is_held(quarantine, crashing, probing + 10ms, 300));
    CHECK(is_held(quarantine, crashing, probing + 20ms, 301));
    quarantine.on_cut(crashing, {103, 300, 0ms}, probing + 100ms);
    CHECK(is_held(quarantine, crashing, probing + 150ms, 300));
    CHECK(is_held(quarantine, crashing, probing + 50s, 302));
    CHECK_FALSE(is_held(quarantine, crashing, probing + 61s, 303));
}

// Guards against a request that stays shut out at other entries after its servers were mended.
TEST_CASE("an answered probe ends the quarantine, also at processes that hear of it") {
    request_quarantine prober{{}};
    prober.set_members("entry-0", {"entry-0"});
    request_quarantine other{{}};
    lose_servers(prober, 3, {sound});
    other.merge(prober.evidence_after(0, start + 3s), start + 3s);
    CHECK(is_held(other, sound, start + 4s));
    const std::uint64_t told = prober.evidence_after(0, start + 4s).revision;
    REQUIRE_FALSE(is_held(prober, sound, start + 33s));
    prober.on_answered(sound, start + 34s);
    other.merge(prober.evidence_after(told, start + 34s), start + 34s);
    CHECK_FALSE(is_held(other, sound, start + 34s));
    const auto lifted = other.announcement(start + 34s);
    REQUIRE(lifted.size() == 1);
    CHECK(lifted.front().time_left == 0ms);
}

// Guards against rare requests that never meet the one process that may probe, and against a process that
// knows no other and probes too early.
TEST_CASE("in each further slot twice as many processes may probe, and one that knows no other waits") {
    std::vector<std::string> names;
    for (int i = 0; i < 16; ++i) {
        names.push_back("entry-" + std::to_string(i));
    }
    const auto probing_in = [&](duration after) {
        std::size_t count = 0;
        for (const std::string& name : names) {
            request_quarantine quarantine{{}};
            quarantine.set_members(name, names);
            lose_servers(quarantine, 3, {crashing});
            count += is_held(quarantine, crashing, start + 32s + after) ? 0 : 1;
        }
        return count;
    };
    const duration slot = request_quarantine_settings{}.probe_slot;
    CHECK(probing_in(slot / 2) == 1);
    CHECK(probing_in(slot * 3 / 2) == 2);
    CHECK(probing_in(slot * 5 / 2) == 4);
    CHECK(probing_in(slot * 9 / 2) == 16);
    request_quarantine alone{{}};
    lose_servers(alone, 3, {crashing});
    CHECK(is_held(alone, crashing, start + 32s + slot * 11 / 2));
    CHECK_FALSE(is_held(alone, crashing, start + 32s + slot * 13 / 2));
}

// Guards against a caller that shuts out another one's request by losing servers while that one runs.
TEST_CASE("of two requests that were lost with the same servers the sound one is free after a few seconds") {
    request_quarantine quarantine{{}};
    quarantine.set_members("entry-0", {"entry-0"});
    lose_servers(quarantine, 3, {crashing, sound});
    CHECK(is_held(quarantine, sound, start + 4s));
    CHECK_FALSE(is_held(quarantine, sound, start + 5100ms));
    quarantine.on_answered(sound, start + 5200ms);
    CHECK_FALSE(is_held(quarantine, sound, start + 5300ms));
    // Now it is no longer open which of them is to blame.
    CHECK(is_held(quarantine, crashing, start + 5300ms));
    CHECK(is_held(quarantine, crashing, start + 31s));
}

// Guards against a release that excuses what the request does after it.
TEST_CASE("an operator can release a request, which is quarantined again if it goes on to crash servers") {
    request_quarantine quarantine{{}};
    lose_servers(quarantine, 3, {crashing});
    REQUIRE(is_held(quarantine, crashing, start + 3s));
    CHECK_FALSE(quarantine.release(sound, start + 3s));
    const std::uint64_t told = quarantine.evidence_after(0, start + 3s).revision;
    CHECK(quarantine.release(crashing, start + 3s));
    CHECK_FALSE(is_held(quarantine, crashing, start + 3s));
    CHECK(quarantine.evidence_after(told, start + 3s).requests.size() == 1);
    for (std::uint64_t i = 0; i < 3; ++i) {
        quarantine.on_cut(crashing, {300 + i, 400 + i, 0ms}, start + 4s + i * 1s);
    }
    CHECK(is_held(quarantine, crashing, start + 7s));
}

// Guards against a process that grows with the requests that callers make up, and against made-up requests
// that displace the evidence against one that crashes servers.
TEST_CASE("requests that callers make up neither grow the evidence nor displace one that lost two servers") {
    request_quarantine_settings settings;
    settings.max_requests = 100;
    request_quarantine quarantine{settings};
    lose_servers(quarantine, 2, {crashing});
    for (std::uint64_t i = 0; i < 5000; ++i) {
        quarantine.on_cut(10'000 + i, {500 + i / 50, 20'000 + i, 0ms}, start + 3s + i * 1ms);
        quarantine.on_answered(100'000 + i, start + 3s + i * 1ms);
    }
    CHECK(quarantine.suspect_count() <= settings.max_requests);
    quarantine.on_cut(crashing, {102, 202, 0ms}, start + 9s);
    CHECK(is_held(quarantine, crashing, start + 10s));
    CHECK(quarantine.evidence_after(0, start + 10s).requests.size() <= settings.max_requests);
}

// Guards against processes that tell each other the same for ever.
TEST_CASE("evidence that goes round between processes comes to rest") {
    request_quarantine one{{}};
    request_quarantine other{{}};
    for (std::uint64_t i = 0; i < 20; ++i) {
        one.on_cut(crashing, {100 + i, 200 + i, 0ms}, start + i * 2s);
        other.on_cut(crashing, {300 + i, 400 + i, 0ms}, start + i * 2s + 1s);
    }
    const time_point now = start + 1min;
    for (int i = 0; i < 5; ++i) {
        one.merge(other.evidence_after(0, now), now);
        other.merge(one.evidence_after(0, now), now);
    }
    const std::uint64_t revision = one.evidence_after(0, now).revision;
    one.merge(other.evidence_after(0, now), now);
    CHECK(one.evidence_after(0, now).revision == revision);
    CHECK(one.evidence_after(revision, now).requests.empty());
}

// Guards against a request that is held back for good because of old losses.
TEST_CASE("evidence is forgotten after its time") {
    request_quarantine quarantine{{}};
    lose_servers(quarantine, 3, {crashing});
    (void)quarantine.poll(start + 29min);
    CHECK(quarantine.suspect_count() == 1);
    (void)quarantine.poll(start + 31min);
    CHECK(quarantine.suspect_count() == 0);
    CHECK_FALSE(is_held(quarantine, crashing, start + 31min));
}

// The pattern of the users' record: one request comes again and again at any entry of a fleet, which
// exchanges evidence; servers also end for other reasons, and sound requests are sent again each time.
TEST_CASE(
    "in a fleet a crashing request loses few servers after the third, and sound ones are served (property)") {
    rc::prop("crashing requests", [](std::uint32_t seed) {
        constexpr std::size_t entries = 24;
        constexpr duration step = 50ms;
        constexpr duration contact = 4s;
        std::mt19937 random{seed};
        std::vector<request_quarantine> fleet(entries, request_quarantine{{}});
        std::vector<std::string> names;
        for (std::size_t i = 0; i < entries; ++i) {
            names.push_back("entry-" + std::to_string(i));
        }
        std::vector<std::vector<std::uint64_t>> heard(entries, std::vector<std::uint64_t>(entries, 0));
        for (std::size_t i = 0; i < entries; ++i) {
            fleet[i].set_members(names[i], names);
        }
        std::vector<time_point> crashes;
        std::size_t late = 0;
        std::size_t sound_sent = 0;
        std::size_t sound_held = 0;
        std::uint64_t number = 1000;
        for (time_point now = start; now < start + 60s; now += step) {
            for (std::size_t i = 0; i < entries; ++i) {
                (void)fleet[i].poll(now);
                // Each entry pulls one report in 50 ms, so hears of all others in 1.2 s.
                const std::size_t from = (i + 1 + static_cast<std::size_t>((now - start) / step)) % entries;
                if (from != i) {
                    const auto evidence = fleet[from].evidence_after(heard[i][from], now);
                    fleet[i].merge(evidence, now);
                    heard[i][from] = evidence.revision;
                }
            }
            const auto entry = [&]() -> request_quarantine& { return fleet[random() % entries]; };
            if (random() % 5 == 0) {
                request_quarantine& at = entry();
                if (!at.check(crashing, ++number, now)) {
                    const bool is_late = crashes.size() >= 3 && now > crashes[2] + contact;
                    late += is_late ? 1 : 0;
                    at.on_cut(crashing, {++number, number, 0ms}, now);
                    crashes.push_back(now);
                }
            }
            // Ten sound requests, popular ones among them; one in thirty loses its server for another reason.
            const request_key request = 100 + random() % 10;
            request_quarantine& at = entry();
            ++sound_sent;
            if (at.check(request, ++number, now)) {
                ++sound_held;
            } else if (random() % 30 == 0) {
                at.on_cut(request, {++number, number, 0ms}, now);
            } else {
                at.on_answered(request, now);
            }
        }
        RC_ASSERT(late <= 3U);
        RC_ASSERT(sound_held * 100 <= sound_sent);
    });
}

namespace {

/// Processor time of merging `count` requests that are not known yet into a table that is full.
double full_table_merge_seconds(std::size_t capacity, std::size_t count) {
    request_quarantine_settings settings;
    settings.max_requests = capacity;
    request_quarantine quarantine{settings};
    std::uint64_t next = 0;
    const auto evidence_of = [&next](std::size_t requests) {
        request_evidence evidence;
        for (std::size_t i = 0; i < requests; ++i, ++next) {
            evidence.requests.push_back({next, {{next, next, 0ms}}, std::nullopt});
        }
        return evidence;
    };
    const auto fill = evidence_of(capacity);
    quarantine.merge(fill, start);
    const auto more = evidence_of(count);
    const std::clock_t began = std::clock();
    quarantine.merge(more, start + 1s);
    return static_cast<double>(std::clock() - began) / CLOCKS_PER_SEC;
}

} // namespace

// Guards against an event loop that stands still for seconds while servers close thousands of connections:
// each request that displaced another one cost a search of the whole table.
TEST_CASE("taking up evidence costs about as much in a large table as in a small one") {
    const auto shortest = [](std::size_t capacity) {
        double best = 1e9;
        for (int i = 0; i < 5; ++i) {
            best = std::min(best, full_table_merge_seconds(capacity, 2000));
        }
        return best;
    };
    constexpr double resolution_s = 0.002;
    // A search of the whole table costs 64 times as much.
    CHECK(shortest(8192) < 8 * (shortest(128) + resolution_s));
}

// Guards against reports whose transfer fills the link of a thin entry while servers close thousands of
// connections: they were too long to arrive before their timeout, and the next one was longer.
TEST_CASE(
    "one piece of evidence names a bounded number of requests and those that lost the most servers first") {
    request_quarantine quarantine{{}};
    lose_servers(quarantine, 2, {crashing});
    for (request_key i = 1000; i < 3000; ++i) {
        quarantine.on_cut(i, {i, i, 0ms}, start + 5s);
    }
    const std::uint64_t heard = GENERATE(0U, 1U);
    const auto evidence = quarantine.evidence_after(heard, start + 6s);
    CHECK(evidence.requests.size() <= 256);
    CHECK(std::ranges::count(evidence.requests, crashing, &suspected_request::request) == 1);
    CHECK(quarantine.evidence_after(evidence.revision, start + 6s).requests.empty());
}
