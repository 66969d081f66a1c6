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
    /// Orders that run at once; more wait.
    std::uint32_t workers = 32;
    std::uint64_t seed = 1;
};

/// What becomes of the answer to a call.
enum class order_fate { answered, refused, lost };

struct finished_order {
    std::uint64_t call = 0;
    std::string order;
    /// How often this order has run, with this run.
    std::uint32_t runs = 0;
    order_fate fate = order_fate::answered;
};

/// Orders of the plain-service stand-in. An accepted order runs even if its caller goes away, since an order
/// that is under way cannot be undone.
class order_service_model {
public:
    explicit order_service_model(const order_service_options& options);

    /// Accepts an order, or returns nothing if it is refused without running.
    [[nodiscard]] std::optional<std::uint64_t> begin(const std::string& order, time_point now);
    [[nodiscard]] std::vector<finished_order> advance(time_point now);
    [[nodiscard]] std::optional<time_point> next_event() const;

    /// Fields: `lose_next` and `lose_probability` (the order runs, its answer is lost), `refuse_next` (the
    /// order does not run), `order_time_ms`.
    void change_faults(const nlohmann::json& change);
    /// Order id → number of runs.
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
