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

/// Reads the fields of one JSON object and keeps the first error.
///
/// Each `read` converts one field. A missing optional field leaves the target unchanged; a missing required
/// one is an error. `finish` reports the first error, or a field of the object that was never read. Errors
/// (`errc::invalid_argument`) state the file, the field, its value and the allowed values.
class json_fields {
public:
    enum class presence { optional, required };

    /// Parses JSON with comments. Fails if `text` is not a single JSON object (syntax errors state line and
    /// column), if it is nested too deeply, or if an object has a duplicate field.
    [[nodiscard]] static result<json_fields> parse(std::string_view text, std::string_view file, step at);

    /// Parses a JSON array of objects.
    [[nodiscard]] static result<std::vector<json_fields>> parse_list(std::string_view text,
                                                                     std::string_view file, step at);

    void read(std::string_view name, std::string& target, presence field_presence = presence::optional);
    void read(std::string_view name, bool& target, presence field_presence = presence::optional);
    void read(std::string_view name, double& target, double minimum, double maximum,
              presence field_presence = presence::optional);
    void read(std::string_view name, std::uint64_t& target, std::uint64_t minimum, std::uint64_t maximum,
              presence field_presence = presence::optional);
    /// Reads any unsigned integer type. `maximum` must be representable in `Number`.
    template <std::unsigned_integral Number>
    void read(std::string_view name, Number& target, std::uint64_t minimum, std::uint64_t maximum,
              presence field_presence = presence::optional) {
        std::uint64_t value = target;
        read(name, value, minimum, maximum, field_presence);
        target = static_cast<Number>(value);
    }
    /// Reads the field `<name>_ms`, an integer number of milliseconds.
    void read(std::string_view name, duration& target, duration minimum, duration maximum,
              presence field_presence = presence::optional);
    void read(std::string_view name, std::vector<std::string>& target,
              presence field_presence = presence::optional);
    /// Returns the objects of an array field; empty if the field is absent.
    [[nodiscard]] std::vector<json_fields> read_list(std::string_view name,
                                                     presence field_presence = presence::optional);

    /// Reads an enumerator of `Enum` by its name in `name_table`.
    template <typename Enum>
    void read_enum(std::string_view name, Enum& target, presence field_presence = presence::optional) {
        std::string text;
        read(name, text, field_presence);
        if (text.empty() || has_failed()) {
            return;
        }
        if (const auto value = parse_name<Enum>(text)) {
            target = *value;
            return;
        }
        refuse(name, allowed_names<Enum>());
    }

    /// Records an error for a field whose value is not allowed, unless there is an earlier error.
    void refuse(std::string_view name, std::string_view allowed);

    [[nodiscard]] bool has(std::string_view name) const;
    [[nodiscard]] bool has_failed() const noexcept;
    /// Path of this object in the file, such as "services[3]"; empty for the top-level object.
    [[nodiscard]] const std::string& path() const noexcept;
    /// Succeeds if every field of the object was read and valid.
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

/// Parses one JSON object into a `Target`; `read` reads its fields. Fails like `json_fields::parse` and
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
