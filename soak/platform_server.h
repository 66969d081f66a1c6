#pragma once

#include "samphiretray/net/http_server.h"
#include "samphiretray/net/loop.h"

#include "soak/invariant_checker.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::soak {

struct server_description {
    std::string id;
    std::string service;
    /// The service of every other start, whose servers then take over the address; empty for always the same.
    std::string other_service;
    std::string data_centre;
    net::address listen;
    /// The address that it registers, and at which it is called; a fault proxy may stand between.
    net::address advertised;
    bool is_engine = false;
};

/// Requests with this path prefix may run only in the data centre `home_data_centre`.
inline constexpr std::string_view home_prefix = "/h/";
inline constexpr std::string_view home_data_centre = "north-a";
inline constexpr std::string_view other_data_centre = "south-a";
/// A started engine is cold for this long, and then takes so many requests a second.
inline constexpr duration cold_time = 1s;
inline constexpr double cold_requests_per_s = 15;

/// The response body of an attempt. It repeats the attempt's id, so that the caller can detect a truncated
/// body and one of another attempt.
[[nodiscard]] std::string expected_body(const std::string& attempt);

/// Engines crash whenever they begin a response to a request with this prompt part.
inline constexpr std::string_view crashing_part = "crash:10";
/// Servers crash whenever they run a request with this body.
inline constexpr std::string_view crashing_body = "crashing body";

/// How a server sends a response.
enum class response_outcome {
    complete,
    /// Closes the connection before the response begins.
    dropped,
    /// Closes the connection in the middle of the body.
    truncated,
    /// Sends the response of the previous attempt again, with its attempt id.
    replayed,
    /// Sends half of the body, and then bytes that form no event until the caller closes.
    endless,
    /// Sends half of the body, and then only SSE comment lines until the caller closes.
    stalled,
    /// Fails with its own 503, which does not say that the request has not run.
    failed,
};

/// What a server tells of itself in its responses.
enum class announcement { none, limit, leaving, pause };

/// How a server starts again after a crash.
enum class restart_kind { new_id, same_id, other_service };

/// Stand-in for a model server or plain service that follows the platform's protocol and reports each run and
/// order to the invariant checker.
class platform_server {
public:
    platform_server(net::loop& events, server_description description, invariant_checker& checker);

    /// Stops at once, and starts again after `downtime`; an engine then has nothing loaded.
    void crash(duration downtime, restart_kind kind = restart_kind::new_id);
    /// While on, responses fail in the ways of `response_outcome`, one after the other.
    void set_response_faults(bool on) noexcept { has_response_faults_ = on; }
    /// While on, every other request is refused as not run.
    void set_refusing(bool on) noexcept { refuses_ = on; }
    /// What responses announce from now on; a server that pauses also refuses every other request as not run.
    void announce(announcement told) noexcept {
        announcement_ = told;
        refuses_ = told == announcement::pause;
    }
    /// While on, orders get no response and are carried out 1.5 s later.
    void set_delayed_orders(bool on) noexcept { delays_orders_ = on; }
    [[nodiscard]] bool is_up() const noexcept { return server_ != nullptr; }
    [[nodiscard]] const std::string& id() const noexcept { return id_; }
    [[nodiscard]] const std::string& data_centre() const noexcept { return description_.data_centre; }
    /// From `time` on, a run in this server's data centre is a violation.
    void expect_no_runs_from(time_point time) noexcept { no_runs_from_ = time; }
    /// The value of its key in the metadata store, as JSON.
    [[nodiscard]] std::string registration() const;

private:
    void listen();
    void add_announcement(net::http_headers& headers) const;
    void handle_request(const net::http_request& request,
                        const std::shared_ptr<net::http_response>& response);
    void run_request(const net::http_request& request, const std::shared_ptr<net::http_response>& response);
    /// `cause` is the path of a crashing request; empty if it is a part of the prompt.
    void crash_while_running(const std::shared_ptr<net::http_response>& response, const std::string& attempt,
                             const std::string& id, const std::string& cause);
    void handle_order(const net::http_request& request, const std::shared_ptr<net::http_response>& response);
    void send_response(const std::shared_ptr<net::http_response>& response, const std::string& attempt,
                       response_outcome outcome);
    /// Writes the events of a resumable stream from `event` on. With a fault it breaks off after the next
    /// one.
    void write_stream(const std::shared_ptr<net::http_response>& response, std::size_t event, bool has_fault);
    /// Version of the software of this incarnation. Each start has the other version, also one under the same
    /// id: the records of an entry that is out of step then name the wrong one.
    [[nodiscard]] std::string software_version() const { return start_count_ % 2 == 0 ? "v2" : "v1"; }
    /// Writes `bytes` again and again until the caller closes the connection.
    void keep_writing(const std::shared_ptr<net::http_response>& response, const std::string& bytes);
    /// Returns the HTTP status of the response.
    [[nodiscard]] int execute_order(const nlohmann::json& order_body);
    [[nodiscard]] std::string report() const;

    net::loop& loop_;
    server_description description_;
    invariant_checker& checker_;
    std::unique_ptr<net::http_server> server_;
    std::string id_;
    /// Numbers the ids.
    int id_count_ = 0;
    /// Incarnations, under any id.
    int start_count_ = 0;
    restart_kind next_start_ = restart_kind::new_id;
    time_point started_at_;
    std::deque<time_point> runs_while_cold_;
    std::optional<time_point> no_runs_from_;
    void check_run(const net::http_request& request, const std::string& attempt);
    std::uint64_t incarnation_ = 0;
    /// Number of accepted changes since the start; an order may require a value of it as its precondition.
    std::uint64_t sequence_ = 0;
    /// Highest fencing number of an accepted order.
    std::uint64_t highest_fencing_number_ = 0;
    std::vector<std::string> models_{"m0"};
    /// Versions of the loaded adapters by name.
    std::map<std::string, std::uint64_t> adapters_;
    bool refuses_ = false;
    announcement announcement_ = announcement::none;
    std::uint64_t refusable_count_ = 0;
    bool has_response_faults_ = false;
    std::size_t faulty_response_count_ = 0;
    std::string previous_attempt_;
    bool delays_orders_ = false;
    std::map<std::uint64_t, net::timer_handle> timers_;
    std::uint64_t next_timer_ = 0;
    void run_after(duration delay, std::function<void()> action);
};

} // namespace samphiretray::soak
