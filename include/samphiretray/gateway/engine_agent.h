#pragma once

#include "samphiretray/agent/engine_admission.h"
#include "samphiretray/agent/load_order.h"
#include "samphiretray/agent/load_pacing.h"
#include "samphiretray/agent/slot_table.h"
#include "samphiretray/gateway/agent_protocol.h"
#include "samphiretray/gateway/answer_judgement.h"
#include "samphiretray/gateway/binding.h"
#include "samphiretray/gateway/model.h"
#include "samphiretray/gateway/relay.h"
#include "samphiretray/gateway/settings.h"
#include "samphiretray/net/http_client.h"
#include "samphiretray/net/http_server.h"
#include "samphiretray/observe/metrics.h"
#include "samphiretray/ports/engine.h"
#include "samphiretray/routing/prefix_memory.h"

#include <concepts>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace samphiretray::gateway {

/// The engine beside an agent. Completions run from the loop.
template <typename Engine>
concept ordered_engine =
    requires(Engine& engine, ports::engine_order order, ports::completion<std::string> on_order,
             ports::completion<engine_report> on_report) {
        engine.report(on_report);
        /// Completes when the adapter is loaded. Errors: `fenced`, `load_failed`, `timeout` and others.
        engine.load(order, on_order);
        engine.unload(order, on_order);
    };

/// The process beside an engine: keeps the adapters of waiting requests loaded, admits requests as far as the
/// engine's memory holds them, and passes answers on. It is the only process that sends orders to its engine.
template <request_binding Binding, ordered_engine Engine>
class engine_agent {
public:
    engine_agent(net::loop& events, engine_agent_settings settings, Engine& engine);
    engine_agent(const engine_agent&) = delete;
    engine_agent& operator=(const engine_agent&) = delete;
    ~engine_agent() = default;

    /// Fails with `connection_failed` if an address is in use.
    [[nodiscard]] status start();
    /// Begins a planned stop; the loop is stopped at its end.
    void drain();

    void apply(const routing_state& state);
    void apply(const adapter_release& release);
    /// A number that is larger than that of any earlier agent of this engine; orders carry numbers made from
    /// it.
    void set_fencing_number(std::uint64_t number);

    /// Where entries connect, with the port that the system chose for port 0. Only after a successful
    /// `start`.
    [[nodiscard]] net::address listen_address() const { return server_->local_address(); }

private:
    struct work {
        std::uint64_t id = 0;
        forwarded_request request;
        net::http_request http;
        std::shared_ptr<net::http_response> response;
        ports::adapter_version adapter;
        std::vector<routing::shared_part> prompt;
        time_point arrived;
        time_point deadline;
        waiting_budget budget;
        bool waits = false;
        bool ended = false;
        bool seen_body = false;
        /// As it was admitted to the queue; empty before.
        agent::admission_request wanted;
        std::optional<time_point> run_at;
        std::optional<time_point> first_byte_at;
        std::optional<agent::slot_pin> pin;
        std::unique_ptr<net::http_exchange> exchange;
    };
    using work_pointer = std::shared_ptr<work>;

    void on_request(net::http_request&& http, std::shared_ptr<net::http_response>&& response);
    [[nodiscard]] std::optional<agent_refusal> reason_to_refuse(const work& asked,
                                                                const agent::admission_request& wanted) const;
    /// True if the request has nowhere else to go and the base model will be there in time.
    [[nodiscard]] bool may_wait_for_model(const work& asked) const;
    /// Expected time until the engine holds a base model; zero if it does.
    [[nodiscard]] duration model_delay() const;
    [[nodiscard]] agent::admission_request admission_of(const work& asked) const;
    [[nodiscard]] ports::adapter_version adapter_of(const forwarded_request& request) const;
    void enqueue(const work_pointer& asked, const agent::admission_request& wanted);
    void pump();
    void expire();
    void run_admitted();
    void run(const work_pointer& admitted);
    void want_loads();
    [[nodiscard]] agent::load_order order_of_loads() const;
    void perform(std::vector<agent::slot_command> commands);
    void load_ended(const agent::slot_command& command, duration took, const result<std::string>& outcome);
    void unload_ended(const agent::slot_command& command, const result<std::string>& outcome);
    void on_head(const work_pointer& running, int code, const net::http_headers& headers);
    /// Ends the exchange with the engine, whose bytes are no answer to the request.
    void on_foreign(const work_pointer& running, int code, const answer_summary& head);
    void on_data(const work_pointer& running, std::string_view bytes);
    void on_end(const work_pointer& running, const std::optional<error>& failure);
    void refuse(const work_pointer& refused, agent_refusal reason, std::string_view detail);
    void finish(const work_pointer& finished, std::string_view outcome);
    void poll();
    void on_report(const result<engine_report>& report);
    void refuse_failed_loads();
    void restore_model();
    void refuse_waiting(agent_refusal reason);
    [[nodiscard]] bool holds_model() const;
    void check_drained();
    [[nodiscard]] routing::engine_load load() const;
    [[nodiscard]] bool is_engine_up() const;
    void check_engine_leaving();
    void on_control(const net::http_request& request, net::http_response& response);

    net::loop& loop_;
    engine_agent_settings settings_;
    Engine& engine_;
    std::unique_ptr<net::http_client> http_;
    std::unique_ptr<net::http_server> server_;
    std::unique_ptr<net::http_server> control_;
    std::optional<agent::slot_table> slots_;
    agent::engine_admission admission_;
    agent::load_pacing pacing_;
    routing::prefix_memory prefixes_{0};
    std::map<std::string, std::uint64_t> versions_;
    std::unordered_map<std::uint64_t, work_pointer> works_;
    std::uint64_t next_id_ = 1;
    std::uint64_t fencing_number_ = 0;
    std::uint32_t engine_restarts_ = 0;
    std::optional<engine_report> report_;
    std::uint32_t failed_polls_ = 0;
    /// The base model that the engine is to hold.
    std::string model_;
    std::vector<std::string> possible_models_;
    /// Set once the engine has said that it will leave.
    std::optional<time_point> leaving_since_;
    /// Set while the base model is being loaded.
    std::optional<time_point> restoring_since_;
    duration model_load_time_{0};
    std::optional<time_point> drain_started_;
    bool closing_ = false;
    net::timer_handle poll_timer_;
    net::timer_handle tick_timer_;
    observe::metrics metrics_;
    observe::counter_family& ended_works_;
    observe::counter_family& orders_;
    observe::histogram_family& wait_seconds_;
};

} // namespace samphiretray::gateway
