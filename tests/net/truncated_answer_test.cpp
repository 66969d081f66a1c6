#include "samphiretray/net/http_client.h"

#include "tests/support/raw_socket.h"
#include "tests/support/scripted_server.h"
#include "tests/support/truncated_answers.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>

using namespace samphiretray;
using namespace samphiretray::net;
using namespace samphiretray::net::testing;

namespace {

/// What the callbacks of a call received.
struct call_record {
    std::size_t heads = 0;
    int status = 0;
    std::string body;
    bool ended = false;
    std::optional<error> failure;
    std::unique_ptr<http_exchange> exchange;
};

/// Plays each answer once, many at a time, and calls `check` with the index of the answer and what its caller
/// received.
template <typename Check>
void play(const std::vector<scripted_answer>& answers, Check&& check) {
    constexpr std::size_t batch_size = 200;
    loop events;
    const auto client = http_client::create(events);
    scripted_server server{
        events, [&](const http_request& request) { return answers.at(std::stoul(request.path.substr(1))); }};
    for (std::size_t first = 0; first < answers.size(); first += batch_size) {
        std::vector<call_record> calls(std::min(batch_size, answers.size() - first));
        std::size_t ended = 0;
        for (std::size_t i = 0; i < calls.size(); ++i) {
            http_call call;
            call.peer = server.local_address();
            call.target = "/" + std::to_string(first + i);
            call.timeout = hang_limit;
            call_record& to = calls[i];
            to.exchange = client->send(std::move(call), {[&to](int status, const http_headers&) {
                                                             ++to.heads;
                                                             to.status = status;
                                                         },
                                                         [&to](std::string_view bytes) { to.body += bytes; },
                                                         [&to, &ended](std::optional<error> failure) {
                                                             ++ended;
                                                             to.ended = true;
                                                             to.failure = std::move(failure);
                                                         }});
        }
        REQUIRE(events.run_until([&] { return ended == calls.size(); }, hang_limit));
        for (std::size_t i = 0; i < calls.size(); ++i) {
            check(first + i, calls[i]);
        }
    }
}

/// Texts of the answers that broke a rule; empty in a test that passes.
std::string describe(const scripted_answer& answer, const call_record& call) {
    return std::to_string(static_cast<int>(answer.ending)) + " " + answer.bytes + " -> " +
           std::to_string(call.heads) + " heads, status " + std::to_string(call.status) + ", body " +
           call.body + ", " + (call.failure ? to_string(*call.failure) : "whole");
}

/// The answers to a request with the final head's headers in either order, so that each header is the last
/// one before the cut in some of them.
std::vector<std::string> whole_answers(std::string_view body, int status = 200) {
    http_headers headers{{"Answer-To", "first"}, {"Seal", "abcdef"}, {"Content-Type", "text/plain"}};
    std::vector<std::string> answers;
    for (const answer_framing framing : all_framings) {
        answers.push_back(format_answer(framing, headers, body, status));
        std::ranges::reverse(headers);
        answers.push_back(format_answer(framing, headers, body, status));
        std::ranges::reverse(headers);
    }
    return answers;
}

} // namespace

// Guards against a server that stops inside its answer's head, of whose client an empty answer counted as
// whole.
TEST_CASE("a head that is cut at any byte is an error, however the connection ends") {
    std::vector<scripted_answer> answers;
    for (const std::string& whole : whole_answers("whole")) {
        for (const std::string_view interim : interim_heads) {
            const std::string bytes = std::string{interim} + whole;
            const std::size_t size = interim.size() + head_size_of(whole);
            for (std::size_t cut = 0; cut < size; ++cut) {
                for (const answer_ending ending : broken_endings) {
                    answers.push_back({bytes.substr(0, cut), ending, pause_before_reset, max_part_of(cut)});
                }
            }
        }
    }
    std::vector<std::string> faults;
    play(answers, [&](std::size_t i, const call_record& call) {
        if (call.heads != 0 || !call.failure || call.failure->code != errc::connection_closed) {
            faults.push_back(describe(answers[i], call));
        }
    });
    INFO(answers.size() << " answers; " << summary_of(faults));
    CHECK(faults.empty());
}

// Guards against a cut head that is completed by the head of another answer behind it: the status of the one
// came with the headers and the body of the other.
TEST_CASE("a head that is cut at any byte is not completed by another answer behind it") {
    std::vector<scripted_answer> answers;
    const std::vector<std::string> others = [] {
        auto all = whole_answers("other", 500);
        std::ranges::copy(whole_answers("other", 200), std::back_inserter(all));
        return all;
    }();
    for (const std::string& whole : whole_answers("whole")) {
        for (const std::string_view interim : interim_heads) {
            const std::string bytes = std::string{interim} + whole;
            const std::size_t size = interim.size() + head_size_of(whole);
            for (std::size_t cut = 1; cut < size; ++cut) {
                if (bytes.substr(0, cut).ends_with("\r\n\r\n")) {
                    continue; // Only interim heads come before the other answer.
                }
                const std::string& other = others[answers.size() % others.size()];
                answers.push_back({bytes.substr(0, cut) + other, answer_ending::close, pause_before_reset,
                                   max_part_of(cut)});
            }
        }
    }
    std::vector<std::string> faults;
    play(answers, [&](std::size_t i, const call_record& call) {
        if (call.heads != 0 || !call.failure) {
            faults.push_back(describe(answers[i], call));
        }
    });
    INFO(answers.size() << " answers; " << summary_of(faults));
    CHECK(faults.empty());
}

TEST_CASE("a header that names a version of HTTP without a status is no sign of a cut head") {
    const std::string_view value =
        GENERATE("HTTP/1.1 proxy.example", "1.1 a, HTTP/1.0 b", "HTTP/1.1", "HTTP/1.1 20", "HTTP/2.0 200");
    const std::vector<scripted_answer> answers{
        {format_answer(answer_framing::length, {{"Via", std::string{value}}}, "whole")}};
    play(answers, [&](std::size_t, const call_record& call) {
        INFO(describe(answers[0], call));
        CHECK_FALSE(call.failure);
        CHECK(call.body == "whole");
    });
}

namespace {

constexpr std::string_view chunked_head =
    "HTTP/1.1 200 OK\r\nAnswer-To: first\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Sizes with leading zeros, an extension and a trailer.
constexpr std::string_view chunks =
    "0005\r\nhello\r\n06;name=\"v\"\r\n world\r\n1\r\n!\r\n000\r\nX-Trailer: 1\r\nX-More: 2\r\n\r\n";
constexpr std::string_view chunked_body = "hello world!";

} // namespace

// Guards against a chunked answer that ends inside a size, a chunk, the last chunk or a trailer and looks
// whole.
TEST_CASE("a chunked answer that is cut at any byte is an error, however the connection ends") {
    std::vector<scripted_answer> answers;
    for (std::size_t cut = 0; cut < chunks.size(); ++cut) {
        for (const answer_ending ending : broken_endings) {
            for (const std::size_t max_part : {std::size_t{1000}, chunked_head.size(), std::size_t{40}}) {
                answers.push_back({std::string{chunked_head}.append(chunks.substr(0, cut)), ending,
                                   pause_before_reset, max_part});
            }
        }
    }
    std::vector<std::string> faults;
    play(answers, [&](std::size_t i, const call_record& call) {
        if (!call.failure || call.failure->code != errc::connection_closed ||
            !chunked_body.starts_with(call.body)) {
            faults.push_back(describe(answers[i], call));
        }
    });
    INFO(answers.size() << " answers; " << summary_of(faults));
    CHECK(faults.empty());
}

// Guards against a size of which only leading zeros came, and that another answer behind it made the last
// chunk.
TEST_CASE("a chunked answer that is cut at any byte is not completed by another answer behind it") {
    std::vector<scripted_answer> answers;
    for (std::size_t cut = 0; cut < chunks.size(); ++cut) {
        for (const std::string& other : whole_answers("other", 500)) {
            answers.push_back({std::string{chunked_head}.append(chunks.substr(0, cut)) + other,
                               answer_ending::close, pause_before_reset, max_part_of(cut)});
        }
    }
    std::vector<std::string> faults;
    play(answers, [&](std::size_t i, const call_record& call) {
        if (!call.failure && call.body != chunked_body) {
            faults.push_back(describe(answers[i], call));
        }
    });
    INFO(answers.size() << " answers; " << summary_of(faults));
    CHECK(faults.empty());
}
