#include "samphiretray/entry/request_context.h"

#include "samphiretray/base/hash.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace samphiretray::entry {

request_context::request_context(std::uint64_t number, net::http_request received,
                                 std::shared_ptr<net::http_response> answer, time_point now)
    : id(number), id_text(random_hex(12)), http(std::move(received)), response(std::move(answer)),
      arrived(now), deadline(now) {}

void request_context::on_end(std::function<void(const request_end&)> action) {
    end_actions_.push_back(std::move(action));
}

void request_context::refuse(const refusal& value) {
    if (ended_) {
        return;
    }
    const std::string code = value.cause.code.message();
    request_end how;
    how.status = http_status(value);
    how.result = value.result;
    how.code = code;
    if (response->is_started()) {
        abort_response(*response, event_stream, value, id_text);
    } else {
        send_refusal(*response, value, id_text);
    }
    end(how);
}

void request_context::fail(error cause, std::optional<duration> retry_after) {
    refuse({std::move(cause), may_have_run ? outcome::unknown : outcome::not_run, retry_after});
}

void request_context::complete(request_end how) {
    how.answered = true;
    end(how);
}

void request_context::abandon() {
    request_end how;
    how.result = may_have_run ? outcome::unknown : outcome::not_run;
    how.code = "caller_left";
    end(how);
}

void request_context::end(const request_end& how) {
    if (ended_) {
        return;
    }
    ended_ = true;
    const auto self = shared_from_this();
    const auto actions = std::exchange(end_actions_, {});
    std::ranges::for_each(std::views::reverse(actions), [&how](const auto& action) { action(how); });
}

} // namespace samphiretray::entry
