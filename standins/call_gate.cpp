#include "standins/call_gate.h"

#include <algorithm>

namespace samphiretray::standins {

namespace {

bool is_write(call_kind kind) {
    return kind == call_kind::write || kind == call_kind::erase;
}

down_mode read_down_mode(const nlohmann::json& change, down_mode present) {
    const std::string name = change.value("down", std::string{name_of(present)});
    const auto mode = parse_name<down_mode>(name);
    if (!mode) {
        throw nlohmann::json::other_error::create(501, "down must be up, refusing or silent", nullptr);
    }
    return *mode;
}

} // namespace

admission_result call_gate::reachability(std::string_view listener) const {
    if (is_cut(listener) || faults_.down == down_mode::silent) {
        return admission_result::silent;
    }
    return faults_.down == down_mode::refusing ? admission_result::unavailable : admission_result::pass;
}

admission_result call_gate::admit(call_kind kind, std::string_view listener, std::size_t pending_watches,
                                  time_point now) {
    ++counters_[std::string{name_of(kind)}];
    if (const admission_result reached = reachability(listener); reached != admission_result::pass) {
        ++counters_[reached == admission_result::silent ? "silent" : "unavailable"];
        return reached;
    }
    const bool admitted =
        is_write(kind) ? writes_.admit(now) : reads_.admit(now, static_cast<double>(pending_watches));
    if (!admitted) {
        ++counters_["rate_limited"];
        return admission_result::rate_limited;
    }
    return admission_result::pass;
}

bool call_gate::loses_answer() {
    const bool counted = faults_.lose_next_writes > 0;
    if (!counted && !random_.chance(faults_.lose_probability)) {
        return false;
    }
    faults_.lose_next_writes -= counted ? 1 : 0;
    ++counters_["lost_answers"];
    return true;
}

void call_gate::change_faults(const nlohmann::json& change) {
    call_faults changed = faults_;
    changed.down = read_down_mode(change, faults_.down);
    changed.delay = std::chrono::milliseconds{change.value("delay_ms", milliseconds_in(faults_.delay))};
    changed.lose_next_writes = change.value("lose_next_writes", faults_.lose_next_writes);
    changed.lose_probability = change.value("lose_probability", faults_.lose_probability);
    changed.cut_listeners = change.value("cut_listeners", faults_.cut_listeners);
    faults_ = std::move(changed);
}

nlohmann::json call_gate::counters() const {
    return counters_;
}

bool call_gate::is_cut(std::string_view listener) const {
    return std::ranges::find(faults_.cut_listeners, listener) != faults_.cut_listeners.end();
}

} // namespace samphiretray::standins
