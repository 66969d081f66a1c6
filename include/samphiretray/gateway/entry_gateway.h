#pragma once

#include "samphiretray/gateway/agent_protocol.h"
#include "samphiretray/gateway/answer_judgement.h"
#include "samphiretray/gateway/binding.h"
#include "samphiretray/gateway/endpoint_directory.h"
#include "samphiretray/gateway/event_stream.h"
#include "samphiretray/gateway/relay.h"
#include "samphiretray/gateway/routing_table.h"
#include "samphiretray/gateway/settings.h"
#include "samphiretray/gateway/usage_exchange.h"
#include "samphiretray/net/http_client.h"
#include "samphiretray/net/http_server.h"
#include "samphiretray/observe/metrics.h"
#include "samphiretray/rate/fleet_usage.h"
#include "samphiretray/routing/endpoint_choice.h"
#include "samphiretray/routing/outlier_ejection.h"
#include "samphiretray/routing/retry_policy.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace samphiretray::gateway {

/// How a request ended, as logs and metrics name it.
enum class request_outcome {
    answered,
    /// The endpoint's own failure was passed on.
    endpoint_failed,
    /// Not run, and the caller was told so.
    refused,
    /// The caller cannot know whether the request ran.
    unknown,
    /// The answer broke off.
    broken,
    /// The caller left before the end.
    abandoned,
};

/// The process on an entry VM: authenticates callers, holds organisations to their rates, chooses an endpoint
/// for each request and passes answers on.
template <request_binding Binding, typename Store>
class entry_gateway {
public:
    entry_gateway(net::loop& events, gateway_settings settings, Store& store);
    entry_gateway(const entry_gateway&) = delete;
    entry_gateway& operator=(const entry_gateway&) = delete;
    ~entry_gateway() = default;

    /// Fails with `connection_failed` if an address is in use.
    [[nodiscard]] status start();
    /// Begins a planned stop; the loop is stopped at its end.
    void drain();
    /// New settings of the kind that can change while the process runs.
    void reload(const gateway_settings& settings);

    /// A whole configuration. One with a version below the one in force is ignored.
    void apply(routing_state state);
    void apply(const adapter_release& release);
    void update_endpoint(endpoint value);
    void remove_endpoint(const std::string& id, bool after_outage);
    /// All endpoints have been reported once.
    void endpoints_complete();

    /// Calls `action` with the other registered entries whenever they change.
    void on_peers(std::function<void(const std::vector<peer_entry>&)> action) {
        exchange_.on_peers(std::move(action));
    }
    /// Questions of peers at `path` of the control address go to `handler`.
    void serve_peers(std::string path, net::http_handler handler) {
        peer_pages_.insert_or_assign(std::move(path), std::move(handler));
    }

    /// Where callers connect and where the balancer asks, with the ports that the system chose for port 0.
    /// Only after a successful `start`.
    [[nodiscard]] net::address listen_address() const { return front_->local_address(); }
    [[nodiscard]] net::address ready_address() const { return ready_->local_address(); }

private:
    enum class answer_state {
        none,
        /// The answer goes to the caller as it comes.
        relayed,
        /// The answer is collected first.
        collected,
        agent_refused,
        endpoint_refused,
        /// Not an answer to this request, or one that is larger than any answer may be.
        invalid,
    };

    struct active_request {
        std::uint64_t id = 0;
        caller_request caller;
        net::http_request http;
        std::shared_ptr<net::http_response> response;
        std::shared_ptr<const routing_table> table;
        const route* on = nullptr;
        const organisation* owner = nullptr;
        std::string service;
        bool is_engine = false;
        double cost = 0;
        time_point arrived;
        time_point deadline;
        net::timer_handle deadline_timer;
        std::vector<routing::shared_part> prompt;
        std::vector<std::string> tried;
        /// Sends that reached or may have reached an endpoint.
        std::uint32_t sends = 0;
        bool may_have_run = false;
        bool ended = false;
        std::optional<agent_refusal> last_refusal;

        std::uint64_t attempt = 0;
        std::string endpoint;
        std::string agent_host;
        std::string version;
        std::unique_ptr<net::http_exchange> exchange;
        time_point sent_at;
        bool seen_body = false;
        std::optional<time_point> first_byte_at;
        answer_state state = answer_state::none;
        int status = 0;
        net::http_headers headers;
        /// What has come of an answer that is collected.
        std::string body;
        /// The events of an answer that is relayed.
        event_stream events;
    };
    using request_pointer = std::shared_ptr<active_request>;

    [[nodiscard]] status start_servers();
    void on_request(net::http_request&& http, std::shared_ptr<net::http_response>&& response);
    [[nodiscard]] bool accept(const request_pointer& request);
    [[nodiscard]] bool authenticate(active_request& request);
    [[nodiscard]] bool admit(active_request& request);
    void place(const request_pointer& request);
    [[nodiscard]] std::vector<std::string> usable_endpoints(const active_request& request);
    [[nodiscard]] routing::choice_request choice_of(const active_request& request) const;
    [[nodiscard]] bool is_agent_down(const std::string& host) const;
    [[nodiscard]] waiting_budget budget_of(const active_request& request, bool has_others) const;
    void send(const request_pointer& request, const routing::choice_candidate& chosen, bool has_others);
    void on_head(const request_pointer& request, int status, const net::http_headers& headers);
    [[nodiscard]] answer_state classify(const active_request& request, const answer_summary& head,
                                        const net::http_headers& headers) const;
    void on_data(const request_pointer& request, std::string_view bytes);
    void on_stream_data(const request_pointer& request, std::string_view bytes);
    void collect(const request_pointer& request, std::string_view bytes);
    void drop_collected(active_request& request);
    /// Gives an attempt up before its answer has ended.
    void end_exchange(active_request& request);
    /// Ends the exchange with an endpoint whose bytes are no answer to the request.
    void on_invalid(const request_pointer& request, std::string_view cause);
    void on_end(const request_pointer& request, std::optional<error> failure);
    void on_unanswered(const request_pointer& request, const std::optional<error>& failure);
    /// The answer broke off after its head had been passed on: a resumable stream goes on at another
    /// endpoint.
    void on_broken(const request_pointer& request, std::string_view cause);
    void deliver(const request_pointer& request);
    void try_again(const request_pointer& request, bool forwarded, std::string_view cause);
    [[nodiscard]] static bool is_resumable(const active_request& request);
    [[nodiscard]] static bool is_repeatable(const active_request& request);
    [[nodiscard]] static bool has_events(const active_request& request);
    /// True unless it is certain that no endpoint runs the request or has run it.
    [[nodiscard]] static bool may_have_run(const active_request& request);
    void check_stalled();
    void move_stalled(const request_pointer& request);
    void on_deadline(const request_pointer& request);
    void on_caller_left(const request_pointer& request);
    /// No endpoint is left for the request: says that it has not run only if that is so.
    void give_up(active_request& request, std::string_view cause);
    void refuse(active_request& request, int code, std::optional<duration> retry_after,
                std::string_view cause);
    void end(active_request& request, request_outcome outcome, int code, std::string_view cause);
    void on_tick();
    void check_drained();
    void answer_all_before_stop();
    [[nodiscard]] bool is_ready() const;
    void on_control(const net::http_request& request, const std::shared_ptr<net::http_response>& response);
    [[nodiscard]] std::string status_text() const;
    void refresh_endpoint(const endpoint& value);
    void refresh_pools();
    void forget_endpoint(const std::string& id);

    net::loop& loop_;
    gateway_settings settings_;
    std::string incarnation_;
    std::unique_ptr<net::http_client> http_;
    std::unique_ptr<net::http_server> front_;
    std::unique_ptr<net::http_server> ready_;
    std::unique_ptr<net::http_server> control_;
    std::shared_ptr<const routing_table> table_;
    std::map<std::string, std::uint64_t> versions_;
    endpoint_directory directory_;
    bool endpoints_complete_ = false;
    routing::endpoint_choice choice_;
    routing::outlier_ejection ejection_;
    routing::retry_policy retries_;
    /// Entries that were known at the last tick, with this one.
    std::size_t entries_ = 0;
    rate::fleet_usage usage_;
    usage_exchange<Store> exchange_;
    std::map<std::string, net::http_handler> peer_pages_;
    std::map<std::string, time_point> agents_down_until_;
    std::map<std::string, time_point> paused_until_;
    std::unordered_map<std::uint64_t, request_pointer> active_;
    std::uint64_t next_id_ = 1;
    /// Bytes of all answers that are being collected.
    std::size_t collected_bytes_ = 0;
    std::optional<time_point> drain_started_;
    bool closing_ = false;
    bool answered_all_ = false;
    net::timer_handle tick_;
    observe::metrics metrics_;
    observe::counter_family& ended_requests_;
    observe::counter_family& repeats_;
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
