#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace samphiretray {

/// XXH3 hash of `text`; the same on every VM and in every version.
[[nodiscard]] std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0) noexcept;

/// SHA-256 of `text` as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string sha256_hex(std::string_view text);

/// `bytes` bytes from the operating system's random source as hexadecimal digits.
[[nodiscard]] std::string random_hex(std::size_t bytes);

} // namespace samphiretray
