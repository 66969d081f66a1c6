#include "samphiretray/config/configuration.h"

#include <initializer_list>
#include <map>
#include <string>

namespace samphiretray::config {

namespace {

/// Maps the name of each object, such as "service assistant", to a text with its fields.
using descriptions = std::map<std::string, std::string>;

std::string yes_or_no(bool value) {
    return value ? "yes" : "no";
}

std::string change_line(std::string_view name, std::initializer_list<std::string_view> parts) {
    std::string line{name};
    line += ": ";
    for (const std::string_view part : parts) {
        line += part;
    }
    return line;
}

descriptions describe(const configuration& value) {
    descriptions all;
    for (const organisation& o : value.rules.organisations) {
        all["organisation " + o.name] = "rate " + std::to_string(o.rate) + ", burst " +
                                        std::to_string(o.burst) + ", priority " + yes_or_no(o.priority);
    }
    for (const service& s : value.rules.services) {
        all["service " + s.name] = "kind " + std::string{name_of(s.kind)} + ", base model " + s.base_model +
                                   ", open " + yes_or_no(s.open) + ", repeatable " + yes_or_no(s.repeatable);
    }
    for (const key_grant& k : value.rules.keys) {
        all["key " + k.digest.substr(0, 12)] = "organisation " + k.organisation + ", label " + k.label;
    }
    for (const endpoint_rule& e : value.rules.endpoints) {
        all["endpoint " + e.name] = "checks fencing " + yes_or_no(e.checks_fencing);
    }
    for (const adapter_record& a : value.inventory) {
        all["adapter " + a.adapter + "@" + a.version] =
            "organisation " + a.organisation + ", service " + a.service + ", current " + yes_or_no(a.current);
    }
    return all;
}

} // namespace

std::vector<std::string> describe_changes(const configuration& before, const configuration& after) {
    const descriptions old_descriptions = describe(before);
    const descriptions new_descriptions = describe(after);
    std::vector<std::string> lines;
    for (const auto& [name, text] : old_descriptions) {
        const auto found = new_descriptions.find(name);
        if (found == new_descriptions.end()) {
            lines.push_back(change_line(name, {"removed"}));
        } else if (found->second != text) {
            lines.push_back(change_line(name, {text, " -> ", found->second}));
        }
    }
    for (const auto& [name, text] : new_descriptions) {
        if (!old_descriptions.contains(name)) {
            lines.push_back(change_line(name, {"added, ", text}));
        }
    }
    return lines;
}

} // namespace samphiretray::config
