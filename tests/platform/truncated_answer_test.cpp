#include "samphiretray/gateway/engine_agent-inl.h"

#include "platform/engine_client.h"
#include "platform/store.h"
#include "tests/platform/entry_with_servers.h"
#include "tests/platform/fake_engine.h"
#include "tests/support/scripted_server.h"
#include "tests/support/truncated_answers.h"

#include <algorithm>
#include <array>
#include <optional>
#include <span>

using namespace samphiretray;
using namespace samphiretray::platform;
using namespace samphiretray::platform::testing;
using net::testing::all_framings;
using net::testing::answer_ending;
using net::testing::answer_framing;
using net::testing::broken_endings;
using net::testing::format_answer;
using net::testing::head_size_of;
using net::testing::interim_heads;
using net::testing::max_part_of;
using net::testing::pause_before_reset;
using net::testing::scripted_answer;
using net::testing::scripted_server;
using net::testing::summary_of;

namespace {

/// Where the caller's request is broken off: the server is a plain one, an engine behind its agent, or the
/// agent.
enum class hop { plain_server, engine, agent };

/// The second answer that follows the cut head on the same connection.
enum class other_answer { none, foreign, failure, not_run };

/// One request whose first answer is cut, and what follows.
struct cut_cell {
    std::string_view path;
    answer_framing framing;
    bool reversed;
    std::string_view interim;
    std::size_t cut;
    answer_ending ending;
    other_answer other;
};

constexpr std::string_view whole_body = "id: 1\ndata: whole\n\n";
constexpr std::string_view other_body = "id: 9\ndata: other\n\n";

/// Identifiers of one length, so that the heads of all cells have the same size.
std::string attempt_of(std::size_t cell) {
    return "cell-" + std::to_string(1'000'000 + cell);
}

std::size_t cell_of(const net::http_request& request) {
    return std::stoul(attempt_header(request).value.substr(5)) - 1'000'000;
}

std::string other_bytes(const cut_cell& cell, const net::http_header& attempt) {
    const net::http_header seal{"x-samphiretray-server-seal", "other"};
    switch (cell.other) {
    case other_answer::none:
        break;
    case other_answer::foreign:
        return format_answer(cell.framing, {{attempt.name, "earlier"}, seal}, other_body);
    case other_answer::failure:
        return format_answer(cell.framing, {attempt, seal}, other_body, 500);
    case other_answer::not_run:
        return format_answer(cell.framing, {{attempt.name, "earlier"}, {"x-samphiretray-not-executed", "1"}},
                             "", 503);
    }
    return "";
}

std::string whole_bytes(const cut_cell& cell, const net::http_header& attempt) {
    net::http_headers headers{attempt, {"x-samphiretray-server-seal", "seal"}};
    if (cell.path == "/e/1" || cell.path == "/r/1") {
        headers.push_back({"content-type", "text/event-stream"});
    }
    if (cell.reversed) {
        std::ranges::reverse(headers);
    }
    return std::string{cell.interim} + format_answer(cell.framing, headers, whole_body);
}

/// Cells for each byte of the head, on each route, in each framing and in two orders of the headers.
std::vector<cut_cell> make_cells(std::string_view interim, std::span<const answer_ending> endings,
                                 std::span<const other_answer> others) {
    std::vector<cut_cell> cells;
    const auto add_cuts = [&](cut_cell cell) {
        const std::string whole = whole_bytes(cell, {"x-samphiretray-attempt-id", attempt_of(0)});
        const std::size_t size = interim.size() + head_size_of(whole.substr(interim.size()));
        for (; cell.cut < size; ++cell.cut) {
            // There the other answer would be the first one.
            const bool is_before_head = cell.cut == 0 || whole.substr(0, cell.cut).ends_with("\r\n\r\n");
            for (const other_answer other : others) {
                if (other == other_answer::none || !is_before_head) {
                    cell.other = other;
                    cell.ending = endings[cells.size() % endings.size()];
                    cells.push_back(cell);
                }
            }
        }
    };
    for (const std::string_view path : {"/s/1", "/u/1", "/e/1", "/r/1"}) {
        for (const answer_framing framing : all_framings) {
            for (const bool reversed : {false, true}) {
                add_cuts({path, framing, reversed, interim, 0, answer_ending::close, other_answer::none});
            }
        }
    }
    return cells;
}

/// An entry before a server that cuts the first answer to each request, and answers the second one wholly.
struct entry_before_cut_answers {
    explicit entry_before_cut_answers(hop cut_at, std::vector<cut_cell> played)
        : cells(std::move(played)), attempts(cells.size()) {
        const bool has_engines = cut_at != hop::plain_server;
        if (cut_at == hop::engine) {
            start_agent();
        }
        fixture.start_entry([&](gateway::gateway_settings& settings) {
            settings.agent_port = agent ? agent->listen_address().port : server.local_address().port;
            // Every request that may be repeated is.
            settings.retry_ratio = 100;
            settings.retry_floor = 1'000'000;
        });
        fixture.register_only(server.local_address(), {"i-0", "i-1"});
        auto state = entry_with_servers::make_state(4);
        for (gateway::route& each : state.routes) {
            each.timeout = hang_limit;
            each.target_latency = hang_limit;
        }
        if (has_engines) {
            state.services = {{"orders", capacity}};
        }
        fixture.entry->apply(std::move(state));
    }

    void start_agent() {
        gateway::engine_agent_settings settings;
        settings.node.vm = "side-1";
        settings.listen = any_port;
        settings.control_listen = any_port;
        settings.engine = server.local_address();
        settings.service = "orders";
        settings.poll_interval = 10ms;
        agent.emplace(fixture.events, settings, engine_api);
        REQUIRE(agent->start());
        gateway::routing_state state;
        state.version = 1;
        state.services = {{"orders", capacity}};
        agent->apply(state);
        agent->set_fencing_number(5);
        REQUIRE(fixture.events.run_until([&] { return engine.reports > 2; }, hang_limit));
    }

    scripted_answer answer(const net::http_request& request) {
        const std::size_t i = cell_of(request);
        const cut_cell& cell = cells.at(i);
        const std::string whole = whole_bytes(cell, attempt_header(request));
        if (++attempts.at(i) > 1) {
            return {whole, cell.framing == answer_framing::until_close ? answer_ending::close
                                                                       : answer_ending::keep_open};
        }
        return {whole.substr(0, cell.cut) + other_bytes(cell, attempt_header(request)), cell.ending,
                pause_before_reset, max_part_of(cell.cut)};
    }

    /// Plays all cells; the texts tell of those whose callers got anything but the whole answer to a repeated
    /// request, or 502 for one that may not be repeated.
    std::vector<std::string> play() {
        constexpr std::size_t batch_size = 100;
        std::vector<std::string> faults;
        for (std::size_t first = 0; first < cells.size(); first += batch_size) {
            const std::size_t size = std::min(batch_size, cells.size() - first);
            std::vector<std::optional<result<net::fetched_response>>> answers(size);
            std::size_t ended = 0;
            for (std::size_t i = 0; i < size; ++i) {
                send(first + i, [&, i](const result<net::fetched_response>& given) {
                    answers[i] = given;
                    ++ended;
                });
            }
            REQUIRE(fixture.events.run_until([&] { return ended == size; }, hang_limit));
            fixture.calls.clear();
            for (std::size_t i = 0; i < size; ++i) {
                if (!is_right(first + i, *answers[i])) {
                    faults.push_back(describe(first + i, *answers[i]));
                }
            }
        }
        return faults;
    }

    void send(std::size_t cell, const std::function<void(const result<net::fetched_response>&)>& on_answer) {
        net::http_call call;
        call.peer = fixture.listen;
        call.method = "POST";
        call.target = cells[cell].path;
        // A request that is cut off again and again would be quarantined, so each cell has one of its own.
        call.body = "order " + attempt_of(cell);
        call.timeout = hang_limit;
        call.headers = {{"host", "a.example"},
                        {"x-samphiretray-attempt-id", attempt_of(cell)},
                        {"x-samphiretray-credential", "key"},
                        {"x-samphiretray-model", "m0"}};
        fixture.calls.push_back(fixture.client->fetch(std::move(call), on_answer));
    }

    [[nodiscard]] bool is_right(std::size_t cell, const result<net::fetched_response>& answer) const {
        const std::string_view path = cells[cell].path;
        const bool is_repeated = path == "/s/1" || path == "/r/1";
        if (!answer || attempts[cell] != (is_repeated ? 2U : 1U)) {
            return false;
        }
        const auto seal = net::find_header(answer->headers, "x-samphiretray-server-seal");
        return is_repeated ? answer->status == 200 && answer->body == whole_body && seal == "seal"
                           : answer->status == 502 && seal.empty();
    }

    [[nodiscard]] std::string describe(std::size_t i, const result<net::fetched_response>& answer) const {
        const cut_cell& cell = cells[i];
        const net::http_header attempt{"x-samphiretray-attempt-id", attempt_of(i)};
        return std::string{cell.path} + ", cut at " + std::to_string(cell.cut) + ", ending " +
               std::to_string(static_cast<int>(cell.ending)) + ": " +
               whole_bytes(cell, attempt).substr(0, cell.cut) + other_bytes(cell, attempt) + " -> " +
               (answer ? std::to_string(answer->status) + " " + answer->body : to_string(answer.error())) +
               ", attempts " + std::to_string(attempts[i]);
    }

    const gateway::engine_capacity capacity{100, 10'000'000, 2, {"m0"}};
    std::vector<cut_cell> cells;
    std::vector<std::size_t> attempts;
    entry_with_servers fixture;
    scripted_server server{fixture.events,
                           [this](const net::http_request& request) { return answer(request); }};
    fake_engine engine{fixture.events};
    engine_client engine_api{
        fixture.events,
        *fixture.client,
        {.engine = engine.address(), .owner = "side-1", .order_timeout = 30ms, .recheck_interval = 2ms}};
    std::optional<gateway::engine_agent<request_binding, engine_client>> agent;
};

} // namespace

// Guards against a server, an engine or an agent that stops inside its answer's head, of which the caller got
// a whole success with an empty or short body, or a failure that is no 502.
TEST_CASE("a head that is cut at any byte reaches no caller as an answer") {
    const hop cut_at = GENERATE(hop::plain_server, hop::engine, hop::agent);
    constexpr std::array no_other{other_answer::none};
    std::vector<cut_cell> cells;
    if (cut_at != hop::plain_server) {
        cells = make_cells("", broken_endings, no_other);
    } else {
        for (const answer_ending ending : broken_endings) {
            std::ranges::copy(make_cells("", std::span{&ending, 1}, no_other), std::back_inserter(cells));
        }
        std::ranges::copy(make_cells(interim_heads.back(), broken_endings, no_other),
                          std::back_inserter(cells));
    }
    entry_before_cut_answers fixture{cut_at, std::move(cells)};
    const auto faults = fixture.play();
    INFO(fixture.cells.size() << " cells; " << summary_of(faults));
    CHECK(faults.empty());
}

// Guards against a cut head that is completed by another answer behind it on the same connection: the answer
// to an earlier request reached the caller, a failure reached it as a success, or "not run" was believed.
TEST_CASE("a head that is cut at any byte is not completed by the answer behind it for any caller") {
    const hop cut_at = GENERATE(hop::plain_server, hop::engine, hop::agent);
    entry_before_cut_answers fixture{
        cut_at, make_cells("", std::array{answer_ending::close},
                           std::array{other_answer::foreign, other_answer::failure, other_answer::not_run})};
    const auto faults = fixture.play();
    INFO(fixture.cells.size() << " cells; " << summary_of(faults));
    CHECK(faults.empty());
}

// Guards against a cut head of the store's or an engine's answer that counted as an empty listing or report.
TEST_CASE("a cut head of a listing, a lease or a report is an error and never an empty one") {
    std::vector<scripted_answer> answers;
    for (const answer_framing framing : all_framings) {
        const std::string whole =
            format_answer(framing, {{"content-type", "application/json"}},
                          R"({"items":[],"lease":1,"models":[],"at":5,"seq":1,"born":1})");
        for (std::size_t cut = 0; cut < head_size_of(whole); ++cut) {
            for (const answer_ending ending : broken_endings) {
                answers.push_back({whole.substr(0, cut), ending, pause_before_reset, max_part_of(cut)});
            }
        }
    }
    net::loop events;
    const auto client = net::http_client::create(events);
    std::size_t given = 0;
    scripted_server server{events,
                           [&](const net::http_request&) { return answers.at(given++ % answers.size()); }};
    metadata_store store{*client, {.service = server.local_address(), .timeout = hang_limit}};
    engine_client engine{
        events, *client, {.engine = server.local_address(), .owner = "side-1", .timeout = hang_limit}};
    std::size_t failed = 0;
    std::size_t ended = 0;
    const auto count = [&](const auto& outcome) {
        ++ended;
        failed += outcome ? 0U : 1U;
    };
    for (std::size_t i = 0; i < answers.size(); ++i) {
        store.list("op/", count);
        store.grant_lease(1s, count);
        engine.report(count);
        REQUIRE(events.run_until([&] { return ended + 60 > 3 * (i + 1); }, hang_limit));
    }
    REQUIRE(events.run_until([&] { return ended == 3 * answers.size(); }, hang_limit));
    CHECK(failed == ended);
}
