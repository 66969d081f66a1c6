#pragma once

#include "samphiretray/net/http_client.h"
#include "samphiretray/net/loop.h"
#include "samphiretray/routing/crash_quarantine.h"
#include "samphiretray/routing/request_quarantine.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphiretray::gateway {

/// Paths at the control address of an agent. The body of a request is what the entry knows; the response to
/// `crashes_path` is the evidence that the agent has in addition.
inline constexpr std::string_view crashes_path = "/crashes";
inline constexpr std::string_view announcements_path = "/quarantine";

/// An answer that ended before its time, as the entry that received it knows it.
struct cut_answer {
    net::address engine;
    /// Start of the engine in Unix milliseconds, as the entry knew it when it sent the request.
    std::uint64_t engine_started_at = 0;
    /// Its id identifies all attempts at the request.
    routing::prompt_request request;
    /// Hash of the id of the attempt.
    std::uint64_t attempt = 0;
    /// Hash of the name of the engine's incarnation.
    std::uint64_t server = 0;
};

/// Asks the agents of engines that have cut answers whether they crashed, and what they were running, and
/// announces the quarantined parts to agents.
class crash_exchange {
public:
    /// `agent_control_port` 0 means that there are no agents to talk to.
    crash_exchange(net::loop& events, net::http_client& http, routing::crash_quarantine& quarantine,
                   routing::request_quarantine& requests, std::uint16_t agent_control_port)
        : loop_(events), http_(http), quarantine_(quarantine), requests_(requests),
          port_(agent_control_port) {}

    /// The agent on `host`, or its engine, has closed the connection of a request before the end of its
    /// answer. `cut` is set if the request may have crashed the engine.
    void on_interrupted(const std::string& host, std::optional<cut_answer> cut);
    /// The agent on `host` holds back a part that this entry does not.
    void on_held_back_by(const std::string& host);
    /// The parts and requests that are held back from engines, and those that no longer are.
    [[nodiscard]] std::vector<routing::held_part> held() const;
    /// Tells the agents on `hosts` which parts and requests are quarantined.
    void announce(const std::vector<std::string>& hosts);

private:
    struct inquiry {
        std::uint32_t attempts = 0;
        time_point began_at;
        std::vector<cut_answer> cut_answers;
        net::timer_handle timer;
        std::unique_ptr<net::http_exchange> exchange;
    };

    void ask_later(const std::string& host, duration delay);
    void ask(const std::string& host);
    void on_answer(const std::string& host, const result<net::fetched_response>& answer);
    /// Reports the engines that have ended as crashed, with this entry's own requests as the suspects: an
    /// agent that was restarted since does not know what its engine was running, and one that does not answer
    /// cannot say.
    void report_own(const inquiry& ended, std::optional<std::uint64_t> engine_started_at);
    /// The engine has crashed while it ran the request of this answer.
    void report_cut_run(const cut_answer& cut, const inquiry& ended);
    /// What this entry knows, as sent to agents.
    [[nodiscard]] std::string message_text() const;
    [[nodiscard]] net::http_call make_call(const std::string& host, std::string_view path,
                                           std::string body) const;

    net::loop& loop_;
    net::http_client& http_;
    routing::crash_quarantine& quarantine_;
    routing::request_quarantine& requests_;
    std::uint16_t port_;
    /// Inquiries in progress, by host.
    std::map<std::string, inquiry> inquiries_;
    /// Announcements in progress, by host.
    std::map<std::string, std::unique_ptr<net::http_exchange>> announcements_;
};

} // namespace samphiretray::gateway
