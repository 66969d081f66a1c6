#pragma once

#include "samphiretray/net/http_client.h"
#include "samphiretray/net/loop.h"

#include "standins/answer_judge.h"
#include "standins/load_report.h"
#include "standins/load_schedule.h"
#include "standins/order_ledger.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace samphiretray::standins {

/// Open-loop load generator: sends each request of a plan at its planned time, whether earlier requests have
/// been answered or not.
class load_runner {
public:
    load_runner(net::loop& events, const load_plan& plan, check_mode mode);

    /// Returns when every request has an outcome and the counts of the order servers have been compared.
    [[nodiscard]] const load_report& run();

private:
    struct attempt {
        planned_request request;
        /// Number of unreachable targets so far; reset when an order is sent again.
        std::size_t failed_targets = 0;
        std::uint32_t sends = 1;
        answer_reader answer{};
        std::optional<time_point> first_byte{};
        std::unique_ptr<net::http_exchange> exchange{};
        net::timer_handle repeat{};
    };

    void schedule_next();
    void launch(const planned_request& request);
    void send(attempt& item);
    void complete(std::uint64_t number);
    [[nodiscard]] bool try_next_target(attempt& item);
    [[nodiscard]] bool retry_order(attempt& item, const check_result& result);
    void record(const attempt& item, check_result result);

    [[nodiscard]] net::http_call make_call(const attempt& item) const;
    [[nodiscard]] check_result check(const attempt& item) const;
    [[nodiscard]] const traffic_source& source_of(const attempt& item) const;
    [[nodiscard]] bool is_finished() const { return is_schedule_done_ && in_flight_.empty(); }
    void compare_orders();
    [[nodiscard]] std::optional<std::map<std::string, std::uint32_t>>
    fetch_orders(const net::address& server);

    net::loop* events_;
    const load_plan* plan_;
    check_mode mode_;
    std::unique_ptr<net::http_client> client_;
    load_schedule schedule_;
    load_report report_;
    order_ledger ledger_;
    time_point start_;
    net::timer_handle next_;
    bool is_schedule_done_ = false;
    std::map<std::uint64_t, attempt> in_flight_;
};

} // namespace samphiretray::standins
