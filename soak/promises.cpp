#include "soak/promises.h"

#include <algorithm>
#include <ranges>

namespace samphiretray::soak {

namespace {

/// The operators' tolerance for rates: the window, a part of the limit and tokens.
constexpr duration rate_window = 8s;
constexpr double rate_tolerance = 0.1;
constexpr double token_tolerance = 72'000;

} // namespace

void promises::violate(const std::string& what, time_point now) {
    violations_.push_back(std::to_string(milliseconds_in(now - start_)) + " ms: " + what);
}

void promises::attempt_sent(const std::string& name, request_kind kind, const std::string& organisation,
                            time_point now) {
    attempts_[name] = {kind, organisation, now, 0, 0, false};
}

void promises::attempt_runs_at(const std::string& server, const std::string& name,
                               const std::string& organisation, bool key_seen, double tokens,
                               time_point now) {
    const auto found = attempts_.find(name);
    if (found == attempts_.end()) {
        violate(server + " runs " + name + ", which no caller sent", now);
        return;
    }
    attempt& of = found->second;
    ++of.runs;
    if (of.kind != request_kind::safe && of.runs > 1) {
        violate(name + " runs twice", now);
    }
    if (of.status == 503 || of.status == 429) {
        violate(name + " runs after it was refused as not run", now);
    }
    if (organisation != of.organisation) {
        violate(name + " runs for \"" + organisation + "\" instead of " + of.organisation, now);
    }
    if (key_seen) {
        violate(server + " sees the key of " + name, now);
    }
    const auto limited = spending_.find(of.organisation);
    if (limited == spending_.end()) {
        return;
    }
    spending& spent = limited->second;
    spent.window.emplace_back(now, tokens);
    spent.in_window += tokens;
    while (now - spent.window.front().first > rate_window) {
        spent.in_window -= spent.window.front().second;
        spent.window.pop_front();
    }
    const double seconds = std::chrono::duration<double>(rate_window).count();
    const double allowed = (spent.rate * seconds + spent.burst) * (1 + rate_tolerance) + token_tolerance;
    if (spent.in_window > allowed) {
        violate(of.organisation + " has spent " + std::to_string(spent.in_window) + " tokens in 8 s", now);
    }
}

void promises::attempt_answered(const std::string& name, int status, bool whole, time_point now) {
    attempt& of = attempts_.at(name);
    of.status = status;
    of.whole = whole;
    const bool refused = status == 503 || status == 429;
    if (refused && of.runs > 0 && of.kind != request_kind::safe) {
        violate(name + " has run and is refused as not run", now);
    }
    if (status == 200 && !whole) {
        violate(name + " gets an answer that is not its own and whole", now);
    }
    if (status == 200 && of.runs == 0) {
        violate(name + " gets an answer although no server ran it", now);
    }
}

void promises::attempt_lost(const std::string& name) {
    attempts_.at(name).status = -1;
}

void promises::engine_ordered(const std::string& engine, const std::string& owner,
                              std::uint64_t fencing_number, std::uint64_t newest_fencing_number) {
    const auto [first, added] = owners_.emplace(engine, owner);
    if (!added && first->second != owner) {
        violate(engine + " is ordered by " + owner + " and by " + first->second, start_);
    }
    if (fencing_number == 0 || newest_fencing_number > fencing_number + (std::uint64_t{1} << 40U)) {
        violate(engine + " is ordered without a fencing number", start_);
    }
}

void promises::engine_overloaded(const std::string& engine) {
    violate(engine + " was ordered to hold more adapters than it has places", start_);
}

void promises::configuration_seen(const std::string& process, const std::string& incarnation,
                                  std::uint64_t version) {
    std::uint64_t& newest = configurations_[process + "/" + incarnation];
    if (version < newest) {
        violate(process + " went back from configuration " + std::to_string(newest) + " to " +
                    std::to_string(version),
                start_);
    }
    newest = std::max(newest, version);
}

void promises::process_ended(const std::string& process) {
    violate(process + " ended by itself", start_);
}

void promises::limit(const std::string& organisation, double rate, double burst) {
    spending& of = spending_[organisation];
    of.rate = rate;
    of.burst = burst;
}

double promises::answered_part(const std::string& organisation, time_point since) const {
    const auto is_counted = [&](const attempt& each) {
        return each.organisation == organisation && each.sent_at >= since;
    };
    const auto is_answered = [&](const attempt& each) {
        return is_counted(each) && each.status == 200 && each.whole;
    };
    const auto all = attempts_ | std::views::values;
    const auto sent = std::ranges::count_if(all, is_counted);
    return sent == 0
               ? 0.0
               : static_cast<double>(std::ranges::count_if(all, is_answered)) / static_cast<double>(sent);
}

} // namespace samphiretray::soak
