#include "samphiretray/wire/messages.h"

#include "cbor_value.h"
#include "fields.h"

#include <algorithm>
#include <concepts>
#include <limits>

namespace samphiretray::wire {

namespace {

/// Fills the fields of a structure from a CBOR map. Keeps the first error and skips the fields after it.
class decoder {
public:
    decoder(cbor_value& object, std::string path) : object_(object), path_(std::move(path)) {}

    template <typename T>
    void operator()(std::string_view name, T& field) {
        if (cbor_value* value = require(name)) {
            read(name, *value, field);
        }
    }

    template <typename T>
    void operator()(std::string_view name, std::optional<T>& field) {
        cbor_value* value = first_error_.empty() ? object_.find(name) : nullptr;
        if (value != nullptr) {
            read(name, *value, field.emplace());
        }
    }

    void bytes(std::string_view name, std::string& field) {
        cbor_value* value = require(name);
        if (value == nullptr) {
            return;
        }
        if (auto* given = std::get_if<cbor_value::byte_string>(&value->content)) {
            field = std::move(given->bytes);
        } else {
            fail(name, "is not a byte string");
        }
    }

    [[nodiscard]] const std::string& first_error() const noexcept { return first_error_; }

private:
    cbor_value* require(std::string_view name) {
        if (!first_error_.empty()) {
            return nullptr;
        }
        cbor_value* value = object_.find(name);
        if (value == nullptr) {
            fail(name, "is missing");
        }
        return value;
    }

    void fail(std::string_view name, std::string_view problem) {
        first_error_ = "field \"" + path_ + std::string{name} + "\" " + std::string{problem};
    }

    void read(std::string_view name, cbor_value& value, std::string& field) {
        if (auto* text = std::get_if<std::string>(&value.content)) {
            field = std::move(*text);
        } else {
            fail(name, "is not a text");
        }
    }

    void read(std::string_view name, cbor_value& value, bool& field) {
        if (const auto* given = std::get_if<bool>(&value.content)) {
            field = *given;
        } else {
            fail(name, "is not a boolean");
        }
    }

    template <std::unsigned_integral T>
    void read(std::string_view name, cbor_value& value, T& field) {
        const auto* number = std::get_if<std::uint64_t>(&value.content);
        if (number == nullptr || *number > std::numeric_limits<T>::max()) {
            fail(name, "is not a number from 0 to " + std::to_string(std::numeric_limits<T>::max()));
        } else {
            field = static_cast<T>(*number);
        }
    }

    template <typename T>
        requires std::is_enum_v<T>
    void read(std::string_view name, cbor_value& value, T& field) {
        const auto* text = std::get_if<std::string>(&value.content);
        const auto named = text == nullptr ? std::nullopt : parse_name<T>(*text);
        if (named) {
            field = *named;
        } else {
            fail(name, "has an unknown value");
        }
    }

    template <typename T>
    void read(std::string_view name, cbor_value& value, std::vector<T>& field) {
        auto* list = std::get_if<cbor_value::list>(&value.content);
        if (list == nullptr) {
            fail(name, "is not a list");
            return;
        }
        field.reserve(list->size());
        for (std::size_t i = 0; i < list->size() && first_error_.empty(); ++i) {
            read(std::string{name} + "[" + std::to_string(i) + "]", (*list)[i], field.emplace_back());
        }
    }

    template <typename T>
        requires std::is_class_v<T>
    void read(std::string_view name, cbor_value& value, T& field) {
        if (!std::holds_alternative<cbor_value::map>(value.content)) {
            fail(name, "is not a map");
            return;
        }
        decoder nested{value, path_ + std::string{name} + "."};
        visit_fields(nested, field);
        first_error_ = nested.first_error();
    }

    cbor_value& object_;
    std::string path_;
    std::string first_error_;
};

error malformed(std::string detail) {
    return make_error(errc::protocol_error, step::parse, "", std::move(detail));
}

template <std::size_t Index>
result<message> decode_as(cbor_value& frame) {
    std::variant_alternative_t<Index, message> decoded;
    decoder fields{frame, ""};
    visit_fields(fields, decoded);
    if (!fields.first_error().empty()) {
        return malformed("message \"" + std::string{type_names[Index]} + "\": " + fields.first_error());
    }
    return message{std::move(decoded)};
}

template <std::size_t... Indices>
result<message> decode_type(std::size_t index, cbor_value& frame, std::index_sequence<Indices...>) {
    using decode_function = result<message> (*)(cbor_value&);
    constexpr auto functions = std::to_array<decode_function>({decode_as<Indices>...});
    return functions[index](frame);
}

} // namespace

result<message> decode(std::string_view frame) {
    auto parsed = parse_cbor(frame);
    if (!parsed) {
        return malformed("the frame is not one CBOR item within the limits");
    }
    const cbor_value* type = parsed->find("t");
    const auto* name = type == nullptr ? nullptr : std::get_if<std::string>(&type->content);
    if (name == nullptr) {
        return malformed("field \"t\" is missing or is not a text");
    }
    const auto* const found = std::ranges::find(type_names, *name);
    if (found == type_names.end()) {
        return malformed("field \"t\" has an unknown value");
    }
    return decode_type(static_cast<std::size_t>(found - type_names.begin()), *parsed,
                       std::make_index_sequence<type_names.size()>{});
}

} // namespace samphiretray::wire
