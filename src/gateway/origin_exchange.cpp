#include "samphiretray/gateway/origin_exchange.h"

#include "samphiretray/base/log.h"
#include "samphiretray/base/text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace samphiretray::gateway {

namespace {

using json = nlohmann::json;

} // namespace

std::string answer_origin_query(std::string_view query, const routing::stream_origins& known,
                                time_point now) {
    json answer = json::object();
    const std::string streams = net::find_query_parameter(query, "streams");
    for (const std::string_view text : split(streams, ',')) {
        const auto stream = parse_hex(text);
        const auto origin = stream ? known.find(*stream, now) : std::nullopt;
        if (origin) {
            answer[to_hex(*stream)] = json::array({origin->service, origin->software_version});
        }
    }
    return answer.dump();
}

result<std::vector<known_stream>> decode_origin_answer(std::string_view text, std::string_view peer) {
    const json parsed = json::parse(text, nullptr, false);
    std::vector<known_stream> known;
    bool is_well_formed = parsed.is_object();
    if (is_well_formed) {
        for (const auto& [name, origin] : parsed.items()) {
            const auto stream = parse_hex(name);
            const bool has_origin =
                origin.is_array() && origin.size() == 2 && origin[0].is_string() && origin[1].is_string();
            if (stream && has_origin) {
                known.push_back({*stream, {origin[0], origin[1]}});
            } else {
                is_well_formed = false;
            }
        }
    }
    if (!is_well_formed) {
        return make_error(errc::protocol_error, step::parse, std::string{peer},
                          "the answer does not list streams");
    }
    return known;
}

bool origin_exchange::find(routing::stream_key stream, std::vector<net::address> targets, completion done) {
    const auto waiting = waiting_.find(stream);
    if (waiting != waiting_.end()) {
        // Also if the search has ended, but its result has not been taken yet: a second one would be left
        // without anybody who waits for it.
        waiting->second.push_back(std::move(done));
        return true;
    }
    if (!search_.begin(stream, std::move(targets))) {
        return false;
    }
    waiting_[stream].push_back(std::move(done));
    // At the end of this iteration of the loop, so that streams that come together share their queries.
    loop_.post([this, weak = std::weak_ptr{alive_}] {
        if (!weak.expired()) {
            advance();
        }
    });
    return true;
}

void origin_exchange::advance() {
    for (const origin_search::query& each : search_.take_queries()) {
        send(each);
    }
    for (const origin_search::result& each : search_.take_results()) {
        const auto waiting = waiting_.extract(each.stream);
        for (const completion& done : waiting.mapped()) {
            done(each.origin, each.asked);
        }
    }
}

void origin_exchange::send(const origin_search::query& query) {
    std::string streams;
    for (const routing::stream_key each : query.streams) {
        streams += (streams.empty() ? "" : ",") + to_hex(each);
    }
    net::http_call call;
    call.peer = query.target;
    call.target = std::string{stream_origins_path} + "?streams=" + streams;
    call.timeout = answer_timeout;
    calls_[query.target] = http_.fetch(
        std::move(call), [this, target = query.target](const result<net::fetched_response>& answer) {
            on_answer(target, answer);
        });
}

void origin_exchange::on_answer(const net::address& target, const result<net::fetched_response>& answer) {
    // This runs in a callback of the exchange, which must not be destroyed inside it.
    loop_.post([kept = std::shared_ptr<net::http_exchange>(std::move(calls_[target]))] {});
    calls_.erase(target);
    const auto known = answer ? decode_origin_answer(answer->body, net::to_string(target))
                              : result<std::vector<known_stream>>{answer.error()};
    if (!known) {
        log_event(log_level::info, "stream_origins_not_answered",
                  {{"at", net::to_string(target)}, {"failure", to_string(known.error())}});
    }
    search_.on_answer(target, known ? *known : std::vector<known_stream>{});
    advance();
}

} // namespace samphiretray::gateway
