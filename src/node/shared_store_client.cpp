#include "samphiretray/node/shared_store_client.h"

#include "samphiretray/base/base64.h"

#include <nlohmann/json.hpp>

namespace samphiretray::node {

namespace {

using json = nlohmann::json;

std::optional<ports::store_change> read_change(const json& row) {
    const bool is_row = row.is_array() && row.size() == 3 && row[0].is_string() &&
                        row[1].is_number_unsigned() && (row[2].is_string() || row[2].is_null());
    if (!is_row) {
        return std::nullopt;
    }
    ports::store_change change{row[0], std::nullopt, row[1]};
    if (row[2].is_string()) {
        change.value = from_base64(row[2].get_ref<const std::string&>());
        if (!change.value) {
            return std::nullopt;
        }
    }
    return change;
}

} // namespace

std::string encode(const replica_update& update) {
    json rows = json::array();
    for (const ports::store_change& each : update.changes.changes) {
        rows.push_back({each.key, each.revision, each.value ? json(to_base64(*each.value)) : json(nullptr)});
    }
    return json{{"revision", update.changes.revision},
                {"era", update.changes.era},
                {"age_ms", milliseconds_in(update.age)},
                {"rows", rows}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

result<replica_update> decode_replica_update(std::string_view text, std::string_view peer) {
    const auto refused = [peer] {
        return make_error(errc::protocol_error, step::parse, std::string{peer}, "not a valid replica update");
    };
    const json parsed = json::parse(text, nullptr, false);
    const bool is_update = parsed.is_object() && parsed.contains("revision") &&
                           parsed["revision"].is_number_unsigned() && parsed.contains("age_ms") &&
                           parsed["age_ms"].is_number_unsigned() && parsed.contains("rows") &&
                           parsed["rows"].is_array();
    if (!is_update) {
        return refused();
    }
    replica_update update;
    update.changes.revision = parsed["revision"];
    const json era = parsed.value("era", json(0U));
    if (!era.is_number_unsigned()) {
        return refused();
    }
    update.changes.era = era;
    update.age = std::chrono::milliseconds{parsed["age_ms"].get<std::uint32_t>()};
    for (const json& row : parsed["rows"]) {
        auto change = read_change(row);
        if (!change) {
            return refused();
        }
        update.changes.changes.push_back(*std::move(change));
    }
    return update;
}

} // namespace samphiretray::node
