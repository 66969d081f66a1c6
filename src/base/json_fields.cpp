#include "samphiretray/base/json_fields.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace samphiretray {

namespace {

using nlohmann::json;

// Documents that are nested deeper are rejected; no valid document has more than four levels.
constexpr int max_depth = 16;
constexpr std::size_t max_shown_value_bytes = 80;

/// Parser callback that rejects valid JSON with duplicate fields or too many levels of nesting.
class structure_validator {
public:
    bool operator()(int depth, json::parse_event_t event, const json& parsed) {
        if (depth > max_depth && problem_.empty()) {
            problem_ = "is nested more than " + std::to_string(max_depth) + " levels deep";
        }
        switch (event) {
        case json::parse_event_t::object_start:
            names_.emplace_back();
            break;
        case json::parse_event_t::object_end:
            names_.pop_back();
            break;
        case json::parse_event_t::key:
            check_duplicate(parsed.get_ref<const std::string&>());
            break;
        default:
            break;
        }
        return true;
    }

    [[nodiscard]] const std::string& problem() const noexcept { return problem_; }

private:
    void check_duplicate(const std::string& name) {
        const bool is_new = names_.back().insert(name).second;
        if (!is_new && problem_.empty()) {
            problem_ = "has field \"" + name + "\" twice in one object";
        }
    }

    std::vector<std::set<std::string>> names_;
    std::string problem_;
};

error file_error(step at, std::string_view file, std::string_view problem) {
    return make_error(errc::invalid_argument, at, {},
                      "file \"" + std::string{file} + "\" " + std::string{problem});
}

/// The message of nlohmann::json without its prefix, such as "[json.exception.parse_error.101] ".
std::string_view message_without_prefix(const json::exception& failure) {
    const std::string_view text = failure.what();
    const std::size_t end = text.find("] ");
    return end == std::string_view::npos ? text : text.substr(end + 2);
}

result<std::shared_ptr<const json>> parse_document(std::string_view text, std::string_view file, step at) {
    structure_validator check;
    const json::parser_callback_t callback = [&check](int depth, json::parse_event_t event, json& parsed) {
        return check(depth, event, parsed);
    };
    try {
        auto document =
            std::make_shared<const json>(json::parse(text.begin(), text.end(), callback, true, true));
        if (!check.problem().empty()) {
            return file_error(at, file, check.problem());
        }
        return document;
    } catch (const json::exception& failure) {
        return file_error(at, file, "is not JSON: " + std::string{message_without_prefix(failure)});
    }
}

/// Formats a value for an error message. Values of fields whose name contains "secret" are hidden.
std::string format_value(std::string_view name, const json& value) {
    if (name.find("secret") != std::string_view::npos) {
        return "(hidden)";
    }
    if (value.is_object()) {
        return "an object";
    }
    if (value.is_array()) {
        return "a list";
    }
    std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > max_shown_value_bytes) {
        text.resize(max_shown_value_bytes);
        text += "...";
    }
    return text;
}

std::string describe_range(std::string_view kind, const std::string& minimum, const std::string& maximum) {
    return std::string{kind} + " from " + minimum + " to " + maximum;
}

std::optional<std::uint64_t> as_unsigned(const json& value) {
    if (!value.is_number_unsigned()) {
        return std::nullopt;
    }
    return value.get<std::uint64_t>();
}

} // namespace

struct json_fields::implementation {
    std::shared_ptr<const json> document;
    const json* node = nullptr;
    std::string file;
    step at = step::parse;
    std::string path;
    std::set<std::string, std::less<>> fields_read;
    /// Shared by all objects of a file, so that the first error is the one reported.
    std::shared_ptr<std::optional<error>> problem;

    void fail(std::string_view name, std::string_view what, std::string_view allowed) {
        if (*problem) {
            return;
        }
        const std::string field = path.empty() ? std::string{name} : path + "." + std::string{name};
        *problem = file_error(
            at, file, "field \"" + field + "\" " + std::string{what} + "; allowed: " + std::string{allowed});
    }

    /// Returns the value of a field, or null if it is absent or an error was recorded before.
    const json* find(std::string_view name, presence field_presence, std::string_view allowed) {
        fields_read.emplace(name);
        const auto found = node->find(name);
        if (found != node->end()) {
            return *problem ? nullptr : &*found;
        }
        if (field_presence == presence::required) {
            fail(name, "is missing", allowed);
        }
        return nullptr;
    }

    void refuse_value(std::string_view name, const json& value, std::string_view allowed) {
        fail(name, "is " + format_value(name, value), allowed);
    }

    [[nodiscard]] std::shared_ptr<implementation> child(const json& element, std::string child_path) const {
        return std::make_shared<implementation>(
            implementation{document, &element, file, at, std::move(child_path), {}, problem});
    }
};

json_fields::json_fields(std::shared_ptr<implementation> state) : implementation_(std::move(state)) {}

result<json_fields> json_fields::parse(std::string_view text, std::string_view file, step at) {
    auto document = parse_document(text, file, at);
    if (!document) {
        return document.error();
    }
    if (!(*document)->is_object()) {
        return file_error(at, file, "is not a JSON object");
    }
    return json_fields{
        std::make_shared<implementation>(implementation{*document,
                                                        document->get(),
                                                        std::string{file},
                                                        at,
                                                        {},
                                                        {},
                                                        std::make_shared<std::optional<error>>()})};
}

result<std::vector<json_fields>> json_fields::parse_list(std::string_view text, std::string_view file,
                                                         step at) {
    auto document = parse_document(text, file, at);
    if (!document) {
        return document.error();
    }
    if (!(*document)->is_array()) {
        return file_error(at, file, "is not a JSON list");
    }
    const implementation root{
        *document, document->get(), std::string{file}, at, {}, {}, std::make_shared<std::optional<error>>()};
    std::vector<json_fields> rows;
    rows.reserve((*document)->size());
    for (const json& element : **document) {
        const std::string element_path = "row " + std::to_string(rows.size() + 1);
        if (!element.is_object()) {
            return file_error(at, file, element_path + " is not an object");
        }
        rows.push_back(json_fields{root.child(element, element_path)});
    }
    return rows;
}

void json_fields::read(std::string_view name, std::string& target, presence field_presence) {
    constexpr std::string_view allowed = "text";
    const json* value = implementation_->find(name, field_presence, allowed);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string()) {
        return implementation_->refuse_value(name, *value, allowed);
    }
    target = value->get<std::string>();
}

void json_fields::read(std::string_view name, bool& target, presence field_presence) {
    constexpr std::string_view allowed = "true or false";
    const json* value = implementation_->find(name, field_presence, allowed);
    if (value == nullptr) {
        return;
    }
    if (!value->is_boolean()) {
        return implementation_->refuse_value(name, *value, allowed);
    }
    target = value->get<bool>();
}

void json_fields::read(std::string_view name, double& target, double minimum, double maximum,
                       presence field_presence) {
    const std::string allowed = describe_range("a number", json(minimum).dump(), json(maximum).dump());
    const json* value = implementation_->find(name, field_presence, allowed);
    if (value == nullptr) {
        return;
    }
    if (!value->is_number() || value->get<double>() < minimum || value->get<double>() > maximum) {
        return implementation_->refuse_value(name, *value, allowed);
    }
    target = value->get<double>();
}

void json_fields::read(std::string_view name, std::uint64_t& target, std::uint64_t minimum,
                       std::uint64_t maximum, presence field_presence) {
    const std::string allowed =
        describe_range("an integer", std::to_string(minimum), std::to_string(maximum));
    const json* value = implementation_->find(name, field_presence, allowed);
    if (value == nullptr) {
        return;
    }
    const auto number = as_unsigned(*value);
    if (!number || *number < minimum || *number > maximum) {
        return implementation_->refuse_value(name, *value, allowed);
    }
    target = *number;
}

void json_fields::read(std::string_view name, duration& target, duration minimum, duration maximum,
                       presence field_presence) {
    const std::string field = std::string{name} + "_ms";
    const auto lowest = static_cast<std::uint64_t>(milliseconds_in(minimum));
    const auto highest = static_cast<std::uint64_t>(milliseconds_in(maximum));
    auto milliseconds = static_cast<std::uint64_t>(milliseconds_in(target));
    const bool is_present = has(field);
    read(field, milliseconds, lowest, highest, field_presence);
    if (is_present) {
        target = std::chrono::milliseconds{milliseconds};
    }
}

void json_fields::read(std::string_view name, std::vector<std::string>& target, presence field_presence) {
    constexpr std::string_view allowed = "a list of texts";
    const json* value = implementation_->find(name, field_presence, allowed);
    if (value == nullptr) {
        return;
    }
    const auto is_text = [](const json& element) { return element.is_string(); };
    if (!value->is_array() || !std::ranges::all_of(*value, is_text)) {
        return implementation_->refuse_value(name, *value, allowed);
    }
    target = value->get<std::vector<std::string>>();
}

std::vector<json_fields> json_fields::read_list(std::string_view name, presence field_presence) {
    constexpr std::string_view allowed = "a list of objects";
    std::vector<json_fields> elements;
    const json* value = implementation_->find(name, field_presence, allowed);
    if (value == nullptr) {
        return elements;
    }
    const auto is_object = [](const json& element) { return element.is_object(); };
    if (!value->is_array() || !std::ranges::all_of(*value, is_object)) {
        implementation_->refuse_value(name, *value, allowed);
        return elements;
    }
    const std::string prefix = path().empty() ? std::string{name} : path() + "." + std::string{name};
    for (const json& element : *value) {
        const std::string element_path = prefix + "[" + std::to_string(elements.size()) + "]";
        elements.push_back(json_fields{implementation_->child(element, element_path)});
    }
    return elements;
}

void json_fields::refuse(std::string_view name, std::string_view allowed) {
    const auto found = implementation_->node->find(name);
    if (found == implementation_->node->end()) {
        return implementation_->fail(name, "is missing", allowed);
    }
    implementation_->refuse_value(name, *found, allowed);
}

bool json_fields::has(std::string_view name) const {
    return implementation_->node->contains(name);
}

bool json_fields::has_failed() const noexcept {
    return implementation_->problem->has_value();
}

const std::string& json_fields::path() const noexcept {
    return implementation_->path;
}

status json_fields::finish() {
    for (const auto& [name, value] : implementation_->node->items()) {
        if (implementation_->fields_read.contains(name)) {
            continue;
        }
        std::string known = "the fields";
        for (const std::string& field : implementation_->fields_read) {
            known += ' ' + field;
        }
        implementation_->fail(name, "is unknown", known);
    }
    if (has_failed()) {
        return **implementation_->problem;
    }
    return success();
}

} // namespace samphiretray
