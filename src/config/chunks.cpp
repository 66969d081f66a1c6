#include "samphiretray/config/chunks.h"

#include "samphiretray/base/hash.h"
#include "samphiretray/base/json_fields.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <ranges>
#include <set>
#include <tuple>

namespace samphiretray::config {

namespace {

using presence = json_fields::presence;

// 128 bits, in hexadecimal digits: enough to rule out accidental collisions, and short enough to keep the
// manifest small.
constexpr std::size_t digest_length = 32;
// A change of one adapter sends the manifest (35 bytes per chunk) and one chunk (about 36 bytes per row). The
// sum is smallest when the number of chunks is about the square root of the number of rows. With this factor
// the number of chunks, a power of two, lies between half that root and the root.
constexpr std::size_t rows_per_squared_chunk_count = 4;
// Gives a manifest of 18 kB; the key-value service accepts values of at most one megabyte.
constexpr std::size_t max_inventory_chunks = 512;
constexpr std::string_view chunk_header = "adapter,version,organisation,service,current\n";

template <typename T, typename Projection>
std::vector<T> sorted(std::vector<T> values, Projection projection) {
    std::ranges::sort(values, {}, projection);
    return values;
}

std::string rules_text(const rules& value) {
    rules part;
    part.organisations = sorted(value.organisations, &organisation::name);
    part.services = sorted(value.services, &service::name);
    part.endpoints = sorted(value.endpoints, &endpoint_rule::name);
    return to_json(part);
}

std::string keys_text(const rules& value) {
    rules part;
    part.keys = sorted(value.keys, &key_grant::digest);
    return to_json(part);
}

/// Valid names contain no commas or quotes, so CSV quoting is not needed.
void append_row(std::string& text, const adapter_record& row) {
    text += row.adapter + ',' + row.version + ',' + row.organisation + ',' + row.service + ',';
    text += row.current ? "1\n" : "0\n";
}

std::vector<std::string> inventory_texts(const inventory& rows, std::size_t count) {
    std::vector<const adapter_record*> ordered;
    ordered.reserve(rows.size());
    std::ranges::transform(rows, std::back_inserter(ordered), [](const auto& row) { return &row; });
    std::ranges::sort(ordered, {},
                      [](const adapter_record* row) { return std::tie(row->adapter, row->version); });
    std::vector<std::string> texts(count, std::string{chunk_header});
    for (const adapter_record* row : ordered) {
        append_row(texts[hash64(row->adapter) % count], *row);
    }
    return texts;
}

std::string add_chunk(chunk_map& chunks, std::string text) {
    std::string digest = chunk_digest(text);
    chunks.emplace(digest, std::move(text));
    return digest;
}

error configure_error(errc code, std::string detail) {
    return make_error(code, step::configure, {}, std::move(detail));
}

/// The text of a chunk, if it is present and matches its digest.
result<std::string_view> find_chunk(const chunk_map& chunks, const std::string& digest) {
    const auto found = chunks.find(digest);
    if (found == chunks.end()) {
        return configure_error(errc::not_found, "chunk " + digest + " is missing");
    }
    if (chunk_digest(found->second) != digest) {
        return configure_error(errc::invalid_argument, "chunk " + digest + " differs from its digest");
    }
    return std::string_view{found->second};
}

result<rules> join_rules(const manifest& source, const chunk_map& chunks) {
    const auto rules_chunk = find_chunk(chunks, source.rules_chunk);
    if (!rules_chunk) {
        return rules_chunk.error();
    }
    const auto keys_chunk = find_chunk(chunks, source.keys_chunk);
    if (!keys_chunk) {
        return keys_chunk.error();
    }
    auto joined = parse_rules(*rules_chunk, "rules chunk");
    auto keys = parse_rules(*keys_chunk, "keys chunk");
    if (!joined || !keys) {
        return joined ? keys : joined;
    }
    joined->keys = std::move(keys->keys);
    return joined;
}

bool is_digest(std::string_view text) {
    const auto is_digit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == digest_length && std::ranges::all_of(text, is_digit);
}

} // namespace

std::string chunk_key(std::string_view digest) {
    return "config/chunk/" + std::string{digest};
}

std::string chunk_digest(std::string_view text) {
    return sha256_hex(text).substr(0, digest_length);
}

std::vector<std::string> manifest::chunks() const {
    std::vector<std::string> all{rules_chunk, keys_chunk};
    all.insert(all.end(), inventory_chunks.begin(), inventory_chunks.end());
    std::ranges::sort(all);
    all.erase(std::ranges::unique(all).begin(), all.end());
    return all;
}

std::string to_text(const manifest& value) {
    const nlohmann::ordered_json object{
        {"revision", value.revision},     {"token", value.token},
        {"history", value.history},       {"rules_chunk", value.rules_chunk},
        {"keys_chunk", value.keys_chunk}, {"inventory_chunks", value.inventory_chunks}};
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<manifest> parse_manifest(std::string_view text) {
    auto fields = json_fields::parse(text, "manifest", step::configure);
    if (!fields) {
        return fields.error();
    }
    manifest parsed;
    fields->read("revision", parsed.revision, 1, std::numeric_limits<std::uint64_t>::max() - 1,
                 presence::required);
    fields->read("token", parsed.token, presence::required);
    fields->read("history", parsed.history, presence::required);
    fields->read("rules_chunk", parsed.rules_chunk, presence::required);
    fields->read("keys_chunk", parsed.keys_chunk, presence::required);
    fields->read("inventory_chunks", parsed.inventory_chunks, presence::required);
    if (const auto done = fields->finish(); !done) {
        return done.error();
    }
    if (!std::ranges::all_of(parsed.chunks(), is_digest)) {
        return configure_error(errc::invalid_argument, "the manifest names a chunk that is not a digest");
    }
    return parsed;
}

std::size_t inventory_chunk_count(std::size_t rows, std::size_t current_count) {
    std::size_t wanted = 1;
    while (wanted * wanted * rows_per_squared_chunk_count < rows && wanted < max_inventory_chunks) {
        wanted *= 2;
    }
    const bool is_close = current_count != 0 && current_count <= wanted * 4 && wanted <= current_count * 4;
    return is_close ? current_count : wanted;
}

chunked_configuration split_into_chunks(const configuration& value, std::size_t inventory_chunks) {
    chunked_configuration parts;
    parts.manifest.rules_chunk = add_chunk(parts.chunks, rules_text(value.rules));
    parts.manifest.keys_chunk = add_chunk(parts.chunks, keys_text(value.rules));
    for (std::string& text : inventory_texts(value.inventory, inventory_chunks)) {
        parts.manifest.inventory_chunks.push_back(add_chunk(parts.chunks, std::move(text)));
    }
    return parts;
}

result<configuration> join_chunks(const manifest& source, const chunk_map& chunks) {
    auto joined_rules = join_rules(source, chunks);
    if (!joined_rules) {
        return joined_rules.error();
    }
    configuration joined{*std::move(joined_rules), {}};
    for (const std::string& digest : source.inventory_chunks) {
        const auto text = find_chunk(chunks, digest);
        if (!text) {
            return text.error();
        }
        auto rows = parse_inventory(*text, "inventory chunk");
        if (!rows) {
            return rows.error();
        }
        std::ranges::move(*rows, std::back_inserter(joined.inventory));
    }
    return joined;
}

} // namespace samphiretray::config
