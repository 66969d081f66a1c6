#include "standins/batch_scheduler.h"

#include <algorithm>
#include <utility>

namespace samphiretray::standins {

batch_scheduler::batch_scheduler(const batch_options& options)
    : options_(options), prefixes_(options.prefix_blocks) {}

std::uint64_t batch_scheduler::submit(batch_request request, time_point now) {
    const std::uint64_t id = ++last_request_;
    answer_generator answer{request.model, request.prompt};
    waiting_.emplace(id, entry{std::move(request), std::move(answer)});
    if (!step_end_ && !paused_) {
        begin_step(now);
    }
    return id;
}

void batch_scheduler::cancel(std::uint64_t request) {
    counters_.cancelled += running_.erase(request) + waiting_.erase(request);
}

void batch_scheduler::abort_model(const std::string& model) {
    abort_if([&model](const entry& item) { return item.request.model == model; });
}

void batch_scheduler::abort_all() {
    abort_if([](const entry&) { return true; });
    prefixes_.clear();
}

std::vector<batch_event> batch_scheduler::advance(time_point now) {
    while (!paused_ && step_end_ && *step_end_ <= now) {
        end_step();
        begin_step(*step_end_);
    }
    return std::exchange(events_, {});
}

std::optional<time_point> batch_scheduler::next_event() const {
    if (!events_.empty()) {
        return time_point{};
    }
    return paused_ ? std::nullopt : step_end_;
}

void batch_scheduler::pause() {
    paused_ = true;
    step_end_.reset();
}

void batch_scheduler::resume(time_point now) {
    paused_ = false;
    begin_step(now);
}

std::size_t batch_scheduler::requests_for(const std::string& model) const {
    const auto matches = [&model](const auto& item) { return item.second.request.model == model; };
    return static_cast<std::size_t>(std::ranges::count_if(running_, matches) +
                                    std::ranges::count_if(waiting_, matches));
}

void batch_scheduler::begin_step(time_point start) {
    const std::uint32_t prefill = admit();
    if (running_.empty()) {
        step_end_.reset();
        return;
    }
    step_end_ = start + options_.step_base + options_.step_per_request * running_.size() +
                options_.prefill_per_token * prefill;
}

void batch_scheduler::end_step() {
    ++counters_.steps;
    for (auto& [id, item] : running_) {
        produce(id, item);
    }
    std::erase_if(running_, [](const auto& item) {
        const entry& done = item.second;
        return done.produced >= std::min(done.request.max_tokens, done.answer.length());
    });
}

std::uint32_t batch_scheduler::admit() {
    std::uint32_t prefill = 0;
    while (running_.size() < options_.batch && !waiting_.empty()) {
        auto node = waiting_.extract(next_waiting());
        const batch_request& request = node.mapped().request;
        const std::uint32_t tokens = count_tokens(request.prompt);
        const std::uint32_t cached = prefixes_.lookup_and_insert(request.model, request.prompt);
        counters_.prompt_tokens += tokens;
        counters_.cached_prompt_tokens += cached;
        prefill += tokens - std::min(tokens, cached);
        running_.insert(std::move(node));
    }
    return prefill;
}

batch_scheduler::entries::iterator batch_scheduler::next_waiting() {
    return std::ranges::max_element(waiting_, {},
                                    [](const auto& item) { return item.second.request.priority; });
}

void batch_scheduler::produce(std::uint64_t id, entry& item) {
    const std::uint32_t last = std::min(item.request.max_tokens, item.answer.length());
    events_.push_back({batch_event::kind::token, id, item.answer.token(item.produced)});
    ++item.produced;
    ++counters_.tokens;
    if (item.produced < last) {
        return;
    }
    ++counters_.finished;
    events_.push_back({batch_event::kind::finished, id, "", count_tokens(item.request.prompt), item.produced,
                       last < item.answer.length()});
}

template <typename Predicate>
void batch_scheduler::abort_if(Predicate matches) {
    const auto abort = [&](const auto& item) {
        if (!matches(item.second)) {
            return false;
        }
        events_.push_back({batch_event::kind::aborted, item.first});
        ++counters_.aborted;
        return true;
    };
    std::erase_if(running_, abort);
    std::erase_if(waiting_, abort);
}

} // namespace samphiretray::standins
