#include "samphiretray/agent/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace samphiretray::agent {

namespace {

/// Weight of the newest measurement in the exponential moving average of the throughput.
constexpr double rate_smoothing = 0.1;

duration seconds_to_duration(double seconds) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds});
}

} // namespace

fair_queue::fair_queue(queue_settings settings) : settings_(settings), tokens_per_s_(settings.initial_rate) {}

void fair_queue::set_weight(const std::string& organisation, double weight) {
    weights_[organisation] = weight;
}

double fair_queue::weight_of(const std::string& organisation) const {
    const auto found = weights_.find(organisation);
    return found == weights_.end() ? 1.0 : found->second;
}

double fair_queue::runnable_tokens(const flow& from, const runnable_predicate& runnable) {
    double tokens = 0.0;
    for (const queued_request& request : from.waiting) {
        tokens += runnable(request) ? request.tokens : 0.0;
    }
    return tokens;
}

double fair_queue::runnable_tokens(const service_class& from, const runnable_predicate& runnable) {
    double tokens = 0.0;
    for (const auto& [organisation, each] : from.flows) {
        tokens += runnable_tokens(each, runnable);
    }
    return tokens;
}

double fair_queue::mean_weight() const {
    double sum = 0.0;
    for (const auto& [organisation, weight] : weights_) {
        sum += weight;
    }
    return weights_.empty() ? 1.0 : sum / static_cast<double>(weights_.size());
}

duration fair_queue::estimated_wait(bool priority, const runnable_predicate& runnable) const {
    const double normal = priority ? 0.0 : runnable_tokens(normal_, runnable);
    return seconds_to_duration((runnable_tokens(priority_, runnable) + normal) / tokens_per_s_);
}

/// With fair queueing a request waits for the tokens ahead of it in its own organisation, and for each other
/// organisation's tokens up to the same virtual finish time, in proportion to the weights, but never for more
/// tokens than are queued.
duration fair_queue::wait_of(const queued_request& request, const runnable_predicate& runnable) const {
    const service_class& same = request.priority ? priority_ : normal_;
    const double weight = weight_of(request.organisation);
    const auto own = same.flows.find(request.organisation);
    const double own_tokens = own == same.flows.end() ? 0.0 : runnable_tokens(own->second, runnable);
    const double virtual_finish = (own_tokens + request.tokens) / weight;
    double ahead = own_tokens;
    for (const auto& [organisation, other] : same.flows) {
        if (organisation != request.organisation) {
            ahead += std::min(runnable_tokens(other, runnable), virtual_finish * weight_of(organisation));
        }
    }
    if (!request.priority) {
        ahead += runnable_tokens(priority_, runnable);
    }
    return seconds_to_duration(ahead / tokens_per_s_);
}

std::uint32_t fair_queue::load_weight(const ports::adapter_version& adapter) const {
    const double mean = mean_weight();
    double weight = 0.0;
    for (const service_class* queue_class : {&priority_, &normal_}) {
        for (const auto& [organisation, each] : queue_class->flows) {
            const auto waiting = std::ranges::count(each.waiting, adapter, &queued_request::adapter);
            if (waiting > 0) {
                const double share = static_cast<double>(waiting) / static_cast<double>(each.waiting.size());
                weight += share * weight_of(organisation) / mean;
            }
        }
    }
    return static_cast<std::uint32_t>(std::ceil(weight * load_weight_scale));
}

std::size_t fair_queue::count_if(const runnable_predicate& matches) const {
    std::size_t count = 0;
    for (const service_class* queue_class : {&priority_, &normal_}) {
        for (const auto& [organisation, each] : queue_class->flows) {
            count += static_cast<std::size_t>(std::ranges::count_if(each.waiting, matches));
        }
    }
    return count;
}

bool fair_queue::has_room(const queued_request& request) const {
    return size_ < settings_.max_length + (request.priority ? settings_.priority_extra : 0);
}

std::optional<queued_request> fair_queue::displace_for(const queued_request& request) {
    if (request.priority) {
        return std::nullopt;
    }
    const auto by_length = [](const auto& left, const auto& right) {
        return left.second.waiting.size() < right.second.waiting.size();
    };
    const auto longest = std::ranges::max_element(normal_.flows, by_length);
    if (longest == normal_.flows.end()) {
        return std::nullopt;
    }
    const auto own = normal_.flows.find(request.organisation);
    const std::size_t own_length = own == normal_.flows.end() ? 0 : own->second.waiting.size();
    if (own_length + 1 >= longest->second.waiting.size()) {
        return std::nullopt;
    }
    flow& shortened = longest->second;
    queued_request displaced = std::move(shortened.waiting.back());
    shortened.waiting.pop_back();
    --size_;
    return displaced;
}

void fair_queue::insert(queued_request request) {
    service_class& queue_class = class_of(request.priority);
    flow& target = queue_class.flows[request.organisation];
    if (target.waiting.empty()) {
        target.start_tag = std::max(target.start_tag, queue_class.virtual_time);
        target.overtakes = 0;
    }
    ++size_;
    target.waiting.push_back(std::move(request));
}

push_result fair_queue::push(queued_request request, duration load_delay, const runnable_predicate& runnable,
                             time_point now) {
    const duration left = request.deadline - now;
    const duration usable =
        seconds_to_duration(std::chrono::duration<double>{left}.count() * settings_.deadline_fraction);
    if (left <= duration::zero() || wait_of(request, runnable) + load_delay > usable) {
        return {wire::refusal::deadline, std::nullopt};
    }
    push_result result;
    if (!has_room(request)) {
        result.displaced = displace_for(request);
        if (!result.displaced) {
            return {wire::refusal::queue_full, std::nullopt};
        }
    }
    insert(std::move(request));
    return result;
}

std::optional<queued_request> fair_queue::pop(const runnable_predicate& runnable) {
    std::optional<queued_request> chosen = pop_from(priority_, runnable);
    return chosen ? chosen : pop_from(normal_, runnable);
}

std::optional<queued_request> fair_queue::pop_from(service_class& from, const runnable_predicate& runnable) {
    flow* best = nullptr;
    position oldest;
    for (auto& [organisation, each] : from.flows) {
        if (best != nullptr && each.start_tag >= best->start_tag) {
            continue;
        }
        const position first = std::ranges::find_if(each.waiting, runnable);
        if (first != each.waiting.end()) {
            best = &each;
            oldest = first;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    const position chosen = choose(*best, runnable, oldest);
    return take(from, *best, chosen, chosen == oldest);
}

fair_queue::position fair_queue::choose(flow& from, const runnable_predicate& runnable,
                                        position oldest) const {
    if (oldest->adapter == last_adapter_ || from.overtakes >= settings_.max_overtakes) {
        return oldest;
    }
    const position same = std::find_if(oldest, from.waiting.end(), [&](const queued_request& request) {
        return request.adapter == last_adapter_ && runnable(request);
    });
    return same == from.waiting.end() ? oldest : same;
}

queued_request fair_queue::take(service_class& from, flow& chosen_flow, position chosen, bool is_oldest) {
    queued_request taken = std::move(*chosen);
    chosen_flow.waiting.erase(chosen);
    chosen_flow.overtakes = is_oldest ? 0 : chosen_flow.overtakes + 1;
    from.virtual_time = std::max(from.virtual_time, chosen_flow.start_tag);
    chosen_flow.start_tag += static_cast<double>(taken.tokens) / weight_of(taken.organisation);
    last_adapter_ = taken.adapter;
    --size_;
    return taken;
}

void fair_queue::settle(const std::string& organisation, bool priority, std::uint32_t estimated,
                        std::uint32_t actual) {
    service_class& queue_class = class_of(priority);
    const auto found = queue_class.flows.find(organisation);
    if (found != queue_class.flows.end()) {
        const double difference = static_cast<double>(actual) - static_cast<double>(estimated);
        found->second.start_tag += difference / weight_of(organisation);
    }
}

void fair_queue::record_service(std::uint32_t tokens, duration busy) {
    const std::chrono::duration<double> seconds = busy;
    if (seconds.count() > 0.0 && tokens > 0) {
        tokens_per_s_ += rate_smoothing * (tokens / seconds.count() - tokens_per_s_);
    }
}

void fair_queue::remove_matching(service_class& from, const runnable_predicate& matches,
                                 std::vector<queued_request>& removed) {
    for (auto& [organisation, each] : from.flows) {
        for (auto at = each.waiting.begin(); at != each.waiting.end();) {
            if (!matches(*at)) {
                ++at;
                continue;
            }
            --size_;
            removed.push_back(std::move(*at));
            at = each.waiting.erase(at);
        }
    }
}

std::vector<queued_request> fair_queue::remove_if(const runnable_predicate& matches) {
    std::vector<queued_request> removed;
    remove_matching(priority_, matches, removed);
    remove_matching(normal_, matches, removed);
    return removed;
}

std::vector<queued_request> fair_queue::expire(time_point now) {
    const auto earliest = next_deadline();
    if (!earliest || *earliest > now) {
        return {};
    }
    return remove_if([now](const queued_request& request) { return request.deadline <= now; });
}

std::optional<time_point> fair_queue::next_deadline() const {
    std::optional<time_point> earliest;
    for (const service_class* queue_class : {&priority_, &normal_}) {
        for (const auto& [organisation, each] : queue_class->flows) {
            for (const queued_request& request : each.waiting) {
                earliest = earliest ? std::min(*earliest, request.deadline) : request.deadline;
            }
        }
    }
    return earliest;
}

} // namespace samphiretray::agent
