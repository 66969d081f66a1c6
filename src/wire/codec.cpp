#include "samphiretray/wire/messages.h"

#include <nlohmann/json.hpp>

#include <concepts>
#include <limits>
#include <type_traits>
#include <utility>

namespace samphiretray::wire {

namespace {

using nlohmann::json;

/// Thrown inside this file only; `decode` turns it into an error.
struct bad_field {
    std::string name;
};

// Each message lists its fields once, for both directions. `fields` is called with a name and a member.

template <typename Fields>
void visit(Fields& fields, load_report& value) {
    fields("running", value.running);
    fields("queued", value.queued);
    fields("slots", value.slots);
    fields("slots_pinned", value.slots_pinned);
    fields("capacity", value.capacity);
    fields("wait_ms", value.wait_ms);
}

template <typename Fields>
void visit(Fields& fields, hello& value) {
    fields("peer", value.peer);
    fields("role", value.kind);
    fields("region", value.region);
    fields("data_centre", value.data_centre);
    fields("incarnation", value.incarnation);
    fields("nonce", value.nonce);
    fields("cluster_proof", value.cluster_proof);
}

template <typename Fields>
void visit(Fields& fields, request_open& value) {
    fields("request", value.request);
    fields("attempt", value.attempt);
    fields("request_id", value.request_id);
    fields("organisation", value.organisation);
    fields("service", value.service);
    fields("adapter", value.adapter);
    fields("version", value.version);
    fields("priority", value.priority);
    fields("idempotent", value.idempotent);
    fields("streamed", value.streamed);
    fields("deadline_ms", value.deadline_ms);
    fields("tokens", value.tokens);
    fields("method", value.method);
    fields("path", value.path);
    fields("content_type", value.content_type);
    fields.bytes("body", value.body);
}

template <typename Fields>
void visit(Fields& fields, request_cancel& value) {
    fields("request", value.request);
    fields("attempt", value.attempt);
}

template <typename Fields>
void visit(Fields& fields, answer_head& value) {
    fields("request", value.request);
    fields("attempt", value.attempt);
    fields("status", value.status);
    fields("content_type", value.content_type);
    fields("adapter", value.adapter);
    fields("version", value.version);
    fields("cold", value.cold);
    fields("load", value.load);
}

template <typename Fields>
void visit(Fields& fields, answer_data& value) {
    fields("request", value.request);
    fields("attempt", value.attempt);
    fields("offset", value.offset);
    fields.bytes("bytes", value.bytes);
}

template <typename Fields>
void visit(Fields& fields, answer_end& value) {
    fields("request", value.request);
    fields("attempt", value.attempt);
    fields("whole", value.whole);
    fields("length", value.length);
    fields("tokens", value.tokens);
    fields("reason", value.reason);
    fields("load", value.load);
}

template <typename Fields>
void visit(Fields& fields, request_refused& value) {
    fields("request", value.request);
    fields("attempt", value.attempt);
    fields("reason", value.reason);
    fields("forwarded", value.forwarded);
    fields("retry_after_ms", value.retry_after_ms);
    fields("detail", value.detail);
    fields("load", value.load);
}

template <typename Fields>
void visit(Fields& fields, state_pull& value) {
    fields("round", value.round);
    fields("revision", value.revision);
}

template <typename Fields>
void visit(Fields& fields, region_evidence& value) {
    fields("region", value.region);
    fields("contact_age_ms", value.contact_age_ms);
    fields("failure_age_ms", value.failure_age_ms);
}

template <typename Fields>
void visit(Fields& fields, leaving_vm& value) {
    fields("vm", value.vm);
    fields("incarnation", value.incarnation);
}

template <typename Fields>
void visit(Fields& fields, state_reply& value) {
    fields("round", value.round);
    fields("revision", value.revision);
    fields("contact_age_ms", value.contact_age_ms);
    fields("regions", value.regions);
    fields("leaving", value.leaving);
}

template <typename Fields>
void visit(Fields& fields, config_request& value) {
    fields("revision", value.revision);
    fields("chunks", value.chunks);
}

template <typename Fields>
void visit(Fields& fields, config_chunk& value) {
    fields("digest", value.digest);
    fields.bytes("text", value.text);
}

template <typename Fields>
void visit(Fields& fields, config_reply& value) {
    fields("revision", value.revision);
    fields.bytes("manifest", value.manifest);
    fields("chunks", value.chunks);
}

template <typename Fields>
void visit(Fields& fields, grant_request& value) {
    fields("round", value.round);
    fields("organisation", value.organisation);
    fields("tokens", value.tokens);
    fields("demand", value.demand);
    fields("returned", value.returned);
    fields("held", value.held);
    fields("least", value.least);
}

template <typename Fields>
void visit(Fields& fields, grant_reply& value) {
    fields("round", value.round);
    fields("organisation", value.organisation);
    fields("tokens", value.tokens);
    fields("valid_ms", value.valid_ms);
    fields("issuer", value.issuer);
    fields("retry_after_ms", value.retry_after_ms);
}

template <typename Fields>
void visit(Fields& fields, permit_request& value) {
    fields("round", value.round);
    fields("endpoint", value.endpoint);
    fields("adapter", value.adapter);
    fields("version", value.version);
    fields("priority", value.priority);
    fields("waiting", value.waiting);
}

template <typename Fields>
void visit(Fields& fields, permit_reply& value) {
    fields("round", value.round);
    fields("granted", value.granted);
    fields("issuer", value.issuer);
    fields("valid_ms", value.valid_ms);
}

template <typename Fields>
void visit(Fields& fields, permit_cancel& value) {
    fields("round", value.round);
}

template <typename Fields>
void visit(Fields& fields, permit_done& value) {
    fields("round", value.round);
    fields("loaded", value.loaded);
}

template <typename Message>
inline constexpr const char* type_name = nullptr;
template <>
inline constexpr const char* type_name<hello> = "hello";
template <>
inline constexpr const char* type_name<request_open> = "open";
template <>
inline constexpr const char* type_name<request_cancel> = "cancel";
template <>
inline constexpr const char* type_name<answer_head> = "head";
template <>
inline constexpr const char* type_name<answer_data> = "data";
template <>
inline constexpr const char* type_name<answer_end> = "end";
template <>
inline constexpr const char* type_name<request_refused> = "refused";
template <>
inline constexpr const char* type_name<state_pull> = "state_pull";
template <>
inline constexpr const char* type_name<state_reply> = "state_reply";
template <>
inline constexpr const char* type_name<config_request> = "config_request";
template <>
inline constexpr const char* type_name<config_reply> = "config_reply";
template <>
inline constexpr const char* type_name<grant_request> = "grant_request";
template <>
inline constexpr const char* type_name<grant_reply> = "grant_reply";
template <>
inline constexpr const char* type_name<permit_request> = "permit_request";
template <>
inline constexpr const char* type_name<permit_reply> = "permit_reply";
template <>
inline constexpr const char* type_name<permit_cancel> = "permit_cancel";
template <>
inline constexpr const char* type_name<permit_done> = "permit_done";

class writer {
public:
    template <typename T>
    void operator()(const char* name, T& value) {
        target_[name] = to_json(value);
    }

    template <typename T>
    void operator()(const char* name, std::optional<T>& value) {
        if (value) {
            target_[name] = *value;
        }
    }

    void bytes(const char* name, std::string& value) {
        target_[name] = json::binary(std::vector<std::uint8_t>(value.begin(), value.end()));
    }

    [[nodiscard]] json take() { return std::move(target_); }

private:
    template <typename T>
    static json to_json(T& value) {
        if constexpr (std::is_enum_v<T>) {
            return name_of(value);
        } else if constexpr (std::is_arithmetic_v<T> || std::same_as<T, std::string> ||
                             std::same_as<T, std::vector<std::string>>) {
            return value;
        } else if constexpr (requires { value.begin(); }) {
            json list = json::array();
            for (auto& each : value) {
                list.push_back(to_json(each));
            }
            return list;
        } else {
            writer nested;
            visit(nested, value);
            return nested.take();
        }
    }

    json target_ = json::object();
};

class reader {
public:
    explicit reader(json& source) : source_(source) {
        if (!source.is_object()) {
            throw bad_field{"message"};
        }
    }

    template <typename T>
    void operator()(const char* name, T& value) {
        from_json(name, required(name), value);
    }

    template <typename T>
    void operator()(const char* name, std::optional<T>& value) {
        if (const auto found = source_.find(name); found != source_.end()) {
            from_json(name, *found, value.emplace());
        }
    }

    void bytes(const char* name, std::string& value) {
        const json& found = required(name);
        if (!found.is_binary()) {
            throw bad_field{name};
        }
        const auto& binary = found.get_binary();
        value.assign(binary.begin(), binary.end());
    }

private:
    [[nodiscard]] json& required(const char* name) {
        const auto found = source_.find(name);
        if (found == source_.end()) {
            throw bad_field{name};
        }
        return *found;
    }

    static void from_json(const char* name, json& found, std::string& value) {
        if (!found.is_string()) {
            throw bad_field{name};
        }
        value = std::move(found.get_ref<std::string&>());
    }

    static void from_json(const char* name, json& found, bool& value) {
        if (!found.is_boolean()) {
            throw bad_field{name};
        }
        value = found.get<bool>();
    }

    template <std::unsigned_integral T>
    static void from_json(const char* name, json& found, T& value) {
        if (!found.is_number_unsigned() || found.get<std::uint64_t>() > std::numeric_limits<T>::max()) {
            throw bad_field{name};
        }
        value = found.get<T>();
    }

    template <typename T>
        requires std::is_enum_v<T>
    static void from_json(const char* name, json& found, T& value) {
        const auto parsed =
            found.is_string() ? parse_name<T>(found.get_ref<const std::string&>()) : std::optional<T>{};
        if (!parsed) {
            throw bad_field{name};
        }
        value = *parsed;
    }

    template <typename T>
    static void from_json(const char* name, json& found, std::vector<T>& value) {
        if (!found.is_array()) {
            throw bad_field{name};
        }
        value.reserve(found.size());
        for (json& each : found) {
            from_json(name, each, value.emplace_back());
        }
    }

    template <typename T>
        requires std::is_class_v<T>
    static void from_json(const char* /*name*/, json& found, T& value) {
        reader nested{found};
        visit(nested, value);
    }

    json& source_;
};

error decode_error(const std::string& detail) {
    return make_error(errc::protocol_error, step::parse, "", detail);
}

template <typename Message>
bool decode_as(const std::string& type, json& body, message& target) {
    if (type != type_name<Message>) {
        return false;
    }
    Message value;
    reader fields{body};
    visit(fields, value);
    target = std::move(value);
    return true;
}

template <typename... Messages>
bool decode_any(const std::string& type, json& body, std::variant<Messages...>& target) {
    return (decode_as<Messages>(type, body, target) || ...);
}

} // namespace

std::string encode(const message& value) {
    return std::visit(
        [](auto copy) {
            writer fields;
            visit(fields, copy);
            json body = fields.take();
            body["t"] = type_name<decltype(copy)>;
            std::string frame;
            json::to_cbor(body, frame);
            return frame;
        },
        value);
}

result<message> decode(std::string_view frame) {
    json body = json::from_cbor(frame.begin(), frame.end(), true, false);
    if (!body.is_object()) {
        return decode_error("the frame is not a CBOR map");
    }
    const auto type = body.find("t");
    if (type == body.end() || !type->is_string()) {
        return decode_error("field t: expected the type of the message");
    }
    try {
        message target;
        if (!decode_any(type->get<std::string>(), body, target)) {
            return decode_error("field t: unknown message type");
        }
        return target;
    } catch (const bad_field& bad) {
        return decode_error("field " + bad.name + ": missing, of another type or out of range");
    }
}

} // namespace samphiretray::wire
