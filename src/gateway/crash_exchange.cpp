#include "samphiretray/gateway/crash_exchange.h"

#include "samphiretray/base/log.h"
#include "samphiretray/gateway/crash_report.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace samphiretray::gateway {

namespace {

/// An agent finds the crash with its next status poll.
constexpr duration first_inquiry_delay = 250ms;
constexpr duration next_inquiry_delay = 500ms;
constexpr std::uint32_t max_inquiries = 3;
constexpr duration message_timeout = 400ms;
/// A younger crash explains the cut answer.
constexpr duration explaining_crash_age = 3s;
/// Suspects that one entry reports for one crash.
constexpr std::size_t max_cut_answers = 128;

} // namespace

void crash_exchange::on_interrupted(const std::string& host, std::optional<cut_answer> cut) {
    if (port_ == 0) {
        return;
    }
    if (!inquiries_.contains(host)) {
        ask_later(host, first_inquiry_delay);
        inquiries_[host].began_at = loop_.now();
    }
    inquiry& current = inquiries_[host];
    if (cut && current.cut_answers.size() < max_cut_answers) {
        current.cut_answers.push_back(*std::move(cut));
    }
}

void crash_exchange::on_held_back_by(const std::string& host) {
    if (port_ == 0 || inquiries_.contains(host)) {
        return;
    }
    inquiries_[host].began_at = loop_.now();
    ask(host);
}

void crash_exchange::ask_later(const std::string& host, duration delay) {
    inquiries_[host].timer = loop_.after(delay, [this, host] { ask(host); });
}

std::string crash_exchange::message_text() const {
    return encode(crash_message{quarantine_.supporting_evidence(loop_.now()), held()});
}

std::vector<routing::held_part> crash_exchange::held() const {
    const time_point now = loop_.now();
    std::vector<routing::held_part> all = quarantine_.announcement(now);
    std::ranges::move(requests_.announcement(now), std::back_inserter(all));
    return all;
}

void crash_exchange::report_cut_run(const cut_answer& cut, const inquiry& ended) {
    const time_point now = loop_.now();
    requests_.on_cut(cut.request.id, {cut.server, cut.attempt, now - ended.began_at}, now);
}

net::http_call crash_exchange::make_call(const std::string& host, std::string_view path,
                                         std::string body) const {
    net::http_call call;
    call.peer = {host, port_};
    call.method = "POST";
    call.target = path;
    call.body = std::move(body);
    call.timeout = message_timeout;
    return call;
}

void crash_exchange::ask(const std::string& host) {
    inquiry& current = inquiries_[host];
    ++current.attempts;
    current.exchange =
        http_.fetch(make_call(host, crashes_path, message_text()),
                    [this, host](const result<net::fetched_response>& answer) { on_answer(host, answer); });
}

void crash_exchange::on_answer(const std::string& host, const result<net::fetched_response>& answer) {
    const auto found = inquiries_.find(host);
    if (found == inquiries_.end()) {
        return;
    }
    const auto message =
        answer ? decode_crash_message(answer->body, host) : result<crash_message>{answer.error()};
    // This runs in a callback of the exchange, which must not be destroyed inside it.
    const auto kept = std::make_shared<inquiry>(std::move(found->second));
    loop_.post([kept] {});
    inquiries_.erase(found);
    bool is_explained = false;
    if (message) {
        quarantine_.merge(message->evidence, loop_.now());
        is_explained = std::ranges::any_of(message->evidence.crashes, [](const routing::engine_crash& each) {
            return each.age < explaining_crash_age;
        });
    } else {
        log_event(log_level::warning, "crash_inquiry_failed",
                  {{"at", host}, {"attempt", kept->attempts}, {"failure", to_string(message.error())}});
    }
    if (is_explained) {
        std::ranges::for_each(kept->cut_answers,
                              [&](const cut_answer& each) { report_cut_run(each, *kept); });
    }
    if (is_explained || kept->cut_answers.empty()) {
        return;
    }
    if (kept->attempts < max_inquiries) {
        ask_later(host, next_inquiry_delay);
        inquiry& next = inquiries_[host];
        next.attempts = kept->attempts;
        next.began_at = kept->began_at;
        next.cut_answers = std::move(kept->cut_answers);
        return;
    }
    report_own(*kept, message ? message->engine_started_at : std::nullopt);
}

void crash_exchange::report_own(const inquiry& ended, std::optional<std::uint64_t> engine_started_at) {
    const time_point now = loop_.now();
    for (const cut_answer& each : ended.cut_answers) {
        const bool has_gone_on = engine_started_at && *engine_started_at <= each.engine_started_at;
        if (!has_gone_on) {
            report_cut_run(each, ended);
            quarantine_.on_crash({crashed_engine_name(each.engine, each.engine_started_at),
                                  now - ended.began_at,
                                  {each.request}},
                                 now);
        }
    }
}

void crash_exchange::announce(const std::vector<std::string>& hosts) {
    if (port_ == 0 || hosts.empty()) {
        return;
    }
    const std::string text = message_text();
    for (const std::string& host : hosts) {
        if (announcements_.contains(host)) {
            continue;
        }
        announcements_[host] =
            http_.fetch(make_call(host, announcements_path, text),
                        [this, host](const result<net::fetched_response>& answer) {
                            if (!answer) {
                                log_event(log_level::debug, "quarantine_not_announced",
                                          {{"at", host}, {"failure", to_string(answer.error())}});
                            }
                            loop_.post([this, host] { announcements_.erase(host); });
                        });
    }
}

} // namespace samphiretray::gateway
