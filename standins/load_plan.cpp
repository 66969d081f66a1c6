#include "standins/load_plan.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace samphiretray::standins {

namespace {

using nlohmann::json;

/// Exception for an invalid plan; `parse_load_plan` converts it to an `error`.
struct plan_error {
    std::string detail;
};

json parse_document(std::string_view text) {
    return json::parse(text, nullptr, true, true);
}

duration read_ms(const json& object, const char* name, duration fallback) {
    return std::chrono::milliseconds{object.value(name, milliseconds_in(fallback))};
}

std::optional<duration> read_optional_ms(const json& object, const char* name) {
    return object.contains(name) ? std::optional{read_ms(object, name, 0s)} : std::nullopt;
}

std::vector<net::address> read_addresses(const json& object, const char* name) {
    std::vector<net::address> addresses;
    for (const json& item : object.value(name, json::array())) {
        const auto parsed = net::parse_address(item.get<std::string>());
        if (!parsed) {
            throw plan_error{to_string(parsed.error())};
        }
        addresses.push_back(*parsed);
    }
    return addresses;
}

void refuse_unknown_fields(const json& object, const std::set<std::string>& known) {
    for (const auto& [name, value] : object.items()) {
        if (!known.contains(name)) {
            throw plan_error{"unknown field \"" + name + "\""};
        }
    }
}

source_kind read_kind(const json& object) {
    const std::string name = object.value("kind", "completions");
    const auto kind = parse_name<source_kind>(name);
    if (!kind) {
        throw plan_error{"kind is \"" + name + "\"; allowed: completions, orders, calls"};
    }
    return *kind;
}

void read_completion_fields(const json& object, traffic_source& source) {
    source.zipf = object.value("zipf", source.zipf);
    source.shift_every = read_ms(object, "shift_every_ms", source.shift_every);
    source.adapters = object.value("adapters", source.adapters);
    source.stream = object.value("stream", source.stream);
    source.chat = object.value("chat", source.chat);
    source.pinned = object.value("pinned", source.pinned);
    source.foreign = object.value("foreign", source.foreign);
    source.max_tokens = object.value("max_tokens", source.max_tokens);
    source.prompt_words = object.value("prompt_words", source.prompt_words);
    source.shared_words = object.value("shared_words", source.shared_words);
}

traffic_source read_source(const json& object, const json& keys) {
    static const std::set<std::string> known{"kind",
                                             "organisation",
                                             "key",
                                             "rate",
                                             "begin_ms",
                                             "end_ms",
                                             "expect_refused_after_ms",
                                             "zipf",
                                             "adapters",
                                             "stream",
                                             "chat",
                                             "pinned",
                                             "foreign",
                                             "shift_every_ms",
                                             "max_tokens",
                                             "prompt_words",
                                             "shared_words",
                                             "path",
                                             "attempts",
                                             "idempotency_keys"};
    refuse_unknown_fields(object, known);
    traffic_source source;
    source.kind = read_kind(object);
    source.organisation = object.value("organisation", "");
    source.key = object.value("key", keys.value(source.organisation, ""));
    source.rate = object.value("rate", source.rate);
    source.begin = read_ms(object, "begin_ms", source.begin);
    source.end = read_optional_ms(object, "end_ms");
    source.expect_refused_after = read_optional_ms(object, "expect_refused_after_ms");
    source.path = object.value("path", "");
    source.idempotency_keys = object.value("idempotency_keys", false);
    source.attempts = std::max(1U, object.value("attempts", source.attempts));
    read_completion_fields(object, source);
    if (source.rate <= 0) {
        throw plan_error{"rate must be above 0"};
    }
    return source;
}

std::vector<plan_adapter> read_adapters(const json& list) {
    std::vector<plan_adapter> adapters;
    for (const json& row : list) {
        adapters.push_back({row.at("adapter").get<std::string>(), row.at("version").get<std::string>(),
                            row.value("organisation", ""), row.value("current", true)});
    }
    return adapters;
}

void check_sources(const load_plan& plan) {
    for (const traffic_source& source : plan.sources) {
        const auto owned = [&source](const plan_adapter& row) {
            return row.organisation == source.organisation;
        };
        if (source.kind == source_kind::completions && std::ranges::none_of(plan.adapters, owned)) {
            throw plan_error{"organisation \"" + source.organisation + "\" has no adapters"};
        }
        if (source.kind != source_kind::completions && source.path.empty()) {
            throw plan_error{"sources of kind orders and calls need the field \"path\""};
        }
    }
}

load_plan read_plan(const json& document, std::string_view inventory) {
    static const std::set<std::string> known{"targets",    "seed",          "duration_ms",  "count",
                                             "timeout_ms", "inventory",     "adapters",     "keys",
                                             "sources",    "order_servers", "max_in_flight"};
    refuse_unknown_fields(document, known);
    load_plan plan;
    plan.targets = read_addresses(document, "targets");
    plan.order_servers = read_addresses(document, "order_servers");
    plan.seed = document.value("seed", plan.seed);
    plan.length = read_ms(document, "duration_ms", plan.length);
    plan.count = document.value("count", plan.count);
    plan.timeout = read_ms(document, "timeout_ms", plan.timeout);
    plan.max_in_flight = document.value("max_in_flight", plan.max_in_flight);
    plan.adapters = read_adapters(inventory.empty() ? document.value("adapters", json::array())
                                                    : parse_document(inventory));
    const json keys = document.value("keys", json::object());
    for (const json& source : document.at("sources")) {
        plan.sources.push_back(read_source(source, keys));
    }
    if (plan.targets.empty()) {
        throw plan_error{"field \"targets\" is missing or empty"};
    }
    check_sources(plan);
    return plan;
}

} // namespace

result<load_plan> parse_load_plan(std::string_view text, std::string_view inventory) {
    try {
        return read_plan(parse_document(text), inventory);
    } catch (const json::exception& failure) {
        return make_error(errc::invalid_argument, step::settings, "", failure.what());
    } catch (const plan_error& problem) {
        return make_error(errc::invalid_argument, step::settings, "", problem.detail);
    }
}

std::string inventory_file_of(std::string_view plan_text) {
    const json document = json::parse(plan_text, nullptr, false, true);
    return document.is_object() ? document.value("inventory", "") : "";
}

} // namespace samphiretray::standins
