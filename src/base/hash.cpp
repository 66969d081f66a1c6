#include "samphiretray/base/hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <cstring>
#include <memory>
#include <span>
#include <stdexcept>
#include <vector>

namespace samphiretray {

namespace {

std::string to_hex(std::span<const unsigned char> bytes) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        text += digits[byte >> 4U];
        text += digits[byte & 0xFU];
    }
    return text;
}

} // namespace

std::uint64_t hash64(std::string_view text, std::uint64_t seed) noexcept {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string sha256_hex(std::string_view text) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return to_hex(std::span{digest}.first(size));
}

std::uint64_t digest64(std::initializer_list<std::string_view> parts) {
    constexpr unsigned char separator = 0;
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context{EVP_MD_CTX_new(), EVP_MD_CTX_free};
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view part : parts) {
        EVP_DigestUpdate(context.get(), part.data(), part.size());
        EVP_DigestUpdate(context.get(), &separator, sizeof(separator));
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
    std::uint64_t value = 0;
    std::memcpy(&value, digest.data(), sizeof(value));
    return value;
}

std::string hmac_sha256_hex(std::string_view secret, std::string_view text) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    const std::string bytes{text};
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data(), &size);
    return to_hex(std::span{digest}.first(size));
}

bool equal_in_constant_time(std::string_view left, std::string_view right) noexcept {
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string random_hex(std::size_t bytes) {
    std::vector<unsigned char> buffer(bytes);
    if (RAND_bytes(buffer.data(), static_cast<int>(bytes)) != 1) {
        throw std::runtime_error("OpenSSL's random generator RAND_bytes failed");
    }
    return to_hex(buffer);
}

} // namespace samphiretray
