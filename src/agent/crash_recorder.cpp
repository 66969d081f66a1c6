#include "samphiretray/agent/crash_recorder.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace samphiretray::agent {

void crash_recorder::on_interrupted(interrupted_work work) {
    const time_point now = work.interrupted_at;
    std::erase_if(interrupted_, [&](const interrupted_work& each) {
        return now - each.interrupted_at > settings_.confirmation_time;
    });
    if (interrupted_.size() < settings_.max_interrupted) {
        interrupted_.push_back(std::move(work));
    }
}

bool crash_recorder::is_suspect(const interrupted_work& work) const {
    return !work.answer_began_at || work.interrupted_at - *work.answer_began_at <= settings_.max_answer_age;
}

std::vector<interrupted_work> crash_recorder::take_suspects(time_point now) {
    std::vector<interrupted_work> suspects = std::exchange(interrupted_, {});
    std::erase_if(suspects, [&](const interrupted_work& each) {
        return now - each.interrupted_at > settings_.confirmation_time;
    });
    const auto others =
        std::ranges::stable_partition(suspects, [this](const auto& each) { return is_suspect(each); });
    // The engine went on after it had begun the older answers.
    std::set<std::string> harmless;
    for (const interrupted_work& each : others) {
        harmless.insert(each.parts.begin(), each.parts.end());
    }
    suspects.erase(others.begin(), others.end());
    for (interrupted_work& each : suspects) {
        std::erase_if(each.parts, [&](const std::string& part) { return harmless.contains(part); });
    }
    // An empty start sorts before all others, hence last.
    std::ranges::stable_sort(suspects, std::greater{}, &interrupted_work::answer_began_at);
    return suspects;
}

} // namespace samphiretray::agent
