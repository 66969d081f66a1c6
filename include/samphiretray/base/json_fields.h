#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/base/time.h"

#include <concepts>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray {

/// Reads the fields of one JSON object and remembers the first problem.
///
/// Each `read` looks at one field; a missing field leaves the target unchanged unless it is required.
/// `finish` reports the first problem, or a field that no call has asked for. Errors name the file, the
/// field, its value and what is allowed (`errc::invalid_argument`).
class json_fields {
public:
    enum class presence { optional, required };

    /// Parses JSON with comments. Fails if `text` is not one JSON object, naming line and column, or if an
    /// object has a field twice.
    [[nodiscard]] static result<json_fields> parse(std::string_view text, std::string_view file, step at);

    /// Parses a JSON list of objects.
    [[nodiscard]] static result<std::vector<json_fields>> parse_list(std::string_view text,
                                                                     std::string_view file, step at);

    void read(std::string_view name, std::string& target, presence needed = presence::optional);
    void read(std::string_view name, bool& target, presence needed = presence::optional);
    void read(std::string_view name, double& target, double minimum, double maximum,
              presence needed = presence::optional);
    void read(std::string_view name, std::uint64_t& target, std::uint64_t minimum, std::uint64_t maximum,
              presence needed = presence::optional);
    /// Reads a smaller unsigned integer. `maximum` must fit it.
    template <std::unsigned_integral Number>
    void read(std::string_view name, Number& target, std::uint64_t minimum, std::uint64_t maximum,
              presence needed = presence::optional) {
        std::uint64_t value = target;
        read(name, value, minimum, maximum, needed);
        target = static_cast<Number>(value);
    }
    /// Reads `<name>_ms`, an integer in milliseconds.
    void read(std::string_view name, duration& target, duration minimum, duration maximum,
              presence needed = presence::optional);
    void read(std::string_view name, std::vector<std::string>& target, presence needed = presence::optional);
    /// The objects of a list field; empty if it is absent.
    [[nodiscard]] std::vector<json_fields> read_list(std::string_view name,
                                                     presence needed = presence::optional);

    /// Reads the name of an enumerator of `Enum`.
    template <typename Enum>
    void read_enum(std::string_view name, Enum& target, presence needed = presence::optional) {
        std::string text;
        read(name, text, needed);
        if (text.empty() || has_failed()) {
            return;
        }
        if (const auto value = parse_name<Enum>(text)) {
            target = *value;
            return;
        }
        refuse(name, allowed_names<Enum>());
    }

    /// Records that the value of a field is not allowed, unless there was a problem before.
    void refuse(std::string_view name, std::string_view allowed);

    [[nodiscard]] bool has(std::string_view name) const;
    [[nodiscard]] bool has_failed() const noexcept;
    /// Path of this object in the file, such as "services[3]"; empty at the top.
    [[nodiscard]] const std::string& path() const noexcept;
    /// Success if every field was known and valid.
    [[nodiscard]] status finish();

private:
    struct implementation;
    explicit json_fields(std::shared_ptr<implementation> state);

    template <typename Enum>
    [[nodiscard]] static std::string allowed_names() {
        std::string text = "one of";
        for (const auto& [value, known] : name_table<Enum>) {
            text += ' ';
            text += known;
        }
        return text;
    }

    std::shared_ptr<implementation> implementation_;
};

/// Parses one JSON object with `read`, which asks for the fields of `Target`. Fails like
/// `json_fields::finish`.
template <typename Target>
[[nodiscard]] result<Target> parse_object(std::string_view text, std::string_view file, step at,
                                          void (*read)(json_fields&, Target&)) {
    auto fields = json_fields::parse(text, file, at);
    if (!fields) {
        return fields.error();
    }
    Target target;
    read(*fields, target);
    if (const auto done = fields->finish(); !done) {
        return done.error();
    }
    return target;
}

} // namespace samphiretray
