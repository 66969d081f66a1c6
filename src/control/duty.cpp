#include "samphiretray/control/duty.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace samphiretray::control {

namespace {

using nlohmann::json;

constexpr duration max_outage_evidence_age = 10s;
// Additional time for evidence of the acquisition to reach the previous holder.
constexpr duration evidence_spread_time = 1s;
constexpr duration grant_validity = 2s;

struct stored_lease {
    std::string holder;
    std::string incarnation;
    bool is_released = false;
};

/// The fields of a stored lease; all empty if the text has another form.
stored_lease parse_lease(const std::string& text) {
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return {};
    }
    const auto field = [&object](const char* name) {
        const auto found = object.find(name);
        return found != object.end() && found->is_string() ? found->get<std::string>() : std::string{};
    };
    return {field("holder"), field("incarnation"), field("state") == "released"};
}

bool may_have_taken_effect(const error& failure) {
    return failure.code != errc::connection_failed && failure.code != errc::unavailable &&
           failure.code != errc::conflict;
}

} // namespace

duty_settings duty_lease(std::string_view scope, std::string_view name, std::string holder,
                         std::string incarnation) {
    duty_settings settings;
    settings.key = "duty/" + std::string{scope} + "/" + std::string{name};
    settings.holder = std::move(holder);
    settings.incarnation = std::move(incarnation);
    settings.takeover_wait = max_outage_evidence_age + evidence_spread_time + grant_validity;
    settings.release_wait = grant_validity;
    return settings;
}

duty_settings endpoint_lease(std::string_view endpoint, std::string holder, std::string incarnation,
                             bool checks_fencing) {
    duty_settings settings;
    settings.key = "endpoint/" + std::string{endpoint};
    settings.holder = std::move(holder);
    settings.incarnation = std::move(incarnation);
    settings.lease = 30s;
    settings.renew_interval = 10s;
    settings.allow_preemption = checks_fencing;
    settings.takeover_wait = checks_fencing ? 0s : max_outage_evidence_age + evidence_spread_time;
    return settings;
}

duty::duty(duty_settings settings) : settings_(std::move(settings)) {}

void duty::campaign(time_point now) {
    is_contending_ = true;
    if (!next_time_) {
        next_time_ = now;
    }
}

void duty::release(time_point now) {
    is_contending_ = false;
    releasing_ = held_ || open_write_ || !writes_in_doubt_.empty();
    next_time_ = now;
}

std::optional<duty_action> duty::on_time(time_point now) {
    if (phase_ != phase::idle || !next_time_ || now < *next_time_) {
        return std::nullopt;
    }
    if (!is_contending_ && !releasing_) {
        next_time_.reset();
        return std::nullopt;
    }
    if (!held_ || !writes_in_doubt_.empty()) {
        return read();
    }
    return start_write(now, {.expected = held_->revision, .releases = releasing_});
}

duty_action duty::read() {
    phase_ = phase::reading;
    return duty_read{settings_.key};
}

duty_action duty::start_write(time_point now, write started) {
    const json object{{"holder", settings_.holder},
                      {"incarnation", settings_.incarnation},
                      {"write", ++write_count_},
                      {"state", started.releases ? "released" : "held"}};
    started.value = object.dump(-1, ' ', true, json::error_handler_t::replace);
    started.sent = now;
    phase_ = phase::writing;
    open_write_ = started;
    return duty_swap{{settings_.key, started.value, started.expected, settings_.lease}};
}

std::optional<duty_action> duty::on_swap(time_point now, const result<std::uint64_t>& answer) {
    if (phase_ != phase::writing) {
        return std::nullopt;
    }
    phase_ = phase::idle;
    const write sent = *std::exchange(open_write_, std::nullopt);
    if (answer) {
        on_write_applied(now, sent, *answer);
        return std::nullopt;
    }
    if (answer.error().code == errc::conflict) {
        return read();
    }
    if (may_have_taken_effect(answer.error())) {
        writes_in_doubt_.emplace(sent.value, sent);
        return read();
    }
    next_time_ = now + settings_.retry_interval;
    return std::nullopt;
}

std::optional<duty_action> duty::on_read(time_point now, const result<ports::versioned_value>& answer) {
    if (phase_ != phase::reading) {
        return std::nullopt;
    }
    phase_ = phase::idle;
    if (!answer) {
        next_time_ = now + settings_.retry_interval;
        return std::nullopt;
    }
    const auto found = writes_in_doubt_.find(answer->value);
    if (answer->revision != 0 && found != writes_in_doubt_.end()) {
        on_write_applied(now, write{found->second}, answer->revision);
        return std::nullopt;
    }
    // A write that expects another revision can no longer take effect, because revisions only grow.
    std::erase_if(writes_in_doubt_,
                  [&](const auto& entry) { return entry.second.expected != answer->revision; });
    if (held_ && answer->revision == held_->revision) {
        return start_write(now, {.expected = held_->revision, .releases = releasing_});
    }
    held_.reset();
    return try_acquire(now, *answer);
}

std::optional<duty_action> duty::try_acquire(time_point now, const ports::versioned_value& stored) {
    other_holder_.clear();
    releasing_ = false;
    if (!is_contending_) {
        next_time_.reset();
        return std::nullopt;
    }
    const stored_lease present = parse_lease(stored.value);
    const bool is_own = present.holder == settings_.holder && present.incarnation == settings_.incarnation;
    const bool is_free = stored.revision == 0 || present.is_released || is_own;
    if (!is_free && !settings_.allow_preemption) {
        other_holder_ = present.holder;
        next_time_ = now + settings_.retry_interval;
        return std::nullopt;
    }
    const bool is_unchanged_since_loss = lost_revision_ != 0 && stored.revision == lost_revision_;
    const duration action_delay = is_unchanged_since_loss ? duration{}
                                  : present.is_released   ? settings_.release_wait
                                                          : settings_.takeover_wait;
    return start_write(now, {.expected = stored.revision, .acquires = true, .action_delay = action_delay});
}

void duty::on_write_applied(time_point now, const write& done, std::uint64_t revision) {
    writes_in_doubt_.clear();
    next_time_ = std::max(now, done.sent + settings_.renew_interval);
    if (done.releases) {
        held_.reset();
        releasing_ = false;
        lost_revision_ = 0;
        return;
    }
    const time_point valid_until = done.sent + settings_.lease - settings_.expiry_margin;
    if (done.acquires) {
        held_ = held_lease{revision, revision, valid_until, now + done.action_delay};
    } else if (held_) {
        held_->revision = revision;
        held_->valid_until = valid_until;
    }
    if (releasing_) {
        next_time_ = now;
    }
}

void duty::on_contact(time_point now, const contact_tracker& contact) {
    if (!held_ || now < held_->valid_until) {
        return;
    }
    const auto answered = contact.newest_answer();
    const bool may_be_held_elsewhere = answered && *answered > held_->valid_until;
    if (may_be_held_elsewhere || contact.state(now) == contact_state::cut_off) {
        lost_revision_ = held_->revision;
        held_.reset();
        next_time_ = now;
    }
}

bool duty::may_act(time_point now, contact_state state) const {
    if (!held_ || !is_contending_ || now < held_->may_act_from) {
        return false;
    }
    return now < held_->valid_until || state == contact_state::service_down;
}

} // namespace samphiretray::control
