#pragma once

#include "samphiretray/agent/crash_recorder.h"
#include "samphiretray/agent/engine_admission.h"
#include "samphiretray/agent/load_pacing.h"
#include "samphiretray/agent/load_priorities.h"
#include "samphiretray/agent/slot_table.h"
#include "samphiretray/agent/work_time_estimator.h"
#include "samphiretray/base/recent_ids.h"
#include "samphiretray/gateway/agent_protocol.h"
#include "samphiretray/gateway/answer_classification.h"
#include "samphiretray/gateway/binding.h"
#include "samphiretray/gateway/buffer_metrics.h"
#include "samphiretray/gateway/drain_promise.h"
#include "samphiretray/gateway/event_stream_parser.h"
#include "samphiretray/gateway/first_event_detector.h"
#include "samphiretray/gateway/model.h"
#include "samphiretray/gateway/relay.h"
#include "samphiretray/gateway/release_exchange.h"
#include "samphiretray/gateway/released_versions.h"
#include "samphiretray/gateway/settings.h"
#include "samphiretray/gateway/stream_continuation.h"
#include "samphiretray/net/http_client.h"
#include "samphiretray/net/http_server.h"
#include "samphiretray/observe/loop_watch.h"
#include "samphiretray/observe/metrics.h"
#include "samphiretray/ports/engine.h"
#include "samphiretray/rate/cold_start.h"
#include "samphiretray/rate/named_limit.h"
#include "samphiretray/routing/crash_quarantine.h"
#include "samphiretray/routing/evacuations.h"
#include "samphiretray/routing/held_parts.h"
#include "samphiretray/routing/prefix_cache_model.h"
#include "samphiretray/routing/request_quarantine.h"
#include "samphiretray/routing/stream_origins.h"

#include <concepts>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace samphiretray::gateway {

/// Access to the engine that an agent manages. Completions run on the event loop.
template <typename Engine>
concept engine_control =
    requires(Engine& engine, ports::engine_order order, ports::completion<std::string> on_order,
             ports::completion<engine_report> on_report) {
        engine.report(on_report);
        /// Completes when the adapter is loaded. Errors include `fenced`, `load_failed` and `timeout`.
        engine.load(order, on_order);
        engine.unload(order, on_order);
    };

/// The sidecar process of an engine: loads the adapters that queued requests need, forwards as many requests
/// as fit into the engine's batch and KV memory, and relays the responses. No other process sends load or
/// unload orders to the engine.
template <request_binding Binding, engine_control Engine>
class engine_agent {
public:
    engine_agent(net::loop& events, engine_agent_settings settings, Engine& engine);
    engine_agent(const engine_agent&) = delete;
    engine_agent& operator=(const engine_agent&) = delete;
    ~engine_agent() = default;

    /// Fails with `connection_failed` if an address is in use.
    [[nodiscard]] status start();
    /// Starts a graceful shutdown, which stops the event loop when it is complete.
    void drain();

    void apply(const routing_state& state);
    void apply(const adapter_release& release);
    /// Sends nothing more to the engine if it is in the data centre, and again after the end.
    void begin_evacuation(const std::string& data_centre);
    void end_evacuation(const std::string& data_centre, bool after_outage);
    /// `number` has to be larger than that of any earlier agent of this engine; the fencing numbers in orders
    /// are derived from it.
    void set_fencing_number(std::uint64_t number);

    /// The address that entries connect to, with the actual port if port 0 was configured. Valid only after
    /// `start` has succeeded.
    [[nodiscard]] net::address listen_address() const { return server_->local_address(); }

private:
    /// Refused attempts and sendings that are remembered: an entry sends an attempt again, and a copy follows
    /// a sending, within milliseconds, if at all.
    static constexpr std::size_t max_recent_ids = 256;

    struct agent_request {
        std::uint64_t id = 0;
        forwarded_request forwarded;
        net::http_request http;
        std::shared_ptr<net::http_response> response;
        /// Until the request is passed on, the newest version that is known.
        ports::adapter_version adapter;
        std::vector<routing::prompt_segment> prompt;
        /// Identifies the request, and the parts of its prompt that others may share, in evidence of crashes.
        routing::prompt_request shared;
        /// Identifies all attempts at the request, as entries do.
        routing::request_key key = 0;
        time_point arrived_at;
        time_point deadline;
        waiting_budget budget;
        bool waits_for_adapter = false;
        /// When the request began to wait for this version of its adapter.
        time_point load_wanted_at;
        bool ended = false;
        bool body_started = false;
        /// The request's entry in the admission queue; default-constructed until it is queued.
        agent::admission_request admission;
        std::optional<time_point> forwarded_at;
        std::optional<time_point> answer_began_at;
        std::optional<time_point> first_byte_at;
        time_point last_byte_at;
        /// Longest time between two reads of the answer.
        duration longest_pause{0};
        /// Set for an event stream that ends with its connection: only its events tell whether it is whole.
        std::optional<event_stream_parser> events;
        /// Identifies the stream that the request begins or goes on with.
        routing::stream_key stream = 0;
        /// Version of the engine's software, for the incarnation that the request is meant for.
        std::string software_version;
        /// Set for an answer whose events are passed on, until the first one has been.
        std::optional<first_event_detector> first_event;
        bool is_stream_known = false;
        std::optional<agent::slot_pin> pin;
        std::unique_ptr<net::http_exchange> exchange;
    };
    using request_pointer = std::shared_ptr<agent_request>;

    void on_request(net::http_request&& http, std::shared_ptr<net::http_response>&& response);
    [[nodiscard]] std::optional<agent_refusal>
    reason_to_refuse(const agent_request& request, const agent::admission_request& admission) const;
    /// True if the request cannot be sent to another engine and the base model will be loaded before the
    /// caller gives up.
    [[nodiscard]] bool may_wait_for_base_model(const agent_request& request) const;
    /// Expected time until the load of the base model ends; zero if none is running.
    [[nodiscard]] duration model_load_time_left() const;
    [[nodiscard]] agent::admission_request make_admission_request(const agent_request& request) const;
    void enqueue(const request_pointer& request, const agent::admission_request& admission);
    void process_queue();
    void refuse_expired();
    void forward_admitted();
    void forward_to_engine(const request_pointer& request);
    void start_loads();
    [[nodiscard]] agent::load_priorities make_load_priorities() const;
    void execute(std::vector<agent::slot_command> commands);
    /// Whether the bytes of a request have come a second time; an entry sends nothing twice under one id.
    [[nodiscard]] bool is_repeated_sending(const net::http_request& request);
    /// Entries know the id of the engine's incarnation, which its reports do not tell.
    void learn_engine_id(const agent_request& request);
    /// Whether the engine has refused the same attempt, so that a late copy of its refusal could be taken for
    /// the answer on a connection that is used again.
    [[nodiscard]] bool has_been_refused(const agent_request& request) const;
    void note_engine_refusal(const agent_request& request);
    void on_load_ended(const agent::slot_command& command, duration elapsed,
                       const result<std::string>& outcome);
    void on_unload_ended(const agent::slot_command& command, const result<std::string>& outcome);
    void on_head(const request_pointer& request, int code, const net::http_headers& headers);
    /// Closes the engine connection after a response that does not belong to the request.
    void on_mismatched_response(const request_pointer& request, int code, const answer_summary& head);
    void on_data(const request_pointer& request, std::string_view bytes);
    /// Remembers which version of the engine's software has begun the stream.
    void note_stream(agent_request& request);
    void on_end(const request_pointer& request, const std::optional<error>& failure);
    /// Ends a response after the engine has broken off its answer, or has sent none.
    void on_interrupted_answer(const request_pointer& request, std::string_view cause);
    void refuse(const request_pointer& request, agent_refusal reason, std::string_view detail,
                std::optional<duration> retry_after = std::nullopt);
    void finish(const request_pointer& request, std::string_view outcome);
    void note_limit(std::optional<double> requests_per_s);
    /// What the engine says of itself in an answer.
    void note_answer(const answer_summary& head);
    [[nodiscard]] bool is_engine_leaving() const;
    /// Time until the engine wants requests again.
    [[nodiscard]] duration pause_left() const;
    /// Time until the engine, if it is cold, takes `requests` more.
    [[nodiscard]] duration cold_wait(std::size_t requests) const;
    [[nodiscard]] bool is_evacuated() const { return evacuations_.includes(settings_.node.data_centre); }
    void on_evacuation_ended();
    void note_interruption(const agent_request& request);
    /// The incarnation of the engine in the last report has ended without notice.
    void on_engine_crash();
    void poll();
    void on_report(const result<engine_report>& report);
    void on_failed_poll(const error& failure);
    void refuse_after_failed_loads();
    void load_base_model();
    /// Adapts the number of adapters to the configuration and the base model.
    void set_slot_capacity();
    void refuse_waiting(agent_refusal reason);
    /// Why the request must not be sent to the engine; nothing if it may.
    [[nodiscard]] std::optional<routing::quarantine_match> hold_of(const agent_request& request) const;
    /// Takes back the quarantined requests, and those with quarantined parts, whose answers have not begun.
    void withdraw_held();
    [[nodiscard]] bool has_base_model() const;
    /// Whether the engine is draining, but still goes on with the stream that the request's caller takes up.
    [[nodiscard]] bool may_take_up(const agent_request& request) const;
    void check_drained();
    [[nodiscard]] routing::engine_load current_load() const;
    [[nodiscard]] bool is_engine_up() const;
    void check_engine_draining();
    void on_control(const net::http_request& request, net::http_response& response);
    void on_crash_message(const net::http_request& request, net::http_response& response);

    net::loop& loop_;
    engine_agent_settings settings_;
    Engine& engine_;
    std::shared_ptr<net::buffer_budget> buffers_;
    std::unique_ptr<net::http_client> http_;
    std::unique_ptr<net::http_server> server_;
    std::unique_ptr<net::http_server> control_;
    /// What the engine may hold.
    std::shared_ptr<const ports::engine_memory> memory_ = std::make_shared<const ports::engine_memory>();
    std::optional<agent::slot_table> slots_;
    agent::engine_admission admission_;
    agent::load_pacing pacing_;
    agent::work_time_estimator work_time_;
    /// The limit that the engine names, all of which this agent may use: it is the engine's only sender.
    rate::named_limit limit_;
    rate::cold_start_settings cold_start_;
    rate::cold_state cold_;
    rate::cold_window cold_window_;
    routing::evacuations evacuations_;
    /// Ids (hashes) of the attempts that the engine has refused last.
    recent_ids refused_attempts_{max_recent_ids};
    /// Ids (hashes) of the sendings that have come last.
    recent_ids known_sendings_{max_recent_ids};
    /// The engine has asked for no requests until then.
    time_point paused_until_;
    /// When the engine said last in an answer that it is leaving.
    std::optional<time_point> said_leaving_at_;
    agent::crash_recorder crashes_;
    /// What this agent and the entries know about crashes, in case all entries restart.
    routing::crash_quarantine known_crashes_;
    /// The quarantined parts and requests that entries have announced.
    routing::held_parts held_parts_;
    routing::prefix_cache_model prefixes_{0};
    /// The streams that the engine has begun or gone on with.
    routing::stream_origins stream_origins_;
    released_versions releases_;
    std::unordered_map<std::uint64_t, request_pointer> requests_;
    std::uint64_t next_id_ = 1;
    std::uint64_t fencing_number_ = 0;
    std::uint32_t engine_restarts_ = 0;
    /// Id of the engine's current incarnation; empty until an entry has named it.
    std::string engine_id_;
    std::optional<engine_report> report_;
    std::uint32_t failed_polls_ = 0;
    /// The base model that the engine should have loaded.
    std::string base_model_;
    std::vector<std::string> service_models_;
    /// When the last status poll began, and the last one that was answered.
    time_point polled_at_;
    std::optional<time_point> reported_at_;
    drain_promise engine_drain_;
    /// Set while the engine reports that it is draining.
    std::optional<time_point> engine_draining_since_;
    /// Set while the base model is being loaded.
    std::optional<time_point> base_model_load_started_;
    duration model_load_time_{0};
    std::optional<time_point> drain_started_;
    bool stopped_accepting_ = false;
    net::timer_handle poll_timer_;
    net::timer_handle tick_timer_;
    observe::metrics metrics_;
    buffer_metrics buffer_metrics_{metrics_};
    observe::loop_watch loop_watch_{metrics_};
    observe::counter_family& requests_total_;
    observe::counter_family& orders_total_;
    observe::counter_family& crashes_total_;
    observe::histogram_family& wait_seconds_;
};

} // namespace samphiretray::gateway
