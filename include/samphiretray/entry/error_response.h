#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/base/time.h"
#include "samphiretray/net/http_server.h"

#include <optional>
#include <string>

namespace samphiretray::entry {

/// Whether a refused request may have run.
enum class outcome { not_run, unknown };

/// A failure as it is told to the caller.
struct refusal {
    error cause;
    outcome result = outcome::not_run;
    /// Sent as Retry-After, in whole seconds, at least 1.
    std::optional<duration> retry_after;
};

/// The HTTP status for an error; see docs/protocols.md.
[[nodiscard]] int http_status(const refusal& value) noexcept;

/// The JSON body for a caller. Peers inside the system are named, callers' data is not repeated.
[[nodiscard]] std::string error_body(const refusal& value, const std::string& request_id);

/// Answers a request whose response has not been started.
void send_refusal(net::http_response& response, const refusal& value, const std::string& request_id);

/// Ends a response that has been started, so that it cannot be taken for a whole one: an error event if it is
/// a stream of events, and a broken connection.
void abort_response(net::http_response& response, bool event_stream, const refusal& value,
                    const std::string& request_id);

} // namespace samphiretray::entry

namespace samphiretray {

template <>
inline constexpr auto name_table<entry::outcome> =
    std::to_array<std::pair<entry::outcome, std::string_view>>({
        {entry::outcome::not_run, "not_run"},
        {entry::outcome::unknown, "unknown"},
    });

} // namespace samphiretray
