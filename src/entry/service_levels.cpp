#include "samphiretray/entry/service_levels.h"

namespace samphiretray::entry {

namespace {

using observe::objective_scope;

constexpr double answers_target = 0.999;
constexpr double first_token_target = 0.95;
constexpr duration first_token_limit = 1200ms;

std::vector<observe::objective> make_objectives(const std::string& name, double target) {
    return {{name, objective_scope::organisation, "*", target},
            {name, objective_scope::service, "*", target}};
}

void record_event(observe::burn_monitor& monitor, const request_context& request, bool good, time_point now) {
    const observe::event_count count{good ? 1U : 0U, 1};
    if (!request.organisation.empty()) {
        monitor.record(objective_scope::organisation, request.organisation, count, now);
    }
    monitor.record(objective_scope::service, request.service, count, now);
}

} // namespace

service_levels::service_levels()
    : answers_(make_objectives("answers", answers_target)),
      first_token_(make_objectives("first_token", first_token_target)) {}

void service_levels::record(const request_context& request, const request_summary& summary, time_point now) {
    const bool caused_by_caller = summary.status == 0 || (summary.status >= 400 && summary.status < 500);
    if (caused_by_caller || request.service.empty()) {
        return;
    }
    const bool good = summary.answered && summary.status < 500;
    record_event(answers_, request, good, now);
    if (good && request.completion) {
        const time_point first = request.first_byte.value_or(now);
        record_event(first_token_, request, first - request.arrived <= first_token_limit, now);
    }
}

std::string service_levels::report(bool text, time_point now) const {
    const auto answers = answers_.report(now);
    const auto first_token = first_token_.report(now);
    if (text) {
        return observe::format_table(answers) + observe::format_table(first_token);
    }
    return "{\"answers\": " + observe::format_json(answers) +
           ", \"first_token\": " + observe::format_json(first_token) + "}";
}

} // namespace samphiretray::entry
