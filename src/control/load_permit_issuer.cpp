#include "samphiretray/control/load_permit_issuer.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace samphiretray::control {

namespace {

// Reserved for priority customers, both of the loads in flight and in the bucket.
constexpr std::uint32_t priority_reserve = 1;

auto target_of(const wire::permit_request& message) {
    return std::tie(message.endpoint, message.adapter, message.version);
}

} // namespace

load_permit_issuer::load_permit_issuer(load_permit_issuer_options options, time_point act_from)
    : options_(options), act_from_(act_from),
      bucket_({.rate = options.loads_per_second, .burst = options.burst}, 0, act_from) {}

void load_permit_issuer::request(std::string_view holder, const wire::permit_request& message,
                                 time_point now) {
    const auto same = [&](const load_request& each) { return target_of(each.message) == target_of(message); };
    const auto granted = std::ranges::find_if(permits_, same, &permit::granted);
    if (granted != permits_.end() && granted->granted.holder == holder) {
        if (granted->granted.message.round == message.round) {
            reply(granted->granted, true, true);
            return;
        }
        // A new round of the same holder means that its earlier load has ended.
        permits_.erase(granted);
    }
    const auto waiting = std::ranges::find_if(waiting_, same);
    if (waiting != waiting_.end()) {
        waiting->holder = holder;
        waiting->message = message;
        waiting->last_seen = now;
        return;
    }
    const load_request added{
        .holder = std::string{holder}, .message = message, .waiting_since = now, .last_seen = now};
    if (waiting_.size() >= options_.max_waiting) {
        reply(added, false, true);
        return;
    }
    waiting_.push_back(added);
}

void load_permit_issuer::cancel(std::string_view holder, std::uint64_t round) {
    std::erase_if(waiting_, [&](const load_request& each) {
        return each.holder == holder && each.message.round == round;
    });
}

void load_permit_issuer::done(std::string_view holder, std::uint64_t round) {
    std::erase_if(permits_, [&](const permit& each) {
        return each.granted.holder == holder && each.granted.message.round == round;
    });
}

void load_permit_issuer::on_holder_disconnected(std::string_view holder) {
    std::erase_if(waiting_, [&](const load_request& each) { return each.holder == holder; });
}

void load_permit_issuer::expire(time_point now) {
    bucket_.refill(now);
    std::erase_if(permits_, [now](const permit& each) { return each.expires <= now; });
    std::erase_if(waiting_,
                  [&](const load_request& each) { return each.last_seen + options_.request_timeout <= now; });
}

bool load_permit_issuer::may_start(bool priority) const {
    const std::uint32_t reserve =
        priority || options_.max_in_flight <= priority_reserve ? 0 : priority_reserve;
    return permits_.size() + reserve < options_.max_in_flight && bucket_.level() >= tokens_needed(priority);
}

double load_permit_issuer::tokens_needed(bool priority) const {
    const double reserve = priority || options_.burst < 1.0 + priority_reserve ? 0 : priority_reserve;
    return 1 + reserve;
}

double load_permit_issuer::rank(const load_request& ranked, time_point now) const {
    const double age = std::chrono::duration<double>(now - ranked.waiting_since).count();
    return std::min(ranked.message.waiting, options_.max_counted_waiting) + age * options_.rank_per_second;
}

std::vector<load_permit_issuer::load_request>::iterator load_permit_issuer::highest_ranked(time_point now) {
    return std::ranges::max_element(waiting_, {}, [&](const load_request& each) {
        return std::pair{each.message.priority, rank(each, now)};
    });
}

std::vector<permit_answer> load_permit_issuer::take_answers(bool may_act, time_point now) {
    if (!may_act) {
        refuse_all();
    } else if (now >= act_from_) {
        expire(now);
        grant_waiting(now);
    }
    return std::exchange(answers_, {});
}

void load_permit_issuer::refuse_all() {
    for (const load_request& each : std::exchange(waiting_, {})) {
        reply(each, false, false);
    }
}

void load_permit_issuer::grant_waiting(time_point now) {
    while (!waiting_.empty()) {
        const auto chosen = highest_ranked(now);
        if (!may_start(chosen->message.priority) || !bucket_.try_take(1)) {
            return;
        }
        permits_.push_back({.granted = *chosen, .expires = now + options_.validity});
        waiting_.erase(chosen);
        reply(permits_.back().granted, true, true);
    }
}

void load_permit_issuer::reply(const load_request& answered, bool granted, bool issuer) {
    wire::permit_reply answer;
    answer.round = answered.message.round;
    answer.granted = granted;
    answer.issuer = issuer;
    answer.valid_ms = granted ? static_cast<std::uint32_t>(milliseconds_in(options_.start_within)) : 0;
    answers_.push_back({.holder = answered.holder, .reply = answer});
}

std::optional<time_point> load_permit_issuer::wake_at(time_point now) const {
    if (waiting_.empty()) {
        return std::nullopt;
    }
    const bool priority =
        std::ranges::any_of(waiting_, [](const load_request& each) { return each.message.priority; });
    const auto refilled = bucket_.time_until(tokens_needed(priority));
    time_point wake = now + refilled.value_or(options_.validity);
    if (refilled == duration::zero() && !permits_.empty()) {
        wake = std::ranges::min(permits_, {}, &permit::expires).expires;
    }
    return std::max(wake, act_from_);
}

} // namespace samphiretray::control
