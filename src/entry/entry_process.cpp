#include "samphiretray/entry/entry_process.h"

#include "samphiretray/base/hash.h"
#include "samphiretray/base/log.h"
#include "samphiretray/entry/claims_controller.h"
#include "samphiretray/entry/dispatcher.h"
#include "samphiretray/entry/filters.h"
#include "samphiretray/entry/load_controller.h"
#include "samphiretray/entry/rate_controller.h"
#include "samphiretray/entry/service_levels.h"
#include "samphiretray/net/http_client.h"
#include "samphiretray/net/http_server.h"
#include "samphiretray/node/admin_server.h"
#include "samphiretray/node/control_plane.h"
#include "samphiretray/node/peer_directory.h"
#include "samphiretray/node/process_status.h"
#include "samphiretray/ports/http_key_value.h"
#include "samphiretray/ports/http_vm_list.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <ranges>
#include <unordered_map>
#include <utility>

namespace samphiretray::entry {

namespace {

/// The service answers within milliseconds. Failures have to be detected well within
/// `common_settings::freshness_bound` (10 s by default), so that an outage of the service can be told from a
/// network partition.
constexpr duration key_value_timeout = 1s;

using key_value = ports::http_key_value_service;
using vm_list = ports::http_vm_list;
using control_plane = node::control_plane<key_value, vm_list>;
using rates = rate_controller<key_value>;
using claims = claims_controller<key_value>;
using loads = load_controller<key_value>;
using request_filters = filter_chain<authenticate_filter<control_plane>, route_filter<control_plane>,
                                     admit_filter<rates>, claim_filter<claims>, dispatch_filter>;

/// The HTTP server refuses bodies larger than this multiple of the limit, without a JSON error body. Between
/// the two limits, the entry answers with one.
constexpr std::size_t server_body_factor = 4;
/// Shorter than the 20 ms for which claims are batched.
constexpr duration tick_interval = 10ms;
constexpr duration drain_check_interval = 50ms;
/// Longest time for releasing duties and returning grants at the end of a graceful shutdown.
constexpr duration release_timeout = 3s;

node::peer_identity identity_of(const config::common_settings& settings) {
    return {settings.vm, wire::role::entry, settings.region, settings.data_centre, random_hex(8)};
}

} // namespace

struct entry_process::implementation {
    implementation(net::loop& events, config::entry_settings values);

    [[nodiscard]] status start();
    [[nodiscard]] status start_admin();
    void on_request(net::http_request request, std::shared_ptr<net::http_response> response);
    [[nodiscard]] std::optional<error> check_limits(const net::http_request& request) const;
    void start_request(const request_pointer& request);
    [[nodiscard]] duration timeout_of(const net::http_request& request) const;
    void on_request_end(const request_context& request, const request_summary& summary);
    void on_message(const node::peer_pointer& from, wire::message value);
    void on_peer_closed(const node::peer_pointer& closed_peer);
    void on_configuration();
    void revoke_requests();
    void on_members();
    void on_tick();
    void drain();
    void check_drained();
    void release_duties();
    [[nodiscard]] node::process_status current_status() const;

    net::loop& loop;
    config::entry_settings settings;
    node::peer_identity self;
    std::unique_ptr<net::http_client> http;
    key_value service;
    vm_list vms;
    node::peer_directory peers;
    control_plane control;
    rates rate_limits;
    claims order_claims;
    loads load_permits;
    dispatcher request_dispatcher;
    request_filters filters;
    std::unique_ptr<net::http_server> admin_server;
    std::unique_ptr<net::http_server> public_server;
    std::unordered_map<std::uint64_t, request_pointer> active;
    std::unordered_map<std::uint64_t, net::timer_handle> deadlines;
    std::uint64_t next_request = 1;
    std::map<std::string, std::uint64_t, std::less<>> end_counts;
    service_levels levels;
    bool draining = false;
    bool stopped_accepting = false;
    bool releasing = false;
    time_point drain_started;
    time_point release_started;
    net::timer_handle tick_timer;
    net::timer_handle drain_timer;
};

entry_process::implementation::implementation(net::loop& events, config::entry_settings values)
    : loop(events), settings(std::move(values)), self(identity_of(settings.common)),
      http(net::http_client::create(events)),
      service(*http, {.service = settings.common.key_value_service, .timeout = key_value_timeout}),
      vms(*http, settings.common.vm_list),
      peers(events, self, settings.common.cluster_secret,
            {.on_open = [this](const node::peer_pointer& peer) { control.on_peer_authenticated(peer); },
             .on_message = [this](const node::peer_pointer& from,
                                  wire::message value) { on_message(from, std::move(value)); },
             .on_closed = [this](const node::peer_pointer& closed_peer) { on_peer_closed(closed_peer); }}),
      control(events, settings.common, self, service, vms, peers,
              {.on_configuration = [this] { on_configuration(); }, .on_members = [this] { on_members(); }}),
      rate_limits(events, settings, self, service, peers, control.members(), control.contact()),
      order_claims(events, service, settings.claim_shards),
      load_permits(events, settings, self, service, control.members(), control.contact()),
      request_dispatcher(events, self, peers, control.members(),
                         [this](const wire::leaving_vm& vm) { control.on_leaving(vm); }),
      filters(authenticate_filter<control_plane>{control}, route_filter<control_plane>{control},
              admit_filter<rates>{rate_limits, events}, claim_filter<claims>{order_claims, events},
              dispatch_filter{request_dispatcher}) {}

status entry_process::implementation::start() {
    if (auto listening = peers.listen(settings.common.peer_listen); !listening) {
        return listening.error();
    }
    if (auto started = start_admin(); !started) {
        return started.error();
    }
    net::http_server_options options;
    options.listen = settings.listen;
    options.max_body_bytes = settings.max_body_bytes * server_body_factor;
    options.certificate_file = settings.certificate_file;
    options.private_key_file = settings.private_key_file;
    auto server = net::http_server::create(
        loop, std::move(options),
        [this](net::http_request request, std::shared_ptr<net::http_response> response) {
            on_request(std::move(request), std::move(response));
        });
    if (!server) {
        return server.error();
    }
    public_server = std::move(*server);
    control.start();
    tick_timer = loop.every(tick_interval, [this] { on_tick(); });
    log_event(log_level::info, "entry_started",
              {{"vm", self.vm},
               {"listen", net::to_string(public_server->local_address())},
               {"incarnation", self.incarnation}});
    return success();
}

status entry_process::implementation::start_admin() {
    node::admin_callbacks sources;
    sources.ready = [this] { return control.is_ready() && !draining; };
    sources.status = [this] { return node::to_json(current_status()); };
    sources.metrics = [this] { return node::to_metrics(current_status(), "samphiretray_entry"); };
    sources.burn_rates = [this](bool text) { return levels.report(text, loop.now()); };
    sources.drain = [this] { drain(); };
    auto server = node::create_admin_server(loop, settings.common.admin_listen, std::move(sources));
    if (!server) {
        return server.error();
    }
    admin_server = std::move(*server);
    return success();
}

duration entry_process::implementation::timeout_of(const net::http_request& request) const {
    const std::string_view text = net::find_header(request.headers, "x-timeout-ms");
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool valid = parsed.ec == std::errc{} && value > 0;
    const duration requested = valid ? std::chrono::milliseconds{value} : settings.request_timeout;
    return std::min(requested, settings.request_timeout);
}

void entry_process::implementation::on_request(net::http_request http_request,
                                               std::shared_ptr<net::http_response> response) {
    const time_point now = loop.now();
    const duration timeout = timeout_of(http_request);
    auto request =
        std::make_shared<request_context>(next_request++, std::move(http_request), std::move(response), now);
    request->deadline = now + timeout;
    if (const auto failure = check_limits(request->http)) {
        request->on_end(
            [this, &ended = *request](const request_summary& summary) { on_request_end(ended, summary); });
        request->fail(*failure, 1s);
        return;
    }
    start_request(request);
}

std::optional<error> entry_process::implementation::check_limits(const net::http_request& request) const {
    if (request.body.size() > settings.max_body_bytes) {
        return make_error(errc::too_large, step::parse, "caller",
                          "the body is larger than " + std::to_string(settings.max_body_bytes) + " bytes");
    }
    if (active.size() >= settings.max_requests) {
        return make_error(errc::overloaded, step::admit, self.vm, "the entry holds too many requests");
    }
    return std::nullopt;
}

void entry_process::implementation::start_request(const request_pointer& request) {
    const std::uint64_t id = request->id;
    active.emplace(id, request);
    deadlines.emplace(id, loop.after(request->deadline - loop.now(), [request] {
        request->fail(make_error(errc::timeout, step::run, "", "the request's deadline has passed"));
    }));
    request->on_end([this, id, &ended = *request](const request_summary& summary) {
        on_request_end(ended, summary);
        active.erase(id);
        // This may run in the callback of the timer, so its destruction is deferred.
        if (auto timer = deadlines.extract(id)) {
            loop.post([running_timer = std::make_shared<decltype(timer)>(std::move(timer))] {});
        }
    });
    const std::weak_ptr<request_context> weak = request;
    request->response->on_closed([weak] {
        const auto abandoned_request = weak.lock();
        // A call that is not idempotent and may have run is left to finish, so that its outcome is recorded.
        if (abandoned_request && (abandoned_request->idempotent || !abandoned_request->may_have_run)) {
            abandoned_request->abandon();
        }
    });
    filters.run(request);
}

void entry_process::implementation::on_request_end(const request_context& request,
                                                   const request_summary& summary) {
    const auto end_count = end_counts.try_emplace(std::string{summary.code}, 0).first;
    ++end_count->second;
    const time_point now = loop.now();
    levels.record(request, summary, now);
    log_event(summary.answered ? log_level::debug : log_level::info, "request_ended",
              {{"request", request.request_id},
               {"organisation", request.organisation},
               {"service", request.service},
               {"adapter", request.adapter.adapter},
               {"version", request.adapter.version},
               {"status", summary.status},
               {"code", summary.code},
               {"outcome", summary.answered ? "answered" : name_of(summary.result)},
               {"tokens", summary.tokens.value_or(0)},
               {"total_ms", milliseconds_in(now - request.arrived)}});
}

void entry_process::implementation::on_message(const node::peer_pointer& from, wire::message value) {
    const bool handled = request_dispatcher.handle(from, value) || control.handle(from, value) ||
                         rate_limits.handle(from, value) || load_permits.handle(from, value);
    if (!handled) {
        log_event(log_level::warning, "unexpected_message", {{"peer", from->identity().vm}});
    }
}

void entry_process::implementation::on_peer_closed(const node::peer_pointer& closed_peer) {
    request_dispatcher.on_peer_closed(closed_peer);
    load_permits.on_peer_closed(closed_peer);
    control.on_peer_closed(closed_peer);
}

void entry_process::implementation::on_configuration() {
    rate_limits.set_configuration(control.configuration());
    revoke_requests();
}

void entry_process::implementation::revoke_requests() {
    const auto configuration = control.configuration();
    std::vector<request_pointer> revoked;
    for (const request_pointer& request : active | std::views::values) {
        if (request->key_digest.empty()) {
            continue;
        }
        const auto key = configuration->find_key(request->key_digest);
        const bool valid = key && key->organisation->name == request->organisation;
        const bool must_finish = !request->idempotent && request->may_have_run;
        if (!valid && !must_finish) {
            revoked.push_back(request);
        }
    }
    for (const request_pointer& request : revoked) {
        request->fail(
            make_error(errc::unauthorized, step::authenticate, "caller", "the key has been revoked"));
    }
}

void entry_process::implementation::on_members() {
    request_dispatcher.members_changed();
    rate_limits.members_changed();
    load_permits.members_changed();
}

void entry_process::implementation::on_tick() {
    rate_limits.on_tick();
    order_claims.on_tick();
    load_permits.on_tick();
}

void entry_process::implementation::drain() {
    if (draining) {
        return;
    }
    draining = true;
    drain_started = loop.now();
    log_event(log_level::info, "drain_started", {{"vm", self.vm}, {"requests", active.size()}});
    control.announce_leaving();
    drain_timer = loop.every(drain_check_interval, [this] { check_drained(); });
}

void entry_process::implementation::check_drained() {
    const time_point now = loop.now();
    if (now - drain_started < settings.drain_notice) {
        return;
    }
    if (!stopped_accepting) {
        stopped_accepting = true;
        public_server->stop_accepting();
        public_server->begin_graceful_shutdown();
    }
    const bool finished = active.empty() || now - drain_started >= settings.drain_limit;
    if (!finished) {
        return;
    }
    if (!releasing) {
        release_duties();
        return;
    }
    const bool released = rate_limits.is_stopped() && load_permits.is_stopped() && order_claims.idle();
    if (!released && now - release_started < release_timeout) {
        return;
    }
    log_event(log_level::info, "drain_finished", {{"vm", self.vm}, {"requests_cut", active.size()}});
    loop.stop();
}

void entry_process::implementation::release_duties() {
    releasing = true;
    release_started = loop.now();
    order_claims.flush();
    rate_limits.stop();
    load_permits.stop();
}

node::process_status entry_process::implementation::current_status() const {
    using enum node::metric_kind;
    node::process_status status = node::common_status(self, control, peers, loop.now());
    status.ready = control.is_ready() && !draining;
    status.draining = draining;
    const auto value = [](auto number) { return static_cast<double>(number); };
    const dispatch_counts& counts = request_dispatcher.counts();
    status.values = {{"requests_active", gauge, value(active.size())},
                     {"connections", gauge, value(public_server->open_connections())},
                     {"malformed_requests_total", counter, value(public_server->refused_requests())},
                     {"rate_shards_held", gauge, value(rate_limits.held_shards())},
                     {"loads_duty_held", gauge, load_permits.is_held() ? 1.0 : 0.0},
                     {"attempts_total", counter, value(counts.attempts)},
                     {"retries_total", counter, value(counts.retries)},
                     {"cold_starts_total", counter, value(counts.cold_starts)},
                     {"late_answers_total", counter, value(counts.late_answers)},
                     {"answers_cut_total", counter, value(counts.truncated_answers)},
                     {"wrong_version_total", counter, value(counts.wrong_version)},
                     {"remote_bytes_total", counter, value(counts.remote_bytes)}};
    std::ranges::transform(end_counts, std::back_inserter(status.values), [&](const auto& end) {
        return node::status_metric{"requests_ended_" + end.first + "_total", counter, value(end.second)};
    });
    return status;
}

entry_process::entry_process(std::unique_ptr<implementation> parts) : implementation_(std::move(parts)) {}

entry_process::~entry_process() = default;

result<std::unique_ptr<entry_process>> entry_process::create(net::loop& events,
                                                             config::entry_settings settings) {
    auto parts = std::make_unique<implementation>(events, std::move(settings));
    if (auto started = parts->start(); !started) {
        return started.error();
    }
    return std::unique_ptr<entry_process>{new entry_process{std::move(parts)}};
}

void entry_process::drain() {
    implementation_->drain();
}

void entry_process::reload_certificates() {
    if (auto reloaded = implementation_->public_server->reload_certificates(); !reloaded) {
        log_event(log_level::error, "certificate_reload_failed", {{"detail", reloaded.error().detail}});
    }
}

} // namespace samphiretray::entry
