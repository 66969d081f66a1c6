#include "samphiretray/entry/request_context.h"

#include "samphiretray/base/hash.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace samphiretray::entry {

request_context::request_context(std::uint64_t number, net::http_request received,
                                 std::shared_ptr<net::http_response> answer, time_point now)
    : id(number), request_id(random_hex(12)), http(std::move(received)), response(std::move(answer)),
      arrived(now), deadline(now) {}

void request_context::on_end(std::function<void(const request_summary&)> action) {
    end_handlers_.push_back(std::move(action));
}

void request_context::refuse(const caller_error& value) {
    if (ended_) {
        return;
    }
    const std::string code = value.cause.code.message();
    request_summary summary;
    summary.status = http_status(value);
    summary.result = value.result;
    summary.code = code;
    if (response->is_started()) {
        abort_response(*response, event_stream, value, request_id);
    } else {
        send_error(*response, value, request_id);
    }
    end(summary);
}

void request_context::fail(error cause, std::optional<duration> retry_after) {
    refuse({std::move(cause), may_have_run ? outcome::unknown : outcome::not_run, retry_after});
}

void request_context::complete(request_summary summary) {
    summary.answered = true;
    end(summary);
}

void request_context::abandon() {
    request_summary summary;
    summary.result = may_have_run ? outcome::unknown : outcome::not_run;
    summary.code = "caller_left";
    end(summary);
}

void request_context::end(const request_summary& summary) {
    if (ended_) {
        return;
    }
    ended_ = true;
    const auto self = shared_from_this();
    const auto actions = std::exchange(end_handlers_, {});
    std::ranges::for_each(std::views::reverse(actions), [&summary](const auto& action) { action(summary); });
}

} // namespace samphiretray::entry
