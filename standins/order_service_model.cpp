#include "standins/order_service_model.h"

#include <algorithm>

namespace samphiretray::standins {

order_service_model::order_service_model(const order_service_options& options)
    : options_(options), random_(options.seed) {}

std::optional<std::uint64_t> order_service_model::begin(const std::string& order, time_point now) {
    if (refuse_next_ > 0) {
        --refuse_next_;
        ++refused_;
        return std::nullopt;
    }
    waiting_.push_back({++last_call_, order, {}});
    start_waiting(now);
    return last_call_;
}

std::vector<finished_order> order_service_model::advance(time_point now) {
    std::vector<finished_order> finished;
    std::erase_if(running_, [&](const running_order& item) {
        if (item.end > now) {
            return false;
        }
        const reply_outcome reply = loses_answer() ? reply_outcome::lost : reply_outcome::answered;
        finished.push_back({item.call, item.order, runs_[item.order], reply});
        return true;
    });
    start_waiting(now);
    return finished;
}

std::optional<time_point> order_service_model::next_event() const {
    const auto first = std::ranges::min_element(running_, {}, &running_order::end);
    return first == running_.end() ? std::nullopt : std::optional{first->end};
}

void order_service_model::change_faults(const nlohmann::json& change) {
    lose_next_ = change.value("lose_next", lose_next_);
    refuse_next_ = change.value("refuse_next", refuse_next_);
    lose_probability_ = change.value("lose_probability", lose_probability_);
    options_.order_time =
        std::chrono::milliseconds{change.value("order_time_ms", milliseconds_in(options_.order_time))};
}

nlohmann::json order_service_model::counters() const {
    std::uint64_t runs = 0;
    std::uint64_t repeated = 0;
    for (const auto& [order, count] : runs_) {
        runs += count;
        repeated += count > 1 ? 1 : 0;
    }
    return {{"orders", runs_.size()},    {"runs", runs},  {"repeated_orders", repeated},
            {"refused", refused_},       {"lost", lost_}, {"running", running_.size()},
            {"waiting", waiting_.size()}};
}

void order_service_model::start_waiting(time_point now) {
    while (!waiting_.empty() && running_.size() < options_.workers) {
        running_order next = std::move(waiting_.front());
        waiting_.pop_front();
        next.end = now + options_.order_time;
        // Counted at the start, because the order cannot be cancelled from here on.
        ++runs_[next.order];
        running_.push_back(std::move(next));
    }
}

bool order_service_model::loses_answer() {
    const bool counted = lose_next_ > 0;
    if (!counted && !random_.chance(lose_probability_)) {
        return false;
    }
    lose_next_ -= counted ? 1 : 0;
    ++lost_;
    return true;
}

} // namespace samphiretray::standins
