#pragma once

#include "samphiretray/base/error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace samphiretray::entry {

/// The fields of a completion request that an entry uses.
struct completion_request {
    std::string adapter;
    /// Empty if the caller named no version.
    std::string version;
    bool streamed = false;
    std::uint32_t max_tokens = 0;
    /// Upper bound of prompt and completion tokens together.
    std::uint32_t token_bound = 0;
    /// The body as received, known to be valid JSON; see `forwarded_body`.
    std::string body;
};

/// Default of `max_tokens`. Admission against a token rate needs a bound for every request.
inline constexpr std::uint32_t default_max_tokens = 256;
/// Largest accepted value of `max_tokens`.
inline constexpr std::uint32_t max_tokens_limit = 32'768;

/// Parses the body of a completion request. Fails with `errc::invalid_argument` (step `parse`) naming the
/// field and the allowed values.
[[nodiscard]] result<completion_request> parse_completion(std::string_view body);

/// The body to send to the engine: with the adapter and `version` as the model, an explicit `max_tokens`, the
/// organisation's priority and, for streams, a request for the token usage.
[[nodiscard]] std::string forwarded_body(const completion_request& request, std::string_view version,
                                         bool priority);

} // namespace samphiretray::entry
