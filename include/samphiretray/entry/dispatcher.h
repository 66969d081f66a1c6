#pragma once

#include "samphiretray/control/membership.h"
#include "samphiretray/entry/request_context.h"
#include "samphiretray/node/peer_directory.h"
#include "samphiretray/routing/outlier_ejection.h"
#include "samphiretray/routing/placement.h"
#include "samphiretray/routing/retry_policy.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace samphiretray::entry {

/// Event counters of the dispatcher, for metrics.
struct dispatch_counts {
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t cold_starts = 0;
    std::uint64_t late_answers = 0;
    std::uint64_t truncated_answers = 0;
    std::uint64_t wrong_version = 0;
    std::uint64_t remote_bytes = 0;
};

/// Sends requests to agents, retries failed attempts and forwards the answers to the callers.
class dispatcher {
public:
    /// `on_leaving` is called for agents that refuse a request because they are shutting down.
    dispatcher(net::loop& events, node::peer_identity self, node::peer_directory& peers,
               const control::membership& members, std::function<void(const wire::leaving_vm&)> on_leaving);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    /// Starts the first attempt. The dispatcher ends the request through one of its end functions, such as
    /// `request_context::complete`.
    void dispatch(const request_pointer& request);

    /// Handles an answer or refusal from an agent; returns false if `value` is neither.
    [[nodiscard]] bool handle(const node::peer_pointer& from, wire::message& value);
    void on_peer_closed(const node::peer_pointer& closed_peer);
    void members_changed();

    [[nodiscard]] const dispatch_counts& counts() const noexcept { return counts_; }

private:
    struct attempt;
    using attempt_pointer = std::shared_ptr<attempt>;

    void start_attempt(const request_pointer& request, std::uint32_t number, std::vector<std::string> tried);
    void send(const attempt_pointer& started, const result<node::peer_pointer>& link);
    [[nodiscard]] static wire::request_open make_open(const attempt& started, time_point now);
    [[nodiscard]] attempt_pointer find(const node::peer_pointer& from, std::uint64_t request,
                                       std::uint32_t number);
    void on_head(const node::peer_pointer& from, const wire::answer_head& head);
    void on_data(const node::peer_pointer& from, wire::answer_data& data);
    void on_answer_end(const node::peer_pointer& from, const wire::answer_end& end);
    void on_refused(const node::peer_pointer& from, const wire::request_refused& refused);
    void start_response(attempt& current_attempt, const net::http_headers& extra);
    void complete(const attempt_pointer& finished_attempt, const wire::answer_end& end);
    /// Ends a failed attempt, then retries the request or ends it with an error.
    void attempt_failed(const attempt_pointer& failed, error cause, bool forwarded,
                        std::optional<duration> retry_after);
    /// Sends a request that a draining agent refused to another endpoint, without using the retry budget.
    /// Returns false if too many agents have refused it.
    [[nodiscard]] bool resend_elsewhere(const attempt_pointer& refused);
    void remove_attempt(const attempt_pointer& finished_attempt);
    [[nodiscard]] bool is_remote(const std::string& endpoint) const;

    net::loop& loop_;
    node::peer_identity self_;
    node::peer_directory& peers_;
    const control::membership& members_;
    std::function<void(const wire::leaving_vm&)> on_leaving_;
    routing::placement placement_;
    routing::retry_policy retry_policy_;
    routing::outlier_ejection ejection_;
    /// Agents by the endpoint that they serve.
    std::map<std::string, ports::vm, std::less<>> agents_;
    std::unordered_map<std::uint64_t, attempt_pointer> attempts_;
    dispatch_counts counts_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace samphiretray::entry
