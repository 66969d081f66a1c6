#include "samphiretray/wire/messages.h"

#include "fields.h"

#include <nlohmann/json.hpp>

#include <concepts>

namespace samphiretray::wire {

namespace {

using json = nlohmann::ordered_json;

/// Builds a JSON object from the fields of a structure, for nlohmann to serialise as a CBOR map.
class encoder {
public:
    template <typename T>
    void operator()(std::string_view name, const T& value) {
        put(name, to_json(value));
    }

    template <typename T>
    void operator()(std::string_view name, const std::optional<T>& value) {
        if (value) {
            put(name, to_json(*value));
        }
    }

    void bytes(std::string_view name, const std::string& value) {
        // With pointers of the vector's element type as the range, the bytes are copied in one block.
        const auto* first = reinterpret_cast<const std::uint8_t*>(value.data());
        put(name, json::binary(std::vector<std::uint8_t>{first, first + value.size()}));
    }

    [[nodiscard]] json take() { return std::move(object_); }

private:
    void put(std::string_view name, json value) {
        // Field names are unique, so the search of operator[] for an existing name is not needed.
        object_.get_ref<json::object_t&>().emplace_back(std::string{name}, std::move(value));
    }

    template <typename T>
    static json to_json(const T& value) {
        if constexpr (std::is_enum_v<T>) {
            return std::string{name_of(value)};
        } else if constexpr (std::integral<T> || std::same_as<T, std::string>) {
            return value;
        } else {
            encoder nested;
            visit_fields(nested, value);
            return nested.take();
        }
    }

    template <typename T>
    static json to_json(const std::vector<T>& values) {
        json list = json::array();
        for (const T& value : values) {
            list.push_back(to_json(value));
        }
        return list;
    }

    json object_ = json::object();
};

} // namespace

std::string encode(const message& value) {
    encoder fields;
    fields("t", std::string{type_names[value.index()]});
    std::visit([&fields](const auto& alternative) { visit_fields(fields, alternative); }, value);
    std::string frame;
    json::to_cbor(fields.take(), frame);
    return frame;
}

} // namespace samphiretray::wire
