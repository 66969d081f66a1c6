#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/base/time.h"
#include "samphiretray/net/http_server.h"

#include <optional>
#include <string>

namespace samphiretray::entry {

/// Whether a refused request may have run.
enum class outcome { not_run, unknown };

/// An error as it is reported to the caller.
struct caller_error {
    error cause;
    outcome result = outcome::not_run;
    /// Sent as Retry-After, in whole seconds, at least 1.
    std::optional<duration> retry_after;
};

/// The HTTP status for an error; see docs/protocols.md.
[[nodiscard]] int http_status(const caller_error& value) noexcept;

/// The JSON body for a caller. It names peers inside the system but repeats none of the caller's data.
[[nodiscard]] std::string error_body(const caller_error& value, const std::string& request_id);

/// Sends the error as the whole response; the response must not have been started.
void send_error(net::http_response& response, const caller_error& value, const std::string& request_id);

/// Aborts a response that has been started, so that the caller cannot take it for a complete one: sends an
/// error event if it is an event stream, then breaks the connection.
void abort_response(net::http_response& response, bool event_stream, const caller_error& value,
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
