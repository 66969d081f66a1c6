#include "standins/load_schedule.h"

#include "samphiretray/base/hash.h"

#include <algorithm>
#include <utility>

namespace samphiretray::standins {

namespace {

/// Ranks by which the popularity moves at each shift. A prime, so it shares no factor with usual adapter
/// counts.
constexpr std::size_t ranks_per_shift = 37;

void shuffle(std::vector<std::size_t>& items, random_source& random) {
    for (std::size_t left = items.size(); left > 1; --left) {
        std::swap(items[left - 1], items[random.below(left)]);
    }
}

std::string make_prompt(const planned_request& request, const traffic_source& source) {
    std::string prompt;
    const std::uint32_t shared = std::min(source.shared_words, source.prompt_words);
    for (std::uint32_t word = 0; word < shared; ++word) {
        prompt += "sheet" + std::to_string(hash64(request.adapter, word) % 1000) + " ";
    }
    prompt += "job" + std::to_string(request.number);
    for (std::uint32_t word = shared + 1; word < source.prompt_words; ++word) {
        prompt += " note" + std::to_string(hash64(std::to_string(request.number), word) % 1000);
    }
    return prompt;
}

std::size_t adapters_used(const traffic_source& source, std::size_t owned) {
    const std::size_t used = source.adapters == 0 ? owned : std::min(source.adapters, owned);
    return std::max<std::size_t>(1, used);
}

} // namespace

std::string planned_request::model() const {
    return version.empty() ? adapter : adapter + "@" + version;
}

load_schedule::load_schedule(const load_plan& plan) : plan_(&plan) {
    for (std::size_t source = 0; source < plan.sources.size(); ++source) {
        states_.push_back(make_state(source));
        states_.back().next_at = plan.sources[source].begin;
        advance(source);
    }
}

std::optional<planned_request> load_schedule::next() {
    const auto first = std::ranges::min_element(states_, {}, &source_state::next_at);
    if (first == states_.end()) {
        return std::nullopt;
    }
    const auto source = static_cast<std::size_t>(first - states_.begin());
    const bool is_count_reached = plan_->count > 0 && planned_ >= plan_->count;
    if (is_count_reached || is_past_end(source)) {
        return std::nullopt;
    }
    planned_request request;
    request.number = ++planned_;
    request.at = first->next_at;
    request.source = source;
    if (plan_->sources[source].kind == source_kind::completions) {
        fill_completion(request, *first);
    } else {
        request.order = "order-" + std::to_string(plan_->seed) + "-" + std::to_string(request.number);
    }
    advance(source);
    return request;
}

load_schedule::source_state load_schedule::make_state(std::size_t source) const {
    const std::string& organisation = plan_->sources[source].organisation;
    random_source random{hash64(organisation, plan_->seed * 1000 + source)};
    std::vector<std::size_t> own;
    std::vector<std::size_t> foreign;
    for (std::size_t index = 0; index < plan_->adapters.size(); ++index) {
        const plan_adapter& row = plan_->adapters[index];
        if (row.organisation != organisation) {
            foreign.push_back(index);
        } else if (row.current) {
            own.push_back(index);
        }
    }
    shuffle(own, random);
    const zipf_distribution popularity{adapters_used(plan_->sources[source], own.size()),
                                       plan_->sources[source].zipf};
    return {random, std::move(own), std::move(foreign), popularity};
}

void load_schedule::advance(std::size_t source) {
    source_state& state = states_[source];
    const double seconds = state.random.exponential(1.0 / plan_->sources[source].rate);
    state.next_at += duration{static_cast<std::int64_t>(seconds * 1e6)};
    if (is_past_end(source)) {
        state.next_at = duration::max();
    }
}

bool load_schedule::is_past_end(std::size_t source) const {
    const duration at = states_[source].next_at;
    return at >= plan_->length || at >= plan_->sources[source].end.value_or(plan_->length);
}

void load_schedule::fill_completion(planned_request& request, source_state& state) {
    const traffic_source& source = plan_->sources[request.source];
    const plan_adapter& adapter = pick_adapter(request, state);
    request.adapter = adapter.adapter;
    request.version = state.random.chance(source.pinned) ? adapter.version : "";
    request.max_tokens = source.max_tokens;
    request.stream = state.random.chance(source.stream);
    request.chat = state.random.chance(source.chat);
    request.prompt = make_prompt(request, source);
}

const plan_adapter& load_schedule::pick_adapter(planned_request& request, source_state& state) {
    const traffic_source& source = plan_->sources[request.source];
    request.foreign = !state.foreign_adapters.empty() && state.random.chance(source.foreign);
    if (request.foreign) {
        return plan_->adapters[state.foreign_adapters[state.random.below(state.foreign_adapters.size())]];
    }
    const auto shifts =
        source.shift_every > 0s ? static_cast<std::size_t>(request.at / source.shift_every) : 0;
    const std::size_t rank = state.popularity.draw(state.random) + shifts * ranks_per_shift;
    return plan_->adapters[state.own_adapters[rank % state.own_adapters.size()]];
}

} // namespace samphiretray::standins
