#include "samphiretray/entry/dispatcher.h"

#include "samphiretray/base/log.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace samphiretray::entry {

namespace {

/// Largest answer that is held until it is whole; larger ones are cut.
constexpr std::size_t max_held_answer = 16U << 20U;
/// Bytes that wait for a slow caller before its stream is cut, so that one caller cannot fill the memory.
constexpr std::size_t max_unsent_bytes = 4U << 20U;
/// Expected size of an answer in bytes for each token, for the price of bytes between regions.
constexpr std::size_t bytes_per_token = 40;
/// Stopping agents that one request may meet. Such a refusal says nothing about load, so it does not use the
/// retry budget.
constexpr std::uint32_t max_redirects = 8;

errc code_of(wire::refusal reason) {
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

/// Refusals that speak against the endpoint itself.
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
    /// Arrival of the head.
    std::optional<time_point> occupied_from;
    bool whole = false;
    wire::answer_head head;
    std::uint64_t received = 0;
    /// Body of an answer that is passed on as a whole.
    std::string held;
};

dispatcher::dispatcher(net::loop& events, node::peer_identity self, node::peer_directory& peers,
                       const control::membership& members,
                       std::function<void(const wire::leaving_vm&)> on_leaving)
    : loop_(events), self_(std::move(self)), peers_(peers), members_(members),
      on_leaving_(std::move(on_leaving)), placement_({}, {self_.region, self_.data_centre}), retries_({}),
      ejection_({}) {}

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
            {vm->endpoint, pool, {vm->region, vm->data_centre}, std::max(vm->slots, 1U) * 1.0});
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
    request->on_end([this, id = request->id](const request_end&) {
        const auto found = attempts_.find(id);
        if (found == attempts_.end()) {
            return;
        }
        const attempt_pointer running = found->second;
        if (running->link && running->link->is_open()) {
            running->link->send(wire::request_cancel{id, running->number});
        }
        ejection_.abandoned(running->endpoint, loop_.now());
        forget(running);
    });
    try_next(request, 1, {});
}

void dispatcher::try_next(const request_pointer& request, std::uint32_t number,
                          std::vector<std::string> tried) {
    const time_point now = loop_.now();
    routing::placement_request wanted;
    wanted.pool = request->pool;
    wanted.adapter = request->adapter;
    wanted.priority = request->priority;
    wanted.bytes = request->http.body.size() + request->token_bound * bytes_per_token;
    wanted.tried = tried;
    const auto candidates = placement_.candidates(
        wanted, now, [&](std::string_view endpoint) { return ejection_.usable(endpoint, now); });
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
        retries_.request_started(request->organisation, started->endpoint, now);
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
    open.request_id = request.id_text;
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
    const auto answered = find(from, head.request, head.attempt);
    if (!answered) {
        return;
    }
    request_context& request = *answered->request;
    const time_point now = loop_.now();
    const ports::adapter_version ran{head.adapter, head.version};
    if (ran != request.adapter || answered->has_head) {
        ++counts_.wrong_version;
        ejection_.failed(answered->endpoint, now);
        attempt_failed(answered,
                       make_error(errc::wrong_version, step::receive, answered->endpoint,
                                  "the endpoint ran another adapter version"),
                       true, std::nullopt);
        return;
    }
    answered->has_head = true;
    answered->occupied_from = now;
    answered->head = head;
    counts_.cold_starts += head.cold ? 1 : 0;
    placement_.observe_answer(
        {answered->endpoint, request.adapter, head.cold, now - answered->sent_at, head.load}, now);
    request.event_stream = head.content_type.starts_with("text/event-stream");
    if (request.event_stream) {
        start_response(*answered, {{"cache-control", "no-store"}});
    }
}

void dispatcher::start_response(attempt& answered, const net::http_headers& extra) {
    request_context& request = *answered.request;
    net::http_headers headers{{"content-type", answered.head.content_type},
                              {"x-request-id", request.id_text}};
    if (!request.adapter.adapter.empty()) {
        headers.push_back({"x-adapter-version", request.adapter.adapter + "@" + request.adapter.version});
    }
    std::ranges::copy(extra, std::back_inserter(headers));
    request.response->start(answered.head.status, headers);
}

void dispatcher::on_data(const node::peer_pointer& from, wire::answer_data& data) {
    const auto answered = find(from, data.request, data.attempt);
    if (!answered) {
        return;
    }
    request_context& request = *answered->request;
    if (!answered->has_head || data.offset != answered->received) {
        ++counts_.cut_answers;
        attempt_failed(answered,
                       make_error(errc::protocol_error, step::receive, answered->endpoint,
                                  "a part of the answer is missing"),
                       true, std::nullopt);
        return;
    }
    answered->received += data.bytes.size();
    if (is_remote(answered->endpoint)) {
        counts_.remote_bytes += data.bytes.size();
    }
    if (!request.first_byte) {
        request.first_byte = loop_.now();
    }
    if (!request.event_stream) {
        answered->held += data.bytes;
    } else {
        request.response->write(data.bytes);
    }
    if (answered->held.size() > max_held_answer || request.response->buffered_bytes() > max_unsent_bytes) {
        ++counts_.cut_answers;
        request.fail(make_error(errc::too_large, step::receive, answered->endpoint,
                                "the answer is too large or the caller reads too slowly"));
    }
}

void dispatcher::on_answer_end(const node::peer_pointer& from, const wire::answer_end& end) {
    const auto answered = find(from, end.request, end.attempt);
    if (!answered) {
        return;
    }
    const time_point now = loop_.now();
    placement_.observe_load(answered->endpoint, end.load, now);
    if (!end.whole || !answered->has_head || end.length != answered->received) {
        ++counts_.cut_answers;
        ejection_.failed(answered->endpoint, now);
        attempt_failed(answered,
                       make_error(errc::connection_closed, step::receive, answered->endpoint,
                                  end.reason.empty() ? "the answer was cut" : end.reason),
                       true, std::nullopt);
        return;
    }
    if (answered->head.status >= 500) {
        ejection_.failed(answered->endpoint, now);
    } else {
        ejection_.succeeded(answered->endpoint, now);
    }
    complete(answered, end);
}

void dispatcher::complete(const attempt_pointer& ended, const wire::answer_end& end) {
    const request_pointer request = ended->request;
    request_end how;
    how.status = ended->head.status;
    how.tokens = end.tokens;
    how.content_type = ended->head.content_type;
    how.body = ended->held;
    if (!request->event_stream) {
        start_response(*ended, {{"content-length", std::to_string(ended->held.size())}});
        request->response->write(ended->held);
    }
    request->response->finish();
    ended->whole = true;
    forget(ended);
    request->complete(how);
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
        if (redirect(found)) {
            return;
        }
    } else if (counts_as_failure(refused.reason)) {
        ejection_.failed(found->endpoint, now);
    } else {
        ejection_.abandoned(found->endpoint, now);
    }
    const auto retry_after = std::chrono::milliseconds{refused.retry_after_ms};
    attempt_failed(found,
                   make_error(code_of(refused.reason), step::run, found->endpoint,
                              refused.detail.empty() ? std::string{name_of(refused.reason)} : refused.detail),
                   refused.forwarded, retry_after);
}

void dispatcher::attempt_failed(const attempt_pointer& failed, error cause, bool forwarded,
                                std::optional<duration> retry_after) {
    const request_pointer request = failed->request;
    request->may_have_run = forwarded || failed->earlier_may_have_run;
    routing::failed_attempt facts;
    facts.organisation = request->organisation;
    facts.endpoint = failed->endpoint;
    facts.attempts = failed->number;
    facts.deadline = request->deadline;
    facts.idempotent = request->idempotent;
    facts.forwarded = forwarded;
    facts.streamed = request->response->is_started();
    const auto verdict = retries_.decide(facts, loop_.now());
    log_event(log_level::info, "attempt_failed",
              {{"request", request->id_text},
               {"attempt", failed->number},
               {"step", name_of(cause.at)},
               {"peer", cause.peer},
               {"code", cause.code.message()},
               {"detail", cause.detail},
               {"forwarded", forwarded ? "true" : "false"},
               {"verdict", name_of(verdict)}});
    auto tried = failed->tried;
    tried.push_back(failed->endpoint);
    if (failed->link && failed->link->is_open() && forwarded) {
        failed->link->send(wire::request_cancel{request->id, failed->number});
    }
    forget(failed);
    if (verdict == routing::retry_verdict::retry) {
        ++counts_.retries;
        try_next(request, failed->number + 1, std::move(tried));
        return;
    }
    if (verdict == routing::retry_verdict::outcome_unknown) {
        cause.code = make_error_code(errc::outcome_unknown);
    }
    request->fail(std::move(cause), retry_after);
}

bool dispatcher::redirect(const attempt_pointer& refused) {
    if (refused->number > max_redirects) {
        return false;
    }
    const request_pointer request = refused->request;
    request->may_have_run = refused->earlier_may_have_run;
    auto tried = refused->tried;
    tried.push_back(refused->endpoint);
    forget(refused);
    try_next(request, refused->number + 1, std::move(tried));
    return true;
}

void dispatcher::forget(const attempt_pointer& ended) {
    const auto found = attempts_.find(ended->request->id);
    if (found == attempts_.end() || found->second != ended) {
        return;
    }
    const bool whole = ended->occupied_from && ended->whole;
    placement_.finished(ended->endpoint,
                        whole ? std::optional{loop_.now() - *ended->occupied_from} : std::nullopt);
    attempts_.erase(found);
}

void dispatcher::on_peer_closed(const node::peer_pointer& gone) {
    std::vector<attempt_pointer> broken;
    for (const auto& running : attempts_ | std::views::values) {
        if (running->link == gone) {
            broken.push_back(running);
        }
    }
    for (const attempt_pointer& each : broken) {
        ejection_.failed(each->endpoint, loop_.now());
        attempt_failed(each,
                       make_error(errc::connection_closed, step::receive, each->endpoint,
                                  "the link to the agent was lost"),
                       true, 1s);
    }
}

} // namespace samphiretray::entry
