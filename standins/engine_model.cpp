#include "standins/engine_model.h"

#include <utility>

namespace samphiretray::standins {

engine_model::engine_model(const engine_options& options)
    : options_(options), slots_(options.slots, options.checks_fencing), batch_(options.batch),
      incarnation_(options.name + "-1") {}

std::optional<std::uint64_t> engine_model::submit(batch_request request, time_point now) {
    const bool is_base = request.model == options_.base_model;
    if (!is_base && !slots_.is_loaded(request.model)) {
        ++counters_["not_loaded"];
        return std::nullopt;
    }
    ++requests_by_adapter_[request.model];
    return batch_.submit(std::move(request), now);
}

begin_load_result engine_model::begin_load(const std::string& name, std::uint64_t fencing) {
    const begin_load_result result = slots_.begin_load(name, fencing);
    counters_["loads_started"] += result == begin_load_result::start ? 1 : 0;
    counters_["loads_without_slot"] += result == begin_load_result::no_slot ? 1 : 0;
    return result;
}

bool engine_model::finish_load(const std::string& name, bool succeeded, const std::string& incarnation) {
    if (incarnation != incarnation_) {
        ++counters_["loads_lost_in_restart"];
        return false;
    }
    if (succeeded && failing_loads_ > 0) {
        --failing_loads_;
        succeeded = false;
    }
    ++counters_[succeeded ? "loads" : "loads_failed"];
    slots_.finish_load(name, succeeded);
    return succeeded;
}

unload_result engine_model::unload(const std::string& name, std::uint64_t fencing) {
    const unload_result result = slots_.unload(name, fencing);
    if (result != unload_result::done) {
        return result;
    }
    ++counters_["unloads"];
    if (batch_.requests_for(name) > 0) {
        ++counters_["unloads_in_use"];
        batch_.abort_model(name);
    }
    return result;
}

std::vector<batch_event> engine_model::advance(time_point now) {
    std::vector<batch_event> events = batch_.advance(now);
    take_snapshot(now);
    return events;
}

void engine_model::restart() {
    slots_.clear();
    batch_.abort_all();
    incarnation_ = options_.name + "-" + std::to_string(++starts_);
}

nlohmann::json engine_model::state(time_point now) {
    take_snapshot(now);
    while (snapshots_.size() > 1 && snapshots_[1].taken + options_.state_lag <= now) {
        snapshots_.pop_front();
    }
    return snapshots_.front().state;
}

nlohmann::json engine_model::counters() const {
    const batch_counters& batch = batch_.counters();
    nlohmann::json all = counters_;
    all.update({{"steps", batch.steps},
                {"tokens", batch.tokens},
                {"finished", batch.finished},
                {"aborted", batch.aborted},
                {"cancelled", batch.cancelled},
                {"prompt_tokens", batch.prompt_tokens},
                {"cached_prompt_tokens", batch.cached_prompt_tokens},
                {"stale_commands", slots_.stale_commands()},
                {"running", batch_.running()},
                {"waiting", batch_.waiting()},
                {"requests_by_adapter", requests_by_adapter_}});
    return all;
}

nlohmann::json engine_model::present_state() const {
    return {{"incarnation", incarnation_}, {"base_model", options_.base_model},
            {"slots", slots_.slots()},     {"batch", options_.batch.batch},
            {"loaded", slots_.loaded()},   {"running", batch_.running() + batch_.waiting()}};
}

void engine_model::take_snapshot(time_point now) {
    nlohmann::json present = present_state();
    if (snapshots_.empty() || snapshots_.back().state != present) {
        snapshots_.push_back({now, std::move(present)});
    }
}

} // namespace samphiretray::standins
