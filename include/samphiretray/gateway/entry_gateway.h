#pragma once

#include "samphiretray/gateway/agent_protocol.h"
#include "samphiretray/gateway/answer_classification.h"
#include "samphiretray/gateway/binding.h"
#include "samphiretray/gateway/buffer_metrics.h"
#include "samphiretray/gateway/crash_exchange.h"
#include "samphiretray/gateway/denial_policy.h"
#include "samphiretray/gateway/endpoint_directory.h"
#include "samphiretray/gateway/event_stream_parser.h"
#include "samphiretray/gateway/origin_exchange.h"
#include "samphiretray/gateway/placement_rules.h"
#include "samphiretray/gateway/quarantine_page.h"
#include "samphiretray/gateway/quarantine_record.h"
#include "samphiretray/gateway/record_schedule.h"
#include "samphiretray/gateway/relay.h"
#include "samphiretray/gateway/release_exchange.h"
#include "samphiretray/gateway/released_versions.h"
#include "samphiretray/gateway/restart_signs.h"
#include "samphiretray/gateway/routing_table.h"
#include "samphiretray/gateway/settings.h"
#include "samphiretray/gateway/stream_continuation.h"
#include "samphiretray/gateway/usage_exchange.h"
#include "samphiretray/net/http_client.h"
#include "samphiretray/net/http_server.h"
#include "samphiretray/observe/link_watch.h"
#include "samphiretray/observe/loop_watch.h"
#include "samphiretray/observe/metrics.h"
#include "samphiretray/rate/fleet_rate_limiter.h"
#include "samphiretray/routing/crash_quarantine.h"
#include "samphiretray/routing/endpoint_choice.h"
#include "samphiretray/routing/outlier_ejection.h"
#include "samphiretray/routing/request_quarantine.h"
#include "samphiretray/routing/retry_policy.h"
#include "samphiretray/routing/stream_origins.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace samphiretray::gateway {

/// Outcome of a request, as written to logs and metrics.
enum class request_outcome {
    answered,
    /// An error response of the endpoint was passed on.
    endpoint_failed,
    /// Not run, and the caller was told so.
    refused,
    /// The caller cannot know whether the request ran.
    unknown,
    /// The answer was cut short after its start had been passed on.
    broken,
    /// The caller disconnected before the end of the answer.
    abandoned,
};

/// The process on an entry VM: authenticates callers, enforces the rate limits of organisations, chooses an
/// endpoint for each request and passes answers on.
template <request_binding Binding, typename Store>
class entry_gateway {
public:
    entry_gateway(net::loop& events, gateway_settings settings, Store& store);
    entry_gateway(const entry_gateway&) = delete;
    entry_gateway& operator=(const entry_gateway&) = delete;
    ~entry_gateway() = default;

    /// Fails with `connection_failed` if an address is in use.
    [[nodiscard]] status start();
    /// Begins a graceful shutdown; the event loop is stopped at its end.
    void drain();
    /// Applies the settings that can change while the process runs; all others are ignored.
    void reload(const gateway_settings& settings);

    /// Puts a configuration into force, unless its version is not above that of the current one.
    void apply(routing_state state);
    /// Records the announced version of an adapter, unless it is not above the recorded one.
    void apply(const adapter_release& release);
    void update_endpoint(endpoint value, std::optional<time_point> changed_after = std::nullopt);
    void remove_endpoint(const std::string& id, bool after_outage);
    /// Sends nothing more to the servers of the data centre, or sends to them again. With `after_outage` the
    /// store has just returned and may be an older copy.
    void begin_evacuation(const std::string& data_centre);
    void end_evacuation(const std::string& data_centre, bool after_outage);
    /// All endpoints have been reported once; the entry is not ready before.
    void set_endpoints_complete();

    /// `age` returns the time since the configuration was last known to be current, zero while calls to the
    /// store succeed.
    void set_configuration_age(std::function<duration()> age) { configuration_age_ = std::move(age); }

    /// `age` returns the time since the records of endpoints were last known to be current.
    void set_records_age(std::function<duration()> age) { records_age_ = std::move(age); }

    /// Calls `action` with the other registered entries whenever they change.
    void on_peers_changed(std::function<void(const std::vector<peer_entry>&)> action) {
        on_peers_ = std::move(action);
    }
    /// Registers `handler` for requests of peers to `path` on the control address.
    void set_peer_handler(std::string path, net::http_handler handler) {
        peer_handlers_.insert_or_assign(std::move(path), std::move(handler));
    }

    /// The addresses for callers and for the load balancer's readiness checks, with the ports that the system
    /// chose for port 0. Valid only after a successful `start`.
    [[nodiscard]] net::address listen_address() const { return caller_server_->local_address(); }
    [[nodiscard]] net::address ready_address() const { return readiness_server_->local_address(); }

private:
    enum class answer_state {
        awaiting_head,
        /// Passed on to the caller as it arrives.
        relayed,
        /// Received whole before it is passed on.
        buffered,
        /// The agent answered with an `agent_refusal`.
        agent_refused,
        /// The endpoint says that the request has not run.
        endpoint_refused,
        /// Not an answer to this request, or one above a size limit.
        invalid,
    };

    struct active_request {
        std::uint64_t id = 0;
        caller_request caller;
        net::http_request http;
        std::shared_ptr<net::http_response> response;
        std::shared_ptr<const routing_table> table;
        const route* matched_route = nullptr;
        /// The caller's organisation; null where no key is needed.
        const organisation* owner = nullptr;
        std::string service;
        bool is_engine = false;
        /// Tokens charged to the organisation's rate limit.
        double cost = 0;
        time_point arrived;
        time_point deadline;
        net::timer_handle deadline_timer;
        std::vector<routing::prompt_segment> prompt;
        /// Identifies the request, and the parts of its prompt that others may share, in evidence of crashes.
        routing::prompt_request shared;
        /// Identifies all attempts at the request in evidence of crashes.
        routing::request_key key = 0;
        std::vector<std::string> tried_endpoints;
        /// Addresses of the endpoints that have refused the request themselves.
        std::vector<net::address> refused_by;
        /// Failed attempts that reached or may have reached an endpoint.
        std::uint32_t failed_sends = 0;
        bool may_have_run = false;
        bool ended = false;
        std::optional<agent_refusal> last_refusal;
        std::optional<duration> refusal_wait;

        /// Identifies the stream that the request begins or goes on with.
        routing::stream_key stream = 0;
        /// Where the stream has begun: set for a request that goes on with one, or once an event has been
        /// passed on. Only servers of this version may go on with it.
        std::optional<routing::stream_origin> origin;
        /// Where an attempt that brought no event may have begun it.
        std::optional<routing::stream_origin> possible_origin;

        std::uint64_t attempt = 0;
        std::string endpoint;
        /// Version of the endpoint's software when the attempt was sent.
        std::string software_version;
        net::address sent_to;
        std::string agent_host;
        /// Identifies the current sending to an agent.
        std::string sending;
        std::string adapter_version;
        std::unique_ptr<net::http_exchange> exchange;
        time_point sent_at;
        bool body_started = false;
        /// First byte of the current attempt's answer.
        time_point answer_began_at;
        std::uint64_t engine_started_at = 0;
        /// The parts of the prompt have been noted as harmless.
        bool noted_harmless = false;
        /// First byte of the whole answer.
        std::optional<time_point> first_byte_at;
        answer_state state = answer_state::awaiting_head;
        int status = 0;
        /// The body of the current attempt's answer consists of events.
        bool is_event_stream = false;
        net::http_headers headers;
        /// The received part of a buffered answer.
        std::string body;
        /// Bytes of the body, or of an incomplete event, that are counted for the limit of all requests.
        std::size_t buffered_bytes = 0;
        /// Splits a relayed answer into events.
        event_stream_parser events;
    };
    using request_pointer = std::shared_ptr<active_request>;

    [[nodiscard]] status start_servers();
    void on_request(net::http_request&& http, std::shared_ptr<net::http_response>&& response);
    [[nodiscard]] bool accept(const request_pointer& request);
    [[nodiscard]] bool authenticate(active_request& request);
    /// Refuses a request for a route or with a key that the configuration lacks.
    void deny(active_request& request, int code, std::string_view cause);
    void set_service(active_request& request, const std::string& name);
    [[nodiscard]] bool admit(active_request& request);
    /// Finds out where the stream has begun that the request goes on with, and dispatches the request.
    void find_origin(const request_pointer& request);
    void continue_stream(const request_pointer& request, const std::optional<routing::stream_origin>& origin,
                         std::size_t asked);
    /// The processes that may know the stream, the most likely ones first.
    [[nodiscard]] std::vector<net::address> processes_knowing(const active_request& request) const;
    /// An event of the current attempt is passed on.
    void note_origin(active_request& request);
    /// Remembers where the request's stream has begun, if its version is known.
    void note_stream(const active_request& request);
    void dispatch(const request_pointer& request);
    /// Why no endpoint takes the request.
    [[nodiscard]] std::string_view unplaced_cause(const active_request& request) const;
    /// Ends a request that would crash the server that it is sent to.
    void hold_back(active_request& request, const routing::quarantine_match& match);
    void hold_back_quarantined(active_request& request, duration wait);
    void end_held_back(active_request& request, duration wait, std::string_view cause);
    void on_held_back_by_agent(const request_pointer& request);
    [[nodiscard]] std::vector<std::string> usable_endpoints(const active_request& request);
    /// The endpoints that the request's homes and evacuations allow, whatever their state.
    [[nodiscard]] std::vector<const endpoint*> allowed_endpoints(const active_request& request) const;
    void on_evacuation_ended(const std::string& data_centre);
    [[nodiscard]] routing::choice_request make_choice_request(const active_request& request) const;
    /// True if the endpoint has named a limit that leaves no room for another request of this entry. Agents
    /// keep the limits of their engines.
    [[nodiscard]] bool is_limited(const active_request& request, const endpoint& value) const;
    [[nodiscard]] bool is_agent_down(const std::string& host) const;
    [[nodiscard]] waiting_budget waiting_budget_of(const active_request& request, bool has_others) const;
    void send(const request_pointer& request, const routing::choice_candidate& chosen, bool has_others);
    void on_head(const request_pointer& request, int status, const net::http_headers& headers);
    [[nodiscard]] answer_state classify(const active_request& request, const answer_summary& head,
                                        const net::http_headers& headers) const;
    void on_data(const request_pointer& request, std::string_view bytes);
    void on_stream_data(const request_pointer& request, std::string_view bytes);
    void buffer_answer(const request_pointer& request, std::string_view bytes);
    /// Counts the bytes that are kept of the request's answer. Returns false if the answers of all requests
    /// together exceed their limit and this one is not small.
    [[nodiscard]] bool count_buffered(active_request& request, std::size_t bytes);
    void discard_buffered(active_request& request);
    /// Cancels the current attempt before its answer has ended.
    void cancel_attempt(active_request& request);
    /// Cancels the current attempt, whose answer cannot be used, and retries the request or gives it up.
    void on_invalid_answer(const request_pointer& request, std::string_view cause);
    void on_end(const request_pointer& request, std::optional<error> failure);
    /// Where the stream stands at the end of an attempt that has not failed; `whole` for other answers.
    [[nodiscard]] static stream_end stream_end_of(const active_request& request);
    void on_no_answer(const request_pointer& request, const std::optional<error>& failure);
    /// An engine, or its agent, has closed the connection of a request before the end of its answer.
    void on_interrupted(const active_request& request);
    [[nodiscard]] static std::uint64_t incarnation_hash(const active_request& request);
    /// A server without an agent has closed the connection of a request before the end of its answer.
    void on_cut(const active_request& request);
    void report_quarantine_changes();
    /// Returns true if a request's quarantine has changed.
    [[nodiscard]] bool report_request_changes();
    /// Takes back the requests that have been quarantined since they were sent to servers without agents.
    void withdraw_quarantined();
    /// While other entries cannot be heard, learns from the store what they know about suspected requests.
    void exchange_through_store();
    /// Announces the quarantined parts and requests to the agents that this entry informs.
    void announce_quarantine();
    /// Writes the evidence into the store if this entry is one of those that do.
    void record_quarantine();
    /// The hosts of those agents.
    [[nodiscard]] std::vector<std::string> informed_agents() const;
    [[nodiscard]] std::string region_of(const std::string& data_centre) const;
    /// The engine has survived the start of the answer.
    void note_harmless(active_request& request);
    void note_harmless_prompts();
    /// Handles an answer that was cut short after its head had been passed on: a resumable stream is
    /// continued at another endpoint, any other answer is aborted.
    void on_broken_answer(const request_pointer& request, std::string_view cause);
    void deliver_buffered(const request_pointer& request);
    void retry_or_give_up(const request_pointer& request, bool forwarded, std::string_view cause);
    [[nodiscard]] static bool is_resumable(const active_request& request);
    [[nodiscard]] static bool is_retryable(const active_request& request);
    /// Whether the status of an endpoint's own failure would tell the caller, wrongly, that a request that
    /// may run only once has not run. It is not passed on.
    [[nodiscard]] static bool is_false_promise(const active_request& request);
    /// False only if it is certain that no endpoint is running or has run the request.
    [[nodiscard]] static bool may_have_run(const active_request& request);
    void check_stalled_streams();
    void resume_or_end_stalled(const request_pointer& request);
    void on_deadline(const request_pointer& request);
    void on_caller_disconnected(const request_pointer& request);
    /// Ends a request that is not sent again. The caller is told that it has not run only if that is certain.
    void give_up(active_request& request, std::string_view cause);
    void refuse(active_request& request, int code, std::optional<duration> retry_after,
                std::string_view cause);
    void end(active_request& request, request_outcome outcome, int code, std::string_view cause);
    void on_tick();
    void check_drained();
    void answer_pending_requests();
    [[nodiscard]] bool is_ready() const;
    void on_control_request(const net::http_request& request,
                            const std::shared_ptr<net::http_response>& response);
    [[nodiscard]] std::string status_text() const;
    void on_release(const net::http_request& request, net::http_response& response);
    [[nodiscard]] usage_report report_for(const net::http_request& request) const;
    void refresh_endpoint(const endpoint& value);
    void refresh_pools();
    void forget_endpoint(const std::string& id);

    net::loop& loop_;
    gateway_settings settings_;
    std::string incarnation_;
    std::shared_ptr<net::buffer_budget> buffers_;
    /// What is kept of answers until they are whole.
    net::buffer_account buffered_answers_;
    std::unique_ptr<net::http_client> http_;
    std::unique_ptr<net::http_server> caller_server_;
    std::unique_ptr<net::http_server> readiness_server_;
    std::unique_ptr<net::http_server> control_server_;
    std::shared_ptr<const routing_table> table_;
    released_versions releases_;
    endpoint_directory directory_;
    bool endpoints_complete_ = false;
    routing::endpoint_choice choice_;
    routing::outlier_ejection ejection_;
    routing::retry_policy retries_;
    /// Number of entries that were known at the last tick, including this one.
    std::size_t entry_count_ = 0;
    rate::fleet_rate_limiter usage_;
    routing::crash_quarantine quarantine_;
    routing::request_quarantine suspected_requests_;
    quarantine_page quarantine_page_;
    record_schedule record_schedule_;
    rate::endpoint_limits limits_;
    placement_rules rules_;
    usage_exchange<Store> usage_exchange_;
    restart_signs restart_signs_;
    crash_exchange crash_exchange_;
    release_exchange release_exchange_;
    /// The streams that this entry has passed on.
    routing::stream_origins stream_origins_;
    origin_exchange origin_exchange_;
    quarantine_record<Store> quarantine_record_;
    std::vector<peer_entry> peers_;
    std::optional<time_point> quarantine_announced_at_;
    std::optional<time_point> quarantine_recorded_at_;
    std::function<void(const std::vector<peer_entry>&)> on_peers_;
    std::function<duration()> configuration_age_;
    std::function<duration()> records_age_ = [] { return duration::zero(); };
    std::map<std::string, net::http_handler> peer_handlers_;
    /// Hosts of agents that could not be connected to.
    std::map<std::string, time_point> agents_down_until_;
    std::map<std::string, time_point> endpoints_paused_until_;
    std::unordered_map<std::uint64_t, request_pointer> active_requests_;
    std::uint64_t next_id_ = 1;
    /// Bytes of all buffered answers.
    std::size_t buffered_bytes_ = 0;
    std::optional<time_point> drain_started_;
    bool shutdown_begun_ = false;
    bool final_answers_sent_ = false;
    net::timer_handle tick_timer_;
    observe::metrics metrics_;
    buffer_metrics buffer_metrics_{metrics_};
    observe::loop_watch loop_watch_{metrics_};
    observe::link_watch link_watch_{metrics_};
    observe::counter_family& ended_requests_;
    observe::counter_family& retry_counter_;
    observe::counter_family& quarantine_counter_;
    observe::counter_family& held_back_counter_;
    observe::counter_family& request_quarantine_counter_;
    observe::counter_family& held_back_requests_counter_;
    observe::counter_family& continued_streams_counter_;
    observe::gauge_family& known_streams_gauge_;
    observe::histogram_family& first_byte_seconds_;
    observe::histogram_family& request_seconds_;
};

} // namespace samphiretray::gateway

namespace samphiretray {

template <>
inline constexpr auto name_table<gateway::request_outcome> =
    std::to_array<std::pair<gateway::request_outcome, std::string_view>>({
        {gateway::request_outcome::answered, "answered"},
        {gateway::request_outcome::endpoint_failed, "endpoint_failed"},
        {gateway::request_outcome::refused, "refused"},
        {gateway::request_outcome::unknown, "unknown"},
        {gateway::request_outcome::broken, "broken"},
        {gateway::request_outcome::abandoned, "abandoned"},
    });

} // namespace samphiretray
