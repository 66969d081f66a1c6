#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace samphiretray {

/// XXH3 hash of `text`; it is the same on all VMs and in all versions of the program.
[[nodiscard]] std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0) noexcept;

/// SHA-256 of `text` as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string sha256_hex(std::string_view text);

/// The first 64 bits of the SHA-256 of `parts`, each followed by a zero byte. Unlike with
/// `hash64`, nobody can make up a text with the digest of another one.
[[nodiscard]] std::uint64_t digest64(std::initializer_list<std::string_view> parts);

/// HMAC-SHA-256 of `text` with the key `secret` as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string hmac_sha256_hex(std::string_view secret, std::string_view text);

/// Compares secrets, or digests of them, in a time that depends only on their lengths.
[[nodiscard]] bool equal_in_constant_time(std::string_view left, std::string_view right) noexcept;

/// Returns `bytes` random bytes of OpenSSL's cryptographic generator as hexadecimal digits.
[[nodiscard]] std::string random_hex(std::size_t bytes);

} // namespace samphiretray
