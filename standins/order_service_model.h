#pragma once

#include "samphiretray/base/time.h"

#include "standins/random_source.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphiretray::standins {

struct order_service_options {
    duration order_time = 50ms;
    /// Maximum number of orders that run at once; further orders are queued.
    std::uint32_t workers = 32;
    std::uint64_t seed = 1;
};

/// How the server responds to an order.
enum class reply_outcome { answered, refused, lost };

struct finished_order {
    std::uint64_t call = 0;
    std::string order;
    /// Number of times that this order has run, this run included.
    std::uint32_t runs = 0;
    reply_outcome reply = reply_outcome::answered;
};

/// Orders of the plain-service stand-in. An accepted order runs to its end even if its caller disconnects,
/// because an order in progress cannot be undone.
class order_service_model {
public:
    explicit order_service_model(const order_service_options& options);

    /// Accepts an order and returns the id of the call, or returns nothing if the order is refused and does
    /// not run.
    [[nodiscard]] std::optional<std::uint64_t> begin(const std::string& order, time_point now);
    [[nodiscard]] std::vector<finished_order> advance(time_point now);
    [[nodiscard]] std::optional<time_point> next_event() const;

    /// Sets the faults that are fields of `change`: `lose_next` and `lose_probability` (the order runs, its
    /// response is lost), `refuse_next` (the order does not run), `order_time_ms`.
    void change_faults(const nlohmann::json& change);
    /// Number of runs by order id.
    [[nodiscard]] const std::map<std::string, std::uint32_t>& orders() const noexcept { return runs_; }
    [[nodiscard]] std::size_t running() const noexcept { return running_.size(); }
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }
    [[nodiscard]] nlohmann::json counters() const;

private:
    struct running_order {
        std::uint64_t call = 0;
        std::string order;
        time_point end;
    };

    void start_waiting(time_point now);
    [[nodiscard]] bool loses_answer();

    order_service_options options_;
    random_source random_;
    std::uint32_t lose_next_ = 0;
    std::uint32_t refuse_next_ = 0;
    double lose_probability_ = 0;
    std::uint64_t last_call_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t lost_ = 0;
    std::deque<running_order> waiting_;
    std::vector<running_order> running_;
    std::map<std::string, std::uint32_t> runs_;
};

} // namespace samphiretray::standins
