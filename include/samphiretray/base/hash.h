#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace samphiretray {

/// XXH3 hash of `text`; the same on every VM and in every version.
[[nodiscard]] std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0) noexcept;

/// SHA-256 of `text` as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string sha256_hex(std::string_view text);

/// HMAC-SHA-256 of `text` under `secret` as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string hmac_sha256_hex(std::string_view secret, std::string_view text);

/// Compares in time that depends on the lengths only, for secrets and digests of secrets.
[[nodiscard]] bool equal_in_constant_time(std::string_view left, std::string_view right) noexcept;

/// `bytes` bytes from the operating system's random source as hexadecimal digits.
[[nodiscard]] std::string random_hex(std::size_t bytes);

} // namespace samphiretray
