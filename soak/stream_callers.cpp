#include "soak/stream_callers.h"

#include "samphiretray/base/text.h"

#include <utility>

namespace samphiretray::soak {

namespace {

/// Callers come back soon after a stream has broken off, a few times.
constexpr duration return_pause = 20ms;
constexpr std::size_t max_attempts = 4;
constexpr duration call_timeout = 3s;

std::string_view field_of(std::string_view event, std::string_view name) {
    const std::size_t at = event.find(name);
    return at == std::string_view::npos
               ? std::string_view{}
               : event.substr(at + name.size(), event.find('\n', at) - at - name.size());
}

} // namespace

void stream_callers::begin(const std::string& key, const std::string& organisation) {
    const std::uint64_t id = next_id_++;
    stream& begun = streams_[id];
    begun.key = key;
    begun.organisation = organisation;
    begun.first_attempt = name_ + "-" + std::to_string(id);
    ++counts_.begun;
    send(id);
}

void stream_callers::send(std::uint64_t id) {
    stream& of = streams_.at(id);
    of.attempt = of.first_attempt + (of.attempts == 0 ? "" : "r" + std::to_string(of.attempts));
    ++of.attempts;
    of.events_in_attempt = 0;
    of.status = 0;
    of.unread.clear();
    net::http_call call;
    call.peer = pick_entry_();
    call.method = "POST";
    call.target = std::string{resumable_prefix} + "1";
    call.body = "body of " + of.first_attempt;
    call.timeout = call_timeout;
    call.headers = {{"host", "soak.example"},
                    {"x-samphiretray-attempt-id", of.attempt},
                    {"x-samphiretray-deadline-ms", "2800"},
                    {"x-samphiretray-credential", of.key},
                    {"x-samphiretray-token-count", "500,20"},
                    {"x-samphiretray-model", "m0"}};
    if (of.last_event > 0) {
        ++counts_.taken_up;
        call.headers.push_back({"last-event-id", std::to_string(of.last_event)});
        call.headers.push_back({"resumes", of.first_attempt});
    }
    checker_.on_attempt_sent(of.attempt, request_kind::safe, of.organisation, false, loop_.now());
    net::http_call_events handlers;
    handlers.on_head = [this, id](int status, const net::http_headers&) { streams_.at(id).status = status; };
    handlers.on_data = [this, id](std::string_view bytes) {
        stream& target = streams_.at(id);
        target.unread += bytes;
        if (target.status == 200) {
            read_events(target);
        }
    };
    handlers.on_end = [this, id](const std::optional<error>& failure) { on_end(id, failure.has_value()); };
    of.exchange = http_.send(std::move(call), std::move(handlers));
}

void stream_callers::read_events(stream& of) {
    for (std::size_t end = of.unread.find("\n\n"); end != std::string::npos; end = of.unread.find("\n\n")) {
        on_event(of, std::string_view{of.unread}.substr(0, end + 1));
        of.unread.erase(0, end + 2);
    }
}

void stream_callers::on_event(stream& of, std::string_view event) {
    const auto number = parse_number<std::size_t>(field_of(event, "id: ")).value_or(0);
    if (number != of.last_event + 1) {
        checker_.add_violation(of.attempt + " gets event " + std::to_string(number) + " after " +
                                   std::to_string(of.last_event),
                               loop_.now());
    }
    of.last_event = number;
    counts_.went_on += of.attempts > 1 && of.events_in_attempt == 0 ? 1 : 0;
    ++of.events_in_attempt;
    const bool is_other = of.versions.insert(std::string{field_of(event, "data: ")}).second;
    if (is_other && of.versions.size() > 1) {
        checker_.add_violation(of.attempt + " is joined from two software versions", loop_.now());
    }
}

void stream_callers::on_end(std::uint64_t id, bool failed) {
    stream& of = streams_.at(id);
    const bool is_whole = of.last_event == resumable_event_count;
    if (failed) {
        checker_.on_attempt_failed(of.attempt);
    } else {
        checker_.on_attempt_answered(of.attempt, of.status, is_whole, loop_.now());
    }
    counts_.whole += is_whole ? 1 : 0;
    if (of.attempts > 1 && of.events_in_attempt == 0) {
        const std::string cause = of.status == 200 ? "" : of.unread.substr(0, of.unread.find('\n'));
        ++counts_.not_continued[std::to_string(of.status) + " " + cause];
    }
    const bool comes_back = !is_whole && failed && of.last_event > 0 && of.attempts < max_attempts;
    // This runs in a callback of the exchange, which must not be destroyed inside it.
    loop_.post([kept = std::shared_ptr<net::http_exchange>(std::move(of.exchange))] {});
    if (comes_back) {
        of.pause = loop_.after(return_pause, [this, id] { send(id); });
    } else {
        streams_.erase(id);
    }
}

} // namespace samphiretray::soak
