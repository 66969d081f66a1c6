#include "samphiretray/agent/agent_process.h"

#include "samphiretray/agent/request_runner.h"
#include "samphiretray/base/hash.h"
#include "samphiretray/base/log.h"
#include "samphiretray/net/http_client.h"
#include "samphiretray/node/admin_server.h"
#include "samphiretray/node/control_plane.h"
#include "samphiretray/node/duty_runner.h"
#include "samphiretray/node/peer_directory.h"
#include "samphiretray/node/process_status.h"
#include "samphiretray/ports/http_engine.h"
#include "samphiretray/ports/http_key_value.h"
#include "samphiretray/ports/http_vm_list.h"

#include <utility>

namespace samphiretray::agent {

namespace {

/// The key-value service normally answers within milliseconds. Failures have to be detected well within
/// `common_settings::freshness_bound` (10 s by default), so that an outage of the service can be told from a
/// network partition.
constexpr duration key_value_timeout = 1s;

using key_value = ports::http_key_value_service;
using vm_list = ports::http_vm_list;
using engine = ports::http_engine;

constexpr duration tick_interval = 20ms;
constexpr duration drain_check_interval = 50ms;

node::peer_identity identity_of(const config::common_settings& settings) {
    return {settings.vm, wire::role::agent, settings.region, settings.data_centre, random_hex(8)};
}

} // namespace

struct agent_process::implementation {
    implementation(net::loop& events, config::agent_settings values);

    [[nodiscard]] status start();
    void on_message(const node::peer_pointer& from, wire::message value);
    void on_configuration();
    void on_tick();
    void drain();
    void check_drained();
    [[nodiscard]] command_authority authority() const;
    [[nodiscard]] node::process_status current_status() const;

    net::loop& loop;
    config::agent_settings settings;
    node::peer_identity self;
    std::unique_ptr<net::http_client> http;
    key_value service;
    vm_list vms;
    engine engine_client;
    node::peer_directory peers;
    node::control_plane<key_value, vm_list> control;
    request_runner<engine> runner;
    std::unique_ptr<node::duty_runner<key_value>> lease;
    std::unique_ptr<net::http_server> admin;
    bool draining = false;
    time_point drain_started;
    net::timer_handle tick_timer;
    net::timer_handle drain_timer;
};

agent_process::implementation::implementation(net::loop& events, config::agent_settings values)
    : loop(events), settings(std::move(values)), self(identity_of(settings.common)),
      http(net::http_client::create(events)),
      service(*http, {.service = settings.common.key_value_service, .timeout = key_value_timeout}),
      vms(*http, settings.common.vm_list), engine_client(*http, {.endpoint = settings.endpoint_address}),
      peers(events, self, settings.common.cluster_secret,
            {.on_open =
                 [this](const node::peer_pointer& authenticated) {
                     control.on_peer_authenticated(authenticated);
                 },
             .on_message = [this](const node::peer_pointer& from,
                                  wire::message value) { on_message(from, std::move(value)); },
             .on_closed =
                 [this](const node::peer_pointer& closed) {
                     control.on_peer_closed(closed);
                     runner.on_peer_closed(closed);
                 }}),
      control(events, settings.common, self, service, vms, peers,
              {.on_configuration = [this] { on_configuration(); }, .on_members = [] {}}),
      runner(events, settings, engine_client, peers, control.members(), [this] { return authority(); }) {}

status agent_process::implementation::start() {
    if (auto listening = peers.listen(settings.common.peer_listen); !listening) {
        return listening.error();
    }
    node::admin_callbacks sources;
    sources.ready = [this] { return runner.is_ready() && !draining; };
    sources.status = [this] { return node::to_json(current_status()); };
    sources.metrics = [this] { return node::to_metrics(current_status(), "samphiretray_agent"); };
    sources.drain = [this] { drain(); };
    auto server = node::create_admin_server(loop, settings.common.admin_listen, std::move(sources));
    if (!server) {
        return server.error();
    }
    admin = std::move(*server);
    control.start();
    runner.start();
    tick_timer = loop.every(tick_interval, [this] { on_tick(); });
    log_event(log_level::info, "agent_started",
              {{"vm", self.vm}, {"endpoint", settings.endpoint}, {"incarnation", self.incarnation}});
    return success();
}

void agent_process::implementation::on_message(const node::peer_pointer& from, wire::message value) {
    if (control.handle(from, value) || runner.handle(from, value)) {
        return;
    }
    log_event(log_level::warning, "unexpected_message", {{"peer", from->identity().vm}});
}

void agent_process::implementation::on_configuration() {
    if (lease || settings.base_model.empty()) {
        return;
    }
    const auto* rule = control.configuration()->find_endpoint(settings.endpoint);
    const bool checks_fencing = rule != nullptr && rule->checks_fencing;
    lease = std::make_unique<node::duty_runner<key_value>>(
        loop, service, control.contact(),
        control::endpoint_lease(settings.endpoint, self.vm, self.incarnation, checks_fencing));
    lease->set_candidate(true);
}

command_authority agent_process::implementation::authority() const {
    if (!lease) {
        return {};
    }
    return {lease->may_act(), lease->fencing_number()};
}

void agent_process::implementation::on_tick() {
    if (lease) {
        lease->on_tick();
    }
    runner.on_tick();
}

void agent_process::implementation::drain() {
    if (draining) {
        return;
    }
    draining = true;
    drain_started = loop.now();
    log_event(log_level::info, "drain_started", {{"vm", self.vm}});
    control.announce_leaving();
    runner.drain();
    drain_timer = loop.every(drain_check_interval, [this] { check_drained(); });
}

void agent_process::implementation::check_drained() {
    const duration elapsed = loop.now() - drain_started;
    // The leaving notice spreads by gossip. The process keeps running for `drain_notice` (3 s by default) so
    // that its peers can pull it.
    const bool notice_time_over = elapsed >= settings.drain_notice;
    const bool finished = runner.idle() || elapsed >= settings.drain_limit;
    if (!notice_time_over || !finished) {
        return;
    }
    if (lease) {
        lease->set_candidate(false);
    }
    // The release of the lease may take up to 1 s beyond the limit.
    if (lease && lease->is_releasing() && elapsed < settings.drain_limit + 1s) {
        return;
    }
    log_event(log_level::info, "drain_finished",
              {{"vm", self.vm}, {"idle", runner.idle() ? "true" : "false"}});
    loop.stop();
}

node::process_status agent_process::implementation::current_status() const {
    using enum node::metric_kind;
    node::process_status status = node::common_status(self, control, peers, loop.now());
    status.ready = runner.is_ready() && !draining;
    status.draining = draining;
    const auto& counts = runner.counts();
    const wire::load_report load = runner.load();
    const auto value = [](auto number) { return static_cast<double>(number); };
    status.values = {{"requests_running", gauge, value(load.running)},
                     {"requests_queued", gauge, value(load.queued)},
                     {"request_capacity", gauge, value(load.capacity)},
                     {"slots", gauge, value(load.slots)},
                     {"slots_pinned", gauge, value(load.slots_pinned)},
                     {"fencing_number", gauge, value(lease ? lease->fencing_number() : 0)},
                     {"requests_started_total", counter, value(counts.started)},
                     {"requests_answered_total", counter, value(counts.answered)},
                     {"requests_refused_total", counter, value(counts.refused)},
                     {"answers_cut_total", counter, value(counts.truncated)},
                     {"loads_total", counter, value(counts.loads)},
                     {"failed_loads_total", counter, value(counts.failed_loads)},
                     {"cold_requests_total", counter, value(counts.cold_requests)},
                     {"load_stall_seconds_total", counter, value(counts.load_stall_us) / 1e6}};
    return status;
}

agent_process::agent_process(std::unique_ptr<implementation> parts) : implementation_(std::move(parts)) {}

agent_process::~agent_process() = default;

result<std::unique_ptr<agent_process>> agent_process::create(net::loop& events,
                                                             config::agent_settings settings) {
    auto parts = std::make_unique<implementation>(events, std::move(settings));
    if (auto started = parts->start(); !started) {
        return started.error();
    }
    return std::unique_ptr<agent_process>{new agent_process{std::move(parts)}};
}

void agent_process::drain() {
    implementation_->drain();
}

} // namespace samphiretray::agent
