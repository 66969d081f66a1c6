#include "samphiretray/gateway/answer_classification.h"

#include "samphiretray/base/text.h"

#include <algorithm>
#include <array>

namespace samphiretray::gateway {

namespace {

/// The content type without its parameters; empty if none is named.
std::string_view media_type_of(const net::http_headers& headers) {
    const std::string_view named = net::find_header(headers, "content-type");
    return trim(named.substr(0, named.find(';')));
}

} // namespace

answer_class classify_answer(const answer_summary& answer, std::string_view attempt_id) {
    if (answer.attempt_id != attempt_id || answer.has_content_encoding) {
        return answer_class::mismatched;
    }
    if (answer.not_run) {
        return answer_class::not_run;
    }
    return answer.is_signed ? answer_class::matching : answer_class::mismatched;
}

bool promises_not_run(int status) noexcept {
    constexpr auto promises = std::to_array({408, 421, 429, 503});
    return std::ranges::find(promises, status) != promises.end();
}

bool names_event_stream(const net::http_headers& headers) {
    return net::equals_ignore_case(media_type_of(headers), "text/event-stream");
}

bool is_event_stream(call_kind kind, int status, const net::http_headers& headers) {
    const bool may_be_events = media_type_of(headers).empty() || names_event_stream(headers);
    return kind == call_kind::streaming && status >= 200 && status < 300 && may_be_events;
}

stream_end classify_stream_end(const event_stream_parser& events, bool ends_at_close, bool continues_stream) {
    if (events.is_inside_event()) {
        return stream_end::inside_event;
    }
    const bool lacks_events = ends_at_close && !continues_stream && !events.has_events();
    return lacks_events ? stream_end::before_first_event : stream_end::whole;
}

} // namespace samphiretray::gateway
