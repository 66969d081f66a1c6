#pragma once

#include "samphiretray/base/name_table.h"
#include "samphiretray/gateway/event_stream_parser.h"
#include "samphiretray/gateway/model.h"
#include "samphiretray/net/http.h"

#include <string_view>

namespace samphiretray::gateway {

/// How the head of an answer relates to the request that was sent on the same connection.
enum class answer_class {
    /// The endpoint's answer to the request, whether a success or a failure.
    matching,
    /// The endpoint says that the request has not run and will not.
    not_run,
    /// Not an answer to this request. Answers no longer match requests on this connection, so it must not be
    /// reused; the request may have run.
    mismatched,
};

/// Checks whether an answer belongs to the request `attempt_id`. One that names another attempt does not,
/// even if it says that the request has not run: it may be a late copy of an earlier answer. Nor does one
/// that names no attempt, has a content encoding that was not requested, or is unsigned without saying that
/// the request has not run.
[[nodiscard]] answer_class classify_answer(const answer_summary& answer, std::string_view attempt_id);

/// Whether a response with this status tells a caller that the request has not run and will not.
[[nodiscard]] bool promises_not_run(int status) noexcept;

/// True if the headers name the content type of event streams.
[[nodiscard]] bool names_event_stream(const net::http_headers& headers);

/// True if the body of an answer with this status and these headers is an event stream: any successful answer
/// on a streaming route, unless it names another content type.
[[nodiscard]] bool is_event_stream(call_kind kind, int status, const net::http_headers& headers);

/// Where a stream stands when its body ends without an error.
enum class stream_end {
    whole,
    /// Broken off: an event has begun that has no end.
    inside_event,
    /// Broken off: a stream that ends with its connection has at least one event, unless it continues one of
    /// which the caller may have them all.
    before_first_event,
};

/// `ends_at_close` tells that the body ends with its connection, `continues_stream` that the attempt was to
/// go on behind an event that the caller has.
[[nodiscard]] stream_end classify_stream_end(const event_stream_parser& events, bool ends_at_close,
                                             bool continues_stream);

} // namespace samphiretray::gateway

namespace samphiretray {

template <>
inline constexpr auto name_table<gateway::answer_class> =
    std::to_array<std::pair<gateway::answer_class, std::string_view>>({
        {gateway::answer_class::matching, "own"},
        {gateway::answer_class::not_run, "not_run"},
        {gateway::answer_class::mismatched, "foreign"},
    });

template <>
inline constexpr auto name_table<gateway::stream_end> =
    std::to_array<std::pair<gateway::stream_end, std::string_view>>({
        {gateway::stream_end::whole, "whole"},
        {gateway::stream_end::inside_event, "ended_inside_event"},
        {gateway::stream_end::before_first_event, "ended_without_event"},
    });

} // namespace samphiretray
