#include "samphiretray/agent/attempt_table.h"

namespace samphiretray::agent {

attempt_table::attempt_table(attempt_settings settings) : settings_(settings) {}

bool attempt_table::open(const attempt_id& id, time_point now) {
    expire(now);
    const bool added = states_.try_emplace(id, attempt_state::queued).second;
    counts_.duplicates += added ? 0 : 1;
    return added;
}

bool attempt_table::start(const attempt_id& id) {
    const auto found = states_.find(id);
    if (found == states_.end() || found->second != attempt_state::queued) {
        ++counts_.refused_starts;
        return false;
    }
    found->second = attempt_state::running;
    return true;
}

bool attempt_table::refuse(const attempt_id& id, time_point now) {
    const auto [found, added] = states_.try_emplace(id, attempt_state::queued);
    if (found->second == attempt_state::queued) {
        end(id, attempt_state::refused, now);
    }
    return found->second == attempt_state::refused;
}

bool attempt_table::finish(const attempt_id& id, time_point now) {
    if (state(id) != attempt_state::running) {
        return false;
    }
    end(id, attempt_state::finished, now);
    return true;
}

bool attempt_table::accept_answer(const attempt_id& id) {
    const bool running = state(id) == attempt_state::running;
    counts_.late_answers += running ? 0 : 1;
    return running;
}

std::optional<attempt_state> attempt_table::state(const attempt_id& id) const {
    const auto found = states_.find(id);
    return found == states_.end() ? std::nullopt : std::optional{found->second};
}

void attempt_table::end(const attempt_id& id, attempt_state state, time_point now) {
    states_[id] = state;
    ended_.emplace_back(now, id);
}

void attempt_table::expire(time_point now) {
    while (!ended_.empty() && now - ended_.front().first > settings_.retention) {
        states_.erase(ended_.front().second);
        ended_.pop_front();
    }
}

} // namespace samphiretray::agent
