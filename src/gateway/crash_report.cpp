#include "samphiretray/gateway/crash_report.h"

#include "samphiretray/base/hash.h"
#include "samphiretray/base/log.h"
#include "samphiretray/base/text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace samphiretray::gateway {

namespace {

using json = nlohmann::json;

error malformed(std::string_view peer) {
    return make_error(errc::protocol_error, step::parse, std::string{peer}, "malformed crash evidence");
}

std::optional<std::uint64_t> unsigned_field(const json& object, const char* name) {
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned() ? std::optional{found->get<std::uint64_t>()}
                                                                : std::nullopt;
}

bool is_list_of_numbers(const json& value, std::size_t min_size) {
    return value.is_array() && value.size() >= min_size &&
           std::ranges::all_of(value, [](const json& each) { return each.is_number_unsigned(); });
}

/// A request is a list of its id and its parts.
json request_json(const routing::prompt_request& request) {
    json numbers = json::array({request.id});
    std::ranges::copy(request.parts, std::back_inserter(numbers));
    return numbers;
}

/// A held part is a list of its hash, the milliseconds left and its companions.
json held_json(const routing::held_part& held) {
    json numbers = json::array({held.part, static_cast<std::uint64_t>(milliseconds_in(held.time_left))});
    std::ranges::copy(held.companions, std::back_inserter(numbers));
    return numbers;
}

std::optional<routing::engine_crash> crash_from(const json& value) {
    const auto age = value.is_object() ? unsigned_field(value, "age_ms") : std::nullopt;
    const bool well_formed = age && value.contains("engine") && value["engine"].is_string() &&
                             value.contains("requests") && value["requests"].is_array();
    if (!well_formed) {
        return std::nullopt;
    }
    routing::engine_crash crash{value["engine"], age_from(*age), {}};
    for (const json& each : value["requests"]) {
        if (!is_list_of_numbers(each, 1)) {
            return std::nullopt;
        }
        routing::prompt_request request{each.front(), {}};
        request.parts.assign(std::next(each.begin()), each.end());
        crash.requests.push_back(std::move(request));
    }
    return crash;
}

/// A cut run is a list of the hashes of the server and the attempt, and its age in milliseconds.
json cut_json(const routing::cut_run& cut) {
    return json::array({cut.server, cut.attempt, static_cast<std::uint64_t>(milliseconds_in(cut.age))});
}

json suspected_json(const routing::suspected_request& suspected) {
    json cuts = json::array();
    std::ranges::transform(suspected.cuts, std::back_inserter(cuts), cut_json);
    json value{{"request", suspected.request}, {"cuts", std::move(cuts)}};
    if (suspected.answered) {
        value["answered_ms"] = static_cast<std::uint64_t>(milliseconds_in(*suspected.answered));
    }
    return value;
}

std::optional<routing::suspected_request> suspected_from(const json& value) {
    constexpr std::size_t cut_size = 3;
    const auto request = value.is_object() ? unsigned_field(value, "request") : std::nullopt;
    if (!request || !value.contains("cuts") || !value["cuts"].is_array()) {
        return std::nullopt;
    }
    routing::suspected_request suspected{*request, {}, std::nullopt};
    for (const json& each : value["cuts"]) {
        if (!is_list_of_numbers(each, cut_size)) {
            return std::nullopt;
        }
        suspected.cuts.push_back({each[0], each[1], age_from(each[2])});
    }
    if (const auto answered = unsigned_field(value, "answered_ms")) {
        suspected.answered = age_from(*answered);
    }
    return suspected;
}

} // namespace

routing::request_key make_request_key(const caller_request& decoded, const net::http_request& request,
                                      std::string_view caller) {
    if (!request.body.empty() || decoded.prefix.empty()) {
        return digest64({decoded.host, request.method, request.target, caller, request.body});
    }
    std::string prompt;
    for (const prompt_part& each : decoded.prefix) {
        prompt += each.id + ",";
    }
    return digest64({decoded.host, request.method, request.target, caller, prompt});
}

std::string part_name(const std::vector<prompt_part>& prompt, routing::part_key key) {
    const auto found =
        std::ranges::find_if(prompt, [key](const prompt_part& part) { return hash64(part.id) == key; });
    return found == prompt.end() ? std::string{} : found->id;
}

routing::engine_crash describe_crash(const std::vector<agent::interrupted_work>& suspects, std::string engine,
                                     time_point now) {
    routing::engine_crash crash{std::move(engine), now - suspects.front().interrupted_at, {}};
    for (const agent::interrupted_work& each : suspects) {
        const auto answer_age =
            each.answer_began_at ? milliseconds_in(each.interrupted_at - *each.answer_began_at) : -1;
        log_event(log_level::info, "crash_suspect",
                  {{"request", each.attempt_id},
                   {"request_hash", to_hex(each.request_key)},
                   {"answer_age_ms", answer_age},
                   {"parts", join(each.parts, ",")}});
        crash.requests.push_back(make_prompt_request(each.request_key, each.parts));
    }
    return crash;
}

void remove_known_crashes(routing::crash_evidence& evidence, const routing::crash_evidence& known) {
    std::erase_if(evidence.crashes, [&known](const routing::engine_crash& each) {
        return std::ranges::find(known.crashes, each.engine, &routing::engine_crash::engine) !=
               known.crashes.end();
    });
}

std::string crashed_engine_name(const net::address& engine, std::uint64_t started_at) {
    return net::to_string(engine) + "#" + std::to_string(started_at);
}

duration age_from(std::uint64_t milliseconds) {
    constexpr std::chrono::milliseconds limit = 24h;
    return std::chrono::milliseconds{std::min(milliseconds, static_cast<std::uint64_t>(limit.count()))};
}

json to_json(const routing::crash_evidence& evidence) {
    json crashes = json::array();
    for (const routing::engine_crash& each : evidence.crashes) {
        json requests = json::array();
        std::ranges::transform(each.requests, std::back_inserter(requests), request_json);
        crashes.push_back({{"engine", each.engine},
                           {"age_ms", static_cast<std::uint64_t>(milliseconds_in(each.age))},
                           {"requests", std::move(requests)}});
    }
    json harmless = json::array();
    for (const routing::harmless_part& each : evidence.harmless) {
        harmless.push_back(json::array({each.part, static_cast<std::uint64_t>(milliseconds_in(each.age))}));
    }
    return {
        {"revision", evidence.revision}, {"crashes", std::move(crashes)}, {"harmless", std::move(harmless)}};
}

result<routing::crash_evidence> crash_evidence_from(const json& value, std::string_view peer) {
    const auto revision = value.is_object() ? unsigned_field(value, "revision") : std::nullopt;
    const bool well_formed = revision && value.contains("crashes") && value["crashes"].is_array() &&
                             value.contains("harmless") && value["harmless"].is_array();
    if (!well_formed) {
        return malformed(peer);
    }
    routing::crash_evidence evidence{*revision, {}, {}};
    for (const json& each : value["crashes"]) {
        auto crash = crash_from(each);
        if (!crash) {
            return malformed(peer);
        }
        evidence.crashes.push_back(std::move(*crash));
    }
    for (const json& each : value["harmless"]) {
        if (!is_list_of_numbers(each, 2)) {
            return malformed(peer);
        }
        evidence.harmless.push_back({each[0], age_from(each[1])});
    }
    return evidence;
}

json to_json(const routing::request_evidence& evidence) {
    json requests = json::array();
    std::ranges::transform(evidence.requests, std::back_inserter(requests), suspected_json);
    return {{"revision", evidence.revision}, {"requests", std::move(requests)}};
}

result<routing::request_evidence> request_evidence_from(const json& value, std::string_view peer) {
    const auto revision = value.is_object() ? unsigned_field(value, "revision") : std::nullopt;
    if (!revision || !value.contains("requests") || !value["requests"].is_array()) {
        return malformed(peer);
    }
    routing::request_evidence evidence{*revision, {}};
    for (const json& each : value["requests"]) {
        auto suspected = suspected_from(each);
        if (!suspected) {
            return malformed(peer);
        }
        evidence.requests.push_back(std::move(*suspected));
    }
    return evidence;
}

std::string encode(const crash_message& message) {
    json body = to_json(message.evidence);
    if (!message.held.empty()) {
        json held = json::array();
        std::ranges::transform(message.held, std::back_inserter(held), held_json);
        body["held"] = std::move(held);
    }
    if (message.engine_started_at) {
        body["engine_started_at"] = *message.engine_started_at;
    }
    return body.dump();
}

result<crash_message> decode_crash_message(std::string_view text, std::string_view peer) {
    const json parsed = json::parse(text, nullptr, false);
    auto evidence = crash_evidence_from(parsed, peer);
    if (!evidence) {
        return evidence.error();
    }
    crash_message message{*std::move(evidence), {}, unsigned_field(parsed, "engine_started_at")};
    for (const json& each : parsed.value("held", json::array())) {
        if (!is_list_of_numbers(each, 2)) {
            return malformed(peer);
        }
        routing::held_part held{each[0], {}, age_from(each[1])};
        held.companions.assign(std::next(each.begin(), 2), each.end());
        message.held.push_back(std::move(held));
    }
    return message;
}

std::uint64_t wall_clock_milliseconds() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

std::string encode_recorded_evidence(const recorded_evidence& evidence, std::uint64_t written_at_ms) {
    json body = to_json(evidence.crashes);
    body["written_at_ms"] = written_at_ms;
    if (!evidence.requests.requests.empty()) {
        body["requests"] = to_json(evidence.requests);
    }
    return body.dump();
}

result<recorded_evidence> decode_recorded_evidence(std::string_view text, std::string_view key,
                                                   std::uint64_t now_ms) {
    const json parsed = json::parse(text, nullptr, false);
    auto crashes = crash_evidence_from(parsed, key);
    const auto written_at_ms = crashes ? unsigned_field(parsed, "written_at_ms") : std::nullopt;
    if (!written_at_ms) {
        return malformed(key);
    }
    recorded_evidence evidence{*std::move(crashes)};
    // Entries of earlier versions record no requests.
    if (parsed.contains("requests")) {
        auto requests = request_evidence_from(parsed["requests"], key);
        if (!requests) {
            return requests.error();
        }
        evidence.requests = *std::move(requests);
    }
    const duration since = age_from(now_ms - std::min(now_ms, *written_at_ms));
    std::ranges::for_each(evidence.crashes.crashes,
                          [since](routing::engine_crash& each) { each.age += since; });
    std::ranges::for_each(evidence.crashes.harmless,
                          [since](routing::harmless_part& each) { each.age += since; });
    for (routing::suspected_request& each : evidence.requests.requests) {
        std::ranges::for_each(each.cuts, [since](routing::cut_run& cut) { cut.age += since; });
        if (each.answered) {
            *each.answered += since;
        }
    }
    return evidence;
}

} // namespace samphiretray::gateway
