#pragma once

#include "samphiretray/config/configuration.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// The stored form of a configuration: content-addressed chunks and a manifest that lists their digests.
namespace samphiretray::config {

inline constexpr std::string_view manifest_key = "config/manifest";

/// The key under which a chunk is stored.
[[nodiscard]] std::string chunk_key(std::string_view digest);

/// The digest that identifies a chunk: the first 128 bits of the SHA-256 of its text, in hexadecimal.
[[nodiscard]] std::string chunk_digest(std::string_view text);

/// Chunk texts by digest.
using chunk_map = std::map<std::string, std::string, std::less<>>;

struct manifest {
    /// Grows by one with each accepted edit.
    std::uint64_t revision = 0;
    /// Unique for each edit; shows whether a write took effect if its response was lost.
    std::string token;
    /// Tokens of the revisions before this one, newest first, at most `history_limit`. An editor whose own
    /// revision has been replaced by later ones still finds its token here.
    std::vector<std::string> history;
    std::string rules_chunk;
    std::string keys_chunk;
    /// Chunk `i` holds the adapters whose hash modulo the number of chunks is `i`.
    std::vector<std::string> inventory_chunks;

    static constexpr std::size_t history_limit = 32;

    /// Digests of all chunks, sorted and without duplicates.
    [[nodiscard]] std::vector<std::string> chunks() const;
};

[[nodiscard]] std::string to_text(const manifest& value);
/// Fails with `errc::invalid_argument` (step `configure`).
[[nodiscard]] result<manifest> parse_manifest(std::string_view text);

/// Number of inventory chunks for `rows` adapter versions: the power of two that minimises the total size of
/// one chunk and the manifest, which are what an edit of one adapter sends. Returns `current_count` (0 if
/// there are no chunks yet) unless it is off by more than a factor of four, because another count changes
/// every chunk.
[[nodiscard]] std::size_t inventory_chunk_count(std::size_t rows, std::size_t current_count);

struct chunked_configuration {
    /// Lists the chunks; the editor sets revision, token and history.
    config::manifest manifest;
    chunk_map chunks;
};

/// Serialises `value` into chunks. The order of rows and of list elements does not affect the result.
[[nodiscard]] chunked_configuration split_into_chunks(const configuration& value,
                                                      std::size_t inventory_chunks);

/// The inverse of `split_into_chunks`. Fails with `errc::not_found` if a chunk is missing and
/// `errc::invalid_argument` if a chunk does not match its digest or cannot be parsed (step `configure`).
[[nodiscard]] result<configuration> join_chunks(const manifest& source, const chunk_map& chunks);

} // namespace samphiretray::config
