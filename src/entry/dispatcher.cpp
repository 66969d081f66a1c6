#include "samphiretray/entry/dispatcher.h"

#include "samphiretray/base/log.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace samphiretray::entry {

namespace {

/// Largest answer that is buffered until it is complete; larger ones are aborted.
constexpr std::size_t max_buffered_answer = 16U << 20U;
/// Unsent bytes at which the stream of a slow caller is aborted, so that one caller cannot exhaust the
/// memory.
constexpr std::size_t max_unsent_bytes = 4U << 20U;
/// Expected bytes of an answer per token, to estimate the cost of traffic between regions.
constexpr std::size_t bytes_per_token = 40;
/// Number of refusals by draining agents after which a request is not sent again outside the retry budget.
/// Such refusals do not use that budget, because they are no sign of overload.
constexpr std::uint32_t max_drain_refusals = 8;

errc to_errc(wire::refusal reason) {
    switch (reason) {
    case wire::refusal::draining:
        return errc::draining;
    case wire::refusal::load_failed:
        return errc::load_failed;
    case wire::refusal::fenced:
        return errc::fenced;
    case wire::refusal::deadline:
        return errc::timeout;
    case wire::refusal::bad_request:
        return errc::invalid_argument;
    case wire::refusal::endpoint_down:
    case wire::refusal::unknown_service:
        return errc::unavailable;
    case wire::refusal::queue_full:
    case wire::refusal::cancelled:
        break;
    }
    return errc::overloaded;
}

/// Whether a refusal indicates a fault of the endpoint and counts towards its ejection.
bool counts_as_failure(wire::refusal reason) {
    return reason == wire::refusal::endpoint_down || reason == wire::refusal::load_failed ||
           reason == wire::refusal::fenced;
}

} // namespace

struct dispatcher::attempt {
    request_pointer request;
    std::uint32_t number = 1;
    std::vector<std::string> tried;
    std::string endpoint;
    ports::vm agent;
    node::peer_pointer link;
    /// True if an earlier attempt may have run.
    bool earlier_may_have_run = false;
    time_point sent_at;
    bool has_head = false;
    std::optional<time_point> head_received_at;
    bool is_complete = false;
    wire::answer_head head;
    std::uint64_t received = 0;
    /// Body of an answer that is not streamed.
    std::string buffered_body;
};

dispatcher::dispatcher(net::loop& events, node::peer_identity self, node::peer_directory& peers,
                       const control::membership& members,
                       std::function<void(const wire::leaving_vm&)> on_leaving)
    : loop_(events), self_(std::move(self)), peers_(peers), members_(members),
      on_leaving_(std::move(on_leaving)), placement_({}, {self_.region, self_.data_centre}),
      retry_policy_({}), ejection_({}) {}

dispatcher::~dispatcher() {
    *alive_ = false;
}

void dispatcher::members_changed() {
    agents_.clear();
    std::vector<routing::endpoint> endpoints;
    std::map<std::string, std::vector<std::string>> pools;
    for (const ports::vm* vm : members_.live(loop_.now())) {
        if (vm->kind != wire::role::agent) {
            continue;
        }
        const std::string pool = vm->base_model.empty() ? vm->service : vm->base_model;
        agents_.emplace(vm->endpoint, *vm);
        endpoints.push_back(
            {vm->endpoint, pool, {vm->region, vm->data_centre}, std::max(vm->adapter_slots, 1U) * 1.0});
        pools[pool].push_back(vm->endpoint);
    }
    placement_.replace_endpoints(endpoints);
    for (const auto& [pool, names] : pools) {
        ejection_.replace_endpoints(pool, names);
    }
}

bool dispatcher::is_remote(const std::string& endpoint) const {
    const auto found = agents_.find(endpoint);
    return found != agents_.end() && found->second.region != self_.region;
}

void dispatcher::dispatch(const request_pointer& request) {
    request->on_end([this, id = request->id](const request_summary&) {
        const auto found = attempts_.find(id);
        if (found == attempts_.end()) {
            return;
        }
        const attempt_pointer running = found->second;
        if (running->link && running->link->is_open()) {
            running->link->send(wire::request_cancel{id, running->number});
        }
        ejection_.abandoned(running->endpoint, loop_.now());
        remove_attempt(running);
    });
    start_attempt(request, 1, {});
}

void dispatcher::start_attempt(const request_pointer& request, std::uint32_t number,
                               std::vector<std::string> tried) {
    const time_point now = loop_.now();
    routing::placement_request query;
    query.pool = request->pool;
    query.adapter = request->adapter;
    query.priority = request->priority;
    query.bytes = request->http.body.size() + request->token_bound * bytes_per_token;
    query.tried = tried;
    const auto candidates = placement_.candidates(
        query, now, [&](std::string_view endpoint) { return ejection_.usable(endpoint, now); });
    if (candidates.empty()) {
        request->fail(make_error(errc::unavailable, step::place, request->pool,
                                 "no endpoint of " + request->pool + " is available"),
                      1s);
        return;
    }
    const auto agent = agents_.find(candidates.front().endpoint);
    auto started = std::make_shared<attempt>();
    started->request = request;
    started->number = number;
    started->tried = std::move(tried);
    started->endpoint = agent->first;
    started->agent = agent->second;
    started->sent_at = now;
    started->earlier_may_have_run = request->may_have_run;
    attempts_[request->id] = started;
    ++counts_.attempts;
    placement_.sent(started->endpoint);
    ejection_.started(started->endpoint, now);
    if (number == 1) {
        retry_policy_.request_started(request->organisation, started->endpoint, now);
    }
    peers_.connect(started->agent.name, started->agent.peer_address,
                   [this, started, alive = alive_](const result<node::peer_pointer>& link) {
                       if (*alive) {
                           send(started, link);
                       }
                   });
}

void dispatcher::send(const attempt_pointer& started, const result<node::peer_pointer>& link) {
    const auto current = attempts_.find(started->request->id);
    if (current == attempts_.end() || current->second != started) {
        return;
    }
    if (!link) {
        ejection_.failed(started->endpoint, loop_.now());
        attempt_failed(started, link.error(), false, 1s);
        return;
    }
    started->link = *link;
    started->request->may_have_run = true;
    started->sent_at = loop_.now();
    (*link)->send(make_open(*started, loop_.now()));
}

wire::request_open dispatcher::make_open(const attempt& started, time_point now) {
    const request_context& request = *started.request;
    wire::request_open open;
    open.request = request.id;
    open.attempt = started.number;
    open.request_id = request.request_id;
    open.organisation = request.organisation;
    open.service = request.service;
    open.adapter = request.adapter.adapter;
    open.version = request.adapter.version;
    open.priority = request.priority;
    open.idempotent = request.idempotent;
    open.deadline_ms =
        static_cast<std::uint32_t>(milliseconds_in(routing::retry_policy::time_left(request.deadline, now)));
    open.tokens = request.token_bound;
    open.method = request.http.method;
    open.path = request.target;
    open.content_type = find_header(request.http.headers, "content-type");
    if (request.completion) {
        open.streamed = request.completion->streamed;
        open.body = forwarded_body(*request.completion, request.adapter.version, request.priority);
    } else {
        open.body = request.http.body;
    }
    return open;
}

bool dispatcher::handle(const node::peer_pointer& from, wire::message& value) {
    if (const auto* head = std::get_if<wire::answer_head>(&value)) {
        on_head(from, *head);
    } else if (auto* data = std::get_if<wire::answer_data>(&value)) {
        on_data(from, *data);
    } else if (const auto* end = std::get_if<wire::answer_end>(&value)) {
        on_answer_end(from, *end);
    } else if (const auto* refused = std::get_if<wire::request_refused>(&value)) {
        on_refused(from, *refused);
    } else {
        return false;
    }
    return true;
}

dispatcher::attempt_pointer dispatcher::find(const node::peer_pointer& from, std::uint64_t request,
                                             std::uint32_t number) {
    const auto found = attempts_.find(request);
    const bool current =
        found != attempts_.end() && found->second->number == number && found->second->link == from;
    if (!current) {
        ++counts_.late_answers;
        return nullptr;
    }
    return found->second;
}

void dispatcher::on_head(const node::peer_pointer& from, const wire::answer_head& head) {
    const auto current_attempt = find(from, head.request, head.attempt);
    if (!current_attempt) {
        return;
    }
    request_context& request = *current_attempt->request;
    const time_point now = loop_.now();
    const ports::adapter_version answered_by{head.adapter, head.version};
    if (answered_by != request.adapter || current_attempt->has_head) {
        ++counts_.wrong_version;
        ejection_.failed(current_attempt->endpoint, now);
        attempt_failed(current_attempt,
                       make_error(errc::wrong_version, step::receive, current_attempt->endpoint,
                                  "the endpoint ran another adapter version"),
                       true, std::nullopt);
        return;
    }
    current_attempt->has_head = true;
    current_attempt->head_received_at = now;
    current_attempt->head = head;
    counts_.cold_starts += head.cold ? 1 : 0;
    placement_.observe_answer(
        {current_attempt->endpoint, request.adapter, head.cold, now - current_attempt->sent_at, head.load},
        now);
    request.event_stream = head.content_type.starts_with("text/event-stream");
    if (request.event_stream) {
        start_response(*current_attempt, {{"cache-control", "no-store"}});
    }
}

void dispatcher::start_response(attempt& current_attempt, const net::http_headers& extra) {
    request_context& request = *current_attempt.request;
    net::http_headers headers{{"content-type", current_attempt.head.content_type},
                              {"x-request-id", request.request_id}};
    if (!request.adapter.adapter.empty()) {
        headers.push_back({"x-adapter-version", request.adapter.adapter + "@" + request.adapter.version});
    }
    std::ranges::copy(extra, std::back_inserter(headers));
    request.response->start(current_attempt.head.status, headers);
}

void dispatcher::on_data(const node::peer_pointer& from, wire::answer_data& data) {
    const auto current_attempt = find(from, data.request, data.attempt);
    if (!current_attempt) {
        return;
    }
    request_context& request = *current_attempt->request;
    if (!current_attempt->has_head || data.offset != current_attempt->received) {
        ++counts_.truncated_answers;
        attempt_failed(current_attempt,
                       make_error(errc::protocol_error, step::receive, current_attempt->endpoint,
                                  "a part of the answer is missing"),
                       true, std::nullopt);
        return;
    }
    current_attempt->received += data.bytes.size();
    if (is_remote(current_attempt->endpoint)) {
        counts_.remote_bytes += data.bytes.size();
    }
    if (!request.first_byte) {
        request.first_byte = loop_.now();
    }
    if (!request.event_stream) {
        current_attempt->buffered_body += data.bytes;
    } else {
        request.response->write(data.bytes);
    }
    if (current_attempt->buffered_body.size() > max_buffered_answer ||
        request.response->buffered_bytes() > max_unsent_bytes) {
        ++counts_.truncated_answers;
        request.fail(make_error(errc::too_large, step::receive, current_attempt->endpoint,
                                "the answer is too large or the caller reads too slowly"));
    }
}

void dispatcher::on_answer_end(const node::peer_pointer& from, const wire::answer_end& end) {
    const auto current_attempt = find(from, end.request, end.attempt);
    if (!current_attempt) {
        return;
    }
    const time_point now = loop_.now();
    placement_.observe_load(current_attempt->endpoint, end.load, now);
    if (!end.whole || !current_attempt->has_head || end.length != current_attempt->received) {
        ++counts_.truncated_answers;
        ejection_.failed(current_attempt->endpoint, now);
        attempt_failed(current_attempt,
                       make_error(errc::connection_closed, step::receive, current_attempt->endpoint,
                                  end.reason.empty() ? "the answer was cut" : end.reason),
                       true, std::nullopt);
        return;
    }
    if (current_attempt->head.status >= 500) {
        ejection_.failed(current_attempt->endpoint, now);
    } else {
        ejection_.succeeded(current_attempt->endpoint, now);
    }
    complete(current_attempt, end);
}

void dispatcher::complete(const attempt_pointer& finished_attempt, const wire::answer_end& end) {
    const request_pointer request = finished_attempt->request;
    request_summary summary;
    summary.status = finished_attempt->head.status;
    summary.tokens = end.tokens;
    summary.content_type = finished_attempt->head.content_type;
    summary.body = finished_attempt->buffered_body;
    if (!request->event_stream) {
        start_response(*finished_attempt,
                       {{"content-length", std::to_string(finished_attempt->buffered_body.size())}});
        request->response->write(finished_attempt->buffered_body);
    }
    request->response->finish();
    finished_attempt->is_complete = true;
    remove_attempt(finished_attempt);
    request->complete(summary);
}

void dispatcher::on_refused(const node::peer_pointer& from, const wire::request_refused& refused) {
    const auto found = find(from, refused.request, refused.attempt);
    if (!found) {
        return;
    }
    const time_point now = loop_.now();
    placement_.observe_refusal(found->endpoint, found->request->adapter, refused.reason, refused.load, now);
    if (refused.reason == wire::refusal::draining && !refused.forwarded) {
        on_leaving_({from->identity().vm, from->identity().incarnation});
        ejection_.abandoned(found->endpoint, now);
        if (resend_elsewhere(found)) {
            return;
        }
    } else if (counts_as_failure(refused.reason)) {
        ejection_.failed(found->endpoint, now);
    } else {
        ejection_.abandoned(found->endpoint, now);
    }
    const auto retry_after = std::chrono::milliseconds{refused.retry_after_ms};
    attempt_failed(found,
                   make_error(to_errc(refused.reason), step::run, found->endpoint,
                              refused.detail.empty() ? std::string{name_of(refused.reason)} : refused.detail),
                   refused.forwarded, retry_after);
}

void dispatcher::attempt_failed(const attempt_pointer& failed, error cause, bool forwarded,
                                std::optional<duration> retry_after) {
    const request_pointer request = failed->request;
    request->may_have_run = forwarded || failed->earlier_may_have_run;
    routing::failed_attempt failure;
    failure.organisation = request->organisation;
    failure.endpoint = failed->endpoint;
    failure.attempts = failed->number;
    failure.deadline = request->deadline;
    failure.idempotent = request->idempotent;
    failure.forwarded = forwarded;
    failure.streamed = request->response->is_started();
    const auto decision = retry_policy_.decide(failure, loop_.now());
    log_event(log_level::info, "attempt_failed",
              {{"request", request->request_id},
               {"attempt", failed->number},
               {"step", name_of(cause.failed_step)},
               {"peer", cause.peer},
               {"code", cause.code.message()},
               {"detail", cause.detail},
               {"forwarded", forwarded ? "true" : "false"},
               {"verdict", name_of(decision)}});
    auto tried = failed->tried;
    tried.push_back(failed->endpoint);
    if (failed->link && failed->link->is_open() && forwarded) {
        failed->link->send(wire::request_cancel{request->id, failed->number});
    }
    remove_attempt(failed);
    if (decision == routing::retry_verdict::retry) {
        ++counts_.retries;
        start_attempt(request, failed->number + 1, std::move(tried));
        return;
    }
    if (decision == routing::retry_verdict::outcome_unknown) {
        cause.code = make_error_code(errc::outcome_unknown);
    }
    request->fail(std::move(cause), retry_after);
}

bool dispatcher::resend_elsewhere(const attempt_pointer& refused) {
    if (refused->number > max_drain_refusals) {
        return false;
    }
    const request_pointer request = refused->request;
    request->may_have_run = refused->earlier_may_have_run;
    auto tried = refused->tried;
    tried.push_back(refused->endpoint);
    remove_attempt(refused);
    start_attempt(request, refused->number + 1, std::move(tried));
    return true;
}

void dispatcher::remove_attempt(const attempt_pointer& finished_attempt) {
    const auto found = attempts_.find(finished_attempt->request->id);
    if (found == attempts_.end() || found->second != finished_attempt) {
        return;
    }
    const bool is_complete = finished_attempt->head_received_at && finished_attempt->is_complete;
    placement_.finished(finished_attempt->endpoint,
                        is_complete ? std::optional{loop_.now() - *finished_attempt->head_received_at}
                                    : std::nullopt);
    attempts_.erase(found);
}

void dispatcher::on_peer_closed(const node::peer_pointer& closed_peer) {
    std::vector<attempt_pointer> affected;
    for (const auto& running : attempts_ | std::views::values) {
        if (running->link == closed_peer) {
            affected.push_back(running);
        }
    }
    for (const attempt_pointer& each : affected) {
        ejection_.failed(each->endpoint, loop_.now());
        attempt_failed(each,
                       make_error(errc::connection_closed, step::receive, each->endpoint,
                                  "the link to the agent was lost"),
                       true, 1s);
    }
}

} // namespace samphiretray::entry
