#pragma once

#include "samphiretray/agent/answer_checker.h"
#include "samphiretray/agent/attempt_table.h"
#include "samphiretray/agent/fair_queue.h"
#include "samphiretray/agent/permit_client.h"
#include "samphiretray/agent/slot_table.h"
#include "samphiretray/config/settings.h"
#include "samphiretray/net/loop.h"
#include "samphiretray/node/peer_directory.h"
#include "samphiretray/ports/engine.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphiretray::agent {

/// Whether the agent may send orders to its engine, and the fencing number that they carry.
struct command_authority {
    bool allowed = false;
    std::uint64_t fencing_number = 0;
};

struct runner_counts {
    std::uint64_t started = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t truncated = 0;
    std::uint64_t loads = 0;
    std::uint64_t failed_loads = 0;
    std::uint64_t cold_requests = 0;
    /// Total time in microseconds that requests which needed a load waited before they started.
    std::uint64_t load_stall_us = 0;
};

/// Queues and runs the requests of all entries at the endpoint beside this agent, and loads the adapters that
/// they need.
template <ports::engine Engine>
class request_runner {
public:
    request_runner(net::loop& events, const config::agent_settings& settings, Engine& endpoint,
                   node::peer_directory& peers, const control::membership& members,
                   std::function<command_authority()> authority);
    ~request_runner();
    request_runner(const request_runner&) = delete;
    request_runner& operator=(const request_runner&) = delete;

    void start();
    /// Handles a message from an entry; false if `value` is of another kind.
    [[nodiscard]] bool handle(const node::peer_pointer& from, wire::message& value);
    void on_peer_closed(const node::peer_pointer& closed);
    void on_tick();

    /// Refuses new requests from now on; queued and running ones are still completed.
    void drain() { draining_ = true; }
    [[nodiscard]] bool idle() const noexcept { return active_requests_.empty(); }
    /// True once the endpoint accepts requests: a plain service from the start; an engine once it has
    /// reported its state and the requests of a previous agent have ended or timed out.
    [[nodiscard]] bool is_ready() const noexcept { return ready_; }

    [[nodiscard]] wire::load_report load() const;
    [[nodiscard]] const runner_counts& counts() const noexcept { return counts_; }
    [[nodiscard]] const slot_table* slots() const noexcept { return slots_.get(); }

private:
    struct active_request;
    using request_pointer = std::shared_ptr<active_request>;

    [[nodiscard]] bool is_engine() const noexcept { return !settings_.base_model.empty(); }
    [[nodiscard]] static attempt_id id_of(const node::peer_pointer& from, std::uint64_t request,
                                          std::uint32_t attempt);
    void open(const node::peer_pointer& from, wire::request_open&& request);
    [[nodiscard]] std::optional<wire::refusal> refusal_reason(const wire::request_open& request) const;
    void cancel(const node::peer_pointer& from, const wire::request_cancel& request);
    void drop_queued(const attempt_id& id);
    void refuse(const request_pointer& refused, wire::refusal reason, bool forwarded, std::string detail);

    /// Tells whether the adapter of a queued request is available to it now.
    [[nodiscard]] fair_queue::runnable_predicate runnable() const;
    void refuse_queued(const queued_request& removed, wire::refusal reason, std::string detail);

    void process_queue();
    void run_queued();
    void expire_queued();
    void request_loads();
    [[nodiscard]] bool begin_load(const adapter_version& adapter);
    void perform(std::vector<slot_command> commands);
    void load_ended(const slot_command& command, const result<std::string>& incarnation);
    void refuse_after_failed_loads(const adapter_version& adapter);
    void end_wait(active_request& waiting);

    void run(const request_pointer& started);
    void on_head(const request_pointer& running, int status, const std::string& content_type,
                 const std::string& incarnation);
    void on_data(const request_pointer& running, std::string_view bytes);
    void on_end(const request_pointer& running, const std::optional<error>& failure);
    void send_data(active_request& running, std::string bytes);
    void send_head(active_request& running);
    void finish(const request_pointer& ended, bool whole, std::string reason);
    void release(const request_pointer& ended);

    void poll_engine();
    void on_state(const ports::engine_state& state);
    void check_incarnation(const std::string& incarnation);
    void update_service_rate();

    net::loop& loop_;
    const config::agent_settings& settings_;
    Engine& endpoint_;
    std::function<command_authority()> authority_;
    attempt_table attempts_;
    fair_queue queue_;
    std::unique_ptr<slot_table> slots_;
    permit_client permits_;
    std::map<attempt_id, request_pointer> active_requests_;
    std::uint32_t concurrency_ = 0;
    std::uint32_t running_ = 0;
    bool draining_ = false;
    bool ready_ = false;
    std::optional<time_point> adopted_at_;
    std::uint64_t recent_tokens_ = 0;
    time_point rate_since_;
    bool polling_ = false;
    runner_counts counts_;
    net::timer_handle poll_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace samphiretray::agent

#include "samphiretray/agent/request_runner-inl.h"
