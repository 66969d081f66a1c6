#pragma once

#include "tests/support/scripted_server.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::net::testing {

inline constexpr auto all_framings =
    std::to_array({answer_framing::length, answer_framing::chunks, answer_framing::until_close});
inline constexpr auto broken_endings =
    std::to_array({answer_ending::close, answer_ending::half_close, answer_ending::reset});

/// What a server may send before the final head.
inline constexpr auto interim_heads = std::to_array<std::string_view>(
    {"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"});

/// The time that is enough for cut bytes to arrive before a reset; the results do not depend on it.
inline constexpr duration pause_before_reset = 3ms;

/// The size of the head at the start of an answer.
[[nodiscard]] inline std::size_t head_size_of(std::string_view answer) {
    return answer.find("\r\n\r\n") + 4;
}

/// The size of the parts in which the answer with this cut is written: every second one arrives in several.
[[nodiscard]] inline std::size_t max_part_of(std::size_t cut) {
    return cut % 2 == 0 ? 50U : 1000U;
}

/// The number of faults and the first of them, for the message of a failed check.
[[nodiscard]] inline std::string summary_of(const std::vector<std::string>& faults) {
    return faults.empty() ? "" : std::to_string(faults.size()) + " faults, the first: " + faults.front();
}

} // namespace samphiretray::net::testing
