#pragma once

#include "samphiretray/base/error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace samphiretray::entry {

/// What an entry needs to know of a completion request.
struct completion_request {
    std::string adapter;
    /// Empty if the caller named no version.
    std::string version;
    bool streamed = false;
    std::uint32_t max_tokens = 0;
    /// Upper bound of prompt and completion tokens together.
    std::uint32_t token_bound = 0;
    /// The body as it came, parsed; see `forwarded_body`.
    std::string body;
};

/// Default of `max_tokens`. A request without a bound could not be admitted against a rate.
inline constexpr std::uint32_t default_max_tokens = 256;
/// Larger values of `max_tokens` are refused.
inline constexpr std::uint32_t max_max_tokens = 32'768;

/// Parses the body of a completion request. Fails with `errc::invalid_argument` (step `parse`) naming the
/// field and what is allowed.
[[nodiscard]] result<completion_request> parse_completion(std::string_view body);

/// The body for the engine: the model's full name, an explicit bound on tokens, usage in streams, the
/// organisation's priority.
[[nodiscard]] std::string forwarded_body(const completion_request& request, std::string_view version,
                                         bool priority);

} // namespace samphiretray::entry
