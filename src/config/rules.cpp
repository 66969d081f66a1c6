#include "samphiretray/base/json_fields.h"
#include "samphiretray/config/configuration.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace samphiretray::config {

namespace {

using presence = json_fields::presence;

constexpr std::uint64_t no_upper_limit = std::numeric_limits<std::uint64_t>::max();

void read_object(json_fields& fields, organisation& target) {
    fields.read("name", target.name, presence::required);
    fields.read("rate", target.rate, 0, no_upper_limit, presence::required);
    fields.read("burst", target.burst, 0, no_upper_limit, presence::required);
    fields.read("priority", target.priority);
}

void read_object(json_fields& fields, service& target) {
    fields.read("name", target.name, presence::required);
    fields.read_enum("kind", target.kind, presence::required);
    fields.read("base_model", target.base_model);
    fields.read("open", target.open);
    fields.read("repeatable", target.repeatable);
}

void read_object(json_fields& fields, key_grant& target) {
    fields.read("digest", target.digest, presence::required);
    fields.read("organisation", target.organisation, presence::required);
    fields.read("label", target.label);
}

void read_object(json_fields& fields, endpoint_rule& target) {
    fields.read("name", target.name, presence::required);
    fields.read("checks_fencing", target.checks_fencing, presence::required);
}

template <typename T>
void read_objects(json_fields& parent, std::string_view name, std::vector<T>& target) {
    std::vector<json_fields> elements = parent.read_list(name);
    target.reserve(elements.size());
    for (json_fields& fields : elements) {
        read_object(fields, target.emplace_back());
        // The result is not needed: an error of an element also fails the parent.
        static_cast<void>(fields.finish());
    }
}

nlohmann::ordered_json to_object(const organisation& value) {
    return {{"name", value.name}, {"rate", value.rate}, {"burst", value.burst}, {"priority", value.priority}};
}

nlohmann::ordered_json to_object(const service& value) {
    nlohmann::ordered_json object{{"name", value.name}, {"kind", name_of(value.kind)}, {"open", value.open}};
    if (value.kind == service_kind::engine) {
        object["base_model"] = value.base_model;
    } else {
        object["repeatable"] = value.repeatable;
    }
    return object;
}

nlohmann::ordered_json to_object(const key_grant& value) {
    return {{"digest", value.digest}, {"organisation", value.organisation}, {"label", value.label}};
}

nlohmann::ordered_json to_object(const endpoint_rule& value) {
    return {{"name", value.name}, {"checks_fencing", value.checks_fencing}};
}

template <typename T>
nlohmann::ordered_json to_list(const std::vector<T>& values) {
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    for (const T& value : values) {
        list.push_back(to_object(value));
    }
    return list;
}

} // namespace

result<rules> parse_rules(std::string_view text, std::string_view file) {
    auto fields = json_fields::parse(text, file, step::configure);
    if (!fields) {
        return fields.error();
    }
    rules parsed;
    read_objects(*fields, "organisations", parsed.organisations);
    read_objects(*fields, "services", parsed.services);
    read_objects(*fields, "keys", parsed.keys);
    read_objects(*fields, "endpoints", parsed.endpoints);
    if (const auto done = fields->finish(); !done) {
        return done.error();
    }
    return parsed;
}

std::string to_json(const rules& value) {
    const nlohmann::ordered_json object{{"organisations", to_list(value.organisations)},
                                        {"services", to_list(value.services)},
                                        {"keys", to_list(value.keys)},
                                        {"endpoints", to_list(value.endpoints)}};
    return object.dump(1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace samphiretray::config
