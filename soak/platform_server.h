#pragma once

#include "samphiretray/net/http_server.h"
#include "samphiretray/net/loop.h"

#include "soak/promises.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace samphiretray::soak {

struct server_description {
    std::string id;
    std::string service;
    std::string data_centre;
    net::address listen;
    /// Where callers reach it.
    net::address advertised;
    bool is_engine = false;
};

/// The body that a server sends for an attempt, so that callers can tell their own whole answer.
[[nodiscard]] std::string whole_answer(const std::string& attempt);

/// What becomes of an answer.
enum class answer_fate {
    whole,
    lost,
    cut,
    /// A second copy of the answer before comes in its place.
    copy_of_earlier,
    /// Goes on with bytes that are no events until the caller closes.
    endless,
    /// Sends a byte now and then.
    stalled,
};

/// A model server or plain service with the platform's rules, which reports to `promises` what it runs.
class platform_server {
public:
    platform_server(net::loop& events, server_description description, promises& checks);

    /// Stops, and starts again later under another id; an engine is then empty.
    void crash(duration down);
    void lose_answers(bool on) noexcept { losing_ = on; }
    void delay_orders(bool on) noexcept { late_orders_ = on; }
    [[nodiscard]] bool is_up() const noexcept { return server_ != nullptr; }
    [[nodiscard]] const std::string& id() const noexcept { return id_; }
    [[nodiscard]] std::string entry() const;

private:
    void listen();
    void answer(const net::http_request& request, const std::shared_ptr<net::http_response>& response);
    void run(const net::http_request& request, const std::shared_ptr<net::http_response>& response);
    void order(const net::http_request& request, const std::shared_ptr<net::http_response>& response);
    void give_answer(const std::shared_ptr<net::http_response>& response, const std::string& attempt,
                     answer_fate fate);
    void go_on(const std::shared_ptr<net::http_response>& response, const std::string& bytes);
    [[nodiscard]] int carry_out(const nlohmann::json& wanted);
    [[nodiscard]] std::string report() const;

    net::loop& loop_;
    server_description description_;
    promises& checks_;
    std::unique_ptr<net::http_server> server_;
    std::string id_;
    int starts_ = 0;
    std::uint64_t born_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t fence_ = 0;
    std::vector<std::string> models_{"m0"};
    std::map<std::string, std::uint64_t> adapters_;
    bool losing_ = false;
    std::size_t lost_ = 0;
    std::string earlier_attempt_;
    bool late_orders_ = false;
    std::map<std::uint64_t, net::timer_handle> timers_;
    std::uint64_t next_timer_ = 0;
    void later(duration delay, std::function<void()> action);
};

} // namespace samphiretray::soak
