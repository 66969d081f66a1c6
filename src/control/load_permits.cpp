#include "samphiretray/control/load_permits.h"

#include <algorithm>
#include <utility>

namespace samphiretray::control {

load_permits::load_permits(load_permits_options options, time_point act_from)
    : options_(options), act_from_(act_from),
      bucket_({options.loads_per_second, options.burst}, 0.0, act_from) {}

void load_permits::request(std::string_view holder, const wire::permit_request& asked, time_point now) {
    advance(now);
    const auto is_same = [&](const load& each) {
        return each.holder == holder && each.asked.endpoint == asked.endpoint &&
               each.asked.adapter == asked.adapter && each.asked.version == asked.version;
    };
    const auto in_force =
        std::ranges::find_if(permits_, [&](const permit& each) { return is_same(each.granted); });
    if (in_force != permits_.end()) {
        in_force->granted.asked = asked;
        reply(in_force->granted, true, true);
        return;
    }
    const auto waits = std::ranges::find_if(waiting_, is_same);
    if (waits != waiting_.end()) {
        waits->asked = asked;
        waits->seen = now;
        return;
    }
    load fresh{std::string{holder}, asked, now, now};
    if (waiting_.size() >= options_.max_waiting) {
        reply(fresh, false, true);
        return;
    }
    waiting_.push_back(std::move(fresh));
}

void load_permits::cancel(std::string_view holder, std::uint64_t round, time_point now) {
    advance(now);
    std::erase_if(waiting_,
                  [&](const load& each) { return each.holder == holder && each.asked.round == round; });
}

void load_permits::done(std::string_view holder, std::uint64_t round, time_point now) {
    advance(now);
    std::erase_if(permits_, [&](const permit& each) {
        return each.granted.holder == holder && each.granted.asked.round == round;
    });
}

void load_permits::holder_gone(std::string_view holder) {
    std::erase_if(waiting_, [holder](const load& each) { return each.holder == holder; });
}

void load_permits::advance(time_point now) {
    bucket_.refill(now);
    std::erase_if(permits_, [now](const permit& each) { return each.expires <= now; });
    std::erase_if(waiting_, [&](const load& each) { return now - each.seen > options_.request_timeout; });
}

bool load_permits::may_start(bool priority) const {
    const bool keeps_one = !priority && options_.max_in_flight > 1;
    const std::size_t places = options_.max_in_flight - (keeps_one ? 1U : 0U);
    // Half a token is kept back, so that normal loads still run at the full rate while a priority load waits
    // for at most half of the interval between two loads.
    const double needed = priority || options_.burst < 1.5 ? 1.0 : 1.5;
    return permits_.size() < places && bucket_.level() >= needed;
}

double load_permits::rank(const load& of, time_point now) const {
    const double age = std::chrono::duration<double>(now - of.since).count();
    return std::min(of.asked.waiting, options_.waiting_cap) + age * options_.rank_per_second;
}

std::vector<load_permits::load>::iterator load_permits::next(time_point now) {
    return std::ranges::max_element(waiting_, {}, [&](const load& each) {
        return std::pair{each.asked.priority, rank(each, now)};
    });
}

void load_permits::refuse_all() {
    std::ranges::for_each(waiting_, [this](const load& each) { reply(each, false, false); });
    waiting_.clear();
}

void load_permits::grant(load chosen, time_point now) {
    reply(chosen, true, true);
    permits_.push_back({std::move(chosen), now + options_.validity});
}

void load_permits::reply(const load& to, bool granted, bool issuer) {
    wire::permit_reply answer;
    answer.round = to.asked.round;
    answer.granted = granted;
    answer.issuer = issuer;
    answer.valid_ms = static_cast<std::uint32_t>(milliseconds_in(options_.validity));
    answers_.push_back({to.holder, answer});
}

std::vector<permit_answer> load_permits::take_answers(bool may_act, time_point now) {
    advance(now);
    if (!may_act) {
        refuse_all();
    } else if (now >= act_from_) {
        for (auto chosen = next(now); chosen != waiting_.end() && may_start(chosen->asked.priority);
             chosen = next(now)) {
            // The level was checked, so this succeeds.
            (void)bucket_.try_take(1.0);
            load granted = std::move(*chosen);
            waiting_.erase(chosen);
            grant(std::move(granted), now);
        }
    }
    return std::exchange(answers_, {});
}

std::optional<time_point> load_permits::wake_at(time_point now) const {
    if (waiting_.empty()) {
        return std::nullopt;
    }
    if (now < act_from_) {
        return act_from_;
    }
    const auto refilled = bucket_.time_until(std::min(1.5, options_.burst));
    return now + refilled.value_or(options_.request_timeout);
}

} // namespace samphiretray::control
