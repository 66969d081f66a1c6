#include "soak/invariant_checker.h"

#include <algorithm>
#include <ranges>

namespace samphiretray::soak {

namespace {

/// Rate limits may be exceeded, within one window, by a fraction of the limit and a number of tokens: the
/// tolerance that operators accept.
constexpr duration rate_window = 8s;
constexpr double rate_tolerance = 0.1;
constexpr double token_tolerance = 72'000;

} // namespace

bool promises_not_run(int status) noexcept {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

void invariant_checker::add_violation(const std::string& what, time_point now) {
    violations_.push_back(std::to_string(milliseconds_in(now - start_)) + " ms: " + what);
}

void invariant_checker::on_attempt_sent(const std::string& name, request_kind kind,
                                        const std::string& organisation, bool crashes_engines,
                                        time_point now) {
    attempts_[name] = {kind, organisation, crashes_engines, now, 0, 0, false};
}

void invariant_checker::on_attempt_repeated(const std::string& refused, const std::string& name,
                                            time_point now) {
    const attempt& before = attempts_.at(refused);
    attempts_[name] = {before.kind, before.organisation, before.crashes_engines, now, 0, 0, false, refused};
}

std::map<std::string, std::size_t> invariant_checker::request_crashes(time_point since) const {
    std::map<std::string, std::size_t> counts;
    for (const auto& [path, times] : request_crashes_) {
        counts[path] = static_cast<std::size_t>(
            std::ranges::count_if(times, [since](time_point each) { return each >= since; }));
    }
    return counts;
}

std::size_t invariant_checker::prompt_crashes(time_point since) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(prompt_crashes_, [since](time_point each) { return each >= since; }));
}

void invariant_checker::on_attempt_run(const std::string& server, const std::string& name,
                                       const std::string& organisation, bool credential_received,
                                       double tokens, time_point now) {
    const auto known = attempts_.find(name);
    if (known == attempts_.end()) {
        add_violation(server + " runs " + name + ", which no caller sent", now);
        return;
    }
    attempt& record = known->second;
    ++record.runs;
    if (record.kind != request_kind::safe && record.runs > 1) {
        add_violation(name + " runs twice", now);
    }
    if (!record.first.empty() && attempts_.at(record.first).runs > 0) {
        add_violation(name + " runs twice, since it was refused as not run and had run", now);
    }
    if (promises_not_run(record.status)) {
        add_violation(name + " runs after it was refused with " + std::to_string(record.status), now);
    }
    if (organisation != record.organisation) {
        add_violation(name + " runs for \"" + organisation + "\" instead of " + record.organisation, now);
    }
    if (credential_received) {
        add_violation(server + " sees the key of " + name, now);
    }
    const auto found_limit = token_usage_.find(record.organisation);
    if (found_limit == token_usage_.end()) {
        return;
    }
    token_usage& usage = found_limit->second;
    usage.window.emplace_back(now, tokens);
    usage.window_tokens += tokens;
    while (now - usage.window.front().first > rate_window) {
        usage.window_tokens -= usage.window.front().second;
        usage.window.pop_front();
    }
    const double seconds = std::chrono::duration<double>(rate_window).count();
    const double allowed = (usage.rate * seconds + usage.burst) * (1 + rate_tolerance) + token_tolerance;
    if (usage.window_tokens > allowed) {
        add_violation(record.organisation + " has spent " + std::to_string(usage.window_tokens) +
                          " tokens in 8 s",
                      now);
    }
}

void invariant_checker::on_attempt_answered(const std::string& name, int status, bool complete,
                                            time_point now) {
    attempt& record = attempts_.at(name);
    record.status = status;
    record.complete = complete;
    if (promises_not_run(status) && record.runs > 0 && record.kind != request_kind::safe) {
        add_violation(name + " has run and is refused with " + std::to_string(status), now);
    }
    if (status == 200 && !complete) {
        add_violation(name + " gets an answer that is not its own and whole", now);
    }
    if (status == 200 && record.runs == 0) {
        add_violation(name + " gets an answer although no server ran it", now);
    }
}

void invariant_checker::on_attempt_failed(const std::string& name) {
    attempts_.at(name).status = -1;
}

void invariant_checker::on_engine_order(const std::string& engine, const std::string& owner,
                                        std::uint64_t fencing_number, std::uint64_t newest_fencing_number) {
    const auto [first, added] = owners_.emplace(engine, owner);
    if (!added && first->second != owner) {
        add_violation(engine + " is ordered by " + owner + " and by " + first->second, start_);
    }
    // Numbers are revisions times 2^16; each era of the store adds 2^48.
    constexpr std::uint64_t least_number = std::uint64_t{1} << 16U;
    constexpr std::uint64_t many_eras = std::uint64_t{1} << 56U;
    if (fencing_number < least_number || newest_fencing_number > fencing_number + many_eras) {
        add_violation(engine + " is ordered without a fencing number", start_);
    }
}

void invariant_checker::on_engine_overloaded(const std::string& engine) {
    add_violation(engine + " was ordered to hold more adapters than it has places", start_);
}

void invariant_checker::on_configuration_reported(const std::string& process, const std::string& incarnation,
                                                  std::uint64_t version) {
    std::uint64_t& newest = newest_configurations_[process + "/" + incarnation];
    if (version < newest) {
        add_violation(process + " went back from configuration " + std::to_string(newest) + " to " +
                          std::to_string(version),
                      start_);
    }
    newest = std::max(newest, version);
}

void invariant_checker::on_process_exited(const std::string& process) {
    add_violation(process + " ended by itself", start_);
}

void invariant_checker::set_rate_limit(const std::string& organisation, double rate, double burst) {
    token_usage& usage = token_usage_[organisation];
    usage.rate = rate;
    usage.burst = burst;
}

double invariant_checker::answered_fraction(const std::string& organisation, time_point since) const {
    const auto is_in_range = [&](const attempt& each) {
        return each.organisation == organisation && !each.crashes_engines && each.sent_at >= since;
    };
    const auto is_answered = [&](const attempt& each) {
        return is_in_range(each) && each.status == 200 && each.complete;
    };
    const auto all = attempts_ | std::views::values;
    const auto sent_count = std::ranges::count_if(all, is_in_range);
    return sent_count == 0 ? 0.0
                           : static_cast<double>(std::ranges::count_if(all, is_answered)) /
                                 static_cast<double>(sent_count);
}

} // namespace samphiretray::soak
