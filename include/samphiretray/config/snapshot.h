#pragma once

#include "samphiretray/config/configuration.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::config {

/// An adapter version in a snapshot. Its views and pointers are valid as long as the snapshot lives.
struct adapter_entry {
    std::string_view adapter;
    std::string_view version;
    const config::organisation* organisation = nullptr;
    const config::service* service = nullptr;
    bool current = false;
};

/// An API key in a snapshot. Its view and pointer are valid as long as the snapshot lives.
struct key_entry {
    const config::organisation* organisation = nullptr;
    std::string_view label;
};

/// An immutable configuration in compact tables for lookups: names are interned, and rows refer to
/// organisations and services by index.
class snapshot {
public:
    /// Precondition: `validate(value)` succeeds.
    [[nodiscard]] static snapshot build(std::uint64_t revision, const configuration& value);

    snapshot(const snapshot&) = delete;
    snapshot& operator=(const snapshot&) = delete;
    snapshot(snapshot&&) = default;
    snapshot& operator=(snapshot&&) = default;
    ~snapshot() = default;

    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

    /// `digest` is the SHA-256 of the key as 64 lower-case hexadecimal digits.
    [[nodiscard]] std::optional<key_entry> find_key(std::string_view digest) const;
    [[nodiscard]] const organisation* find_organisation(std::string_view name) const;
    [[nodiscard]] const service* find_service(std::string_view name) const;
    /// Null if there is no rule for the endpoint.
    [[nodiscard]] const endpoint_rule* find_endpoint(std::string_view name) const;
    /// An empty `version` selects the current one.
    [[nodiscard]] std::optional<adapter_entry> find_adapter(std::string_view adapter,
                                                            std::string_view version = {}) const;

    [[nodiscard]] std::span<const organisation> organisations() const noexcept { return organisations_; }
    [[nodiscard]] std::span<const service> services() const noexcept { return services_; }
    /// Number of adapter versions.
    [[nodiscard]] std::size_t adapter_count() const noexcept { return adapters_.size(); }
    /// Memory of the packed tables in bytes, without the strings that rows of organisations, services and
    /// endpoints allocate themselves.
    [[nodiscard]] std::size_t memory_bytes() const noexcept;

private:
    using digest_bytes = std::array<std::uint8_t, 32>;

    /// Position of a name in `names_`.
    struct name_range {
        std::uint32_t offset = 0;
        std::uint32_t length = 0;
    };
    struct packed_key {
        digest_bytes digest{};
        std::uint32_t organisation = 0;
        name_range label;
    };
    /// Row of `adapters_`, which is sorted by adapter, then version.
    struct packed_adapter {
        name_range adapter;
        name_range version;
        std::uint16_t organisation = 0;
        std::uint16_t service = 0;
        bool current = false;
    };
    struct builder;

    snapshot() = default;
    [[nodiscard]] std::string_view name_at(name_range range) const noexcept;
    [[nodiscard]] adapter_entry unpack(const packed_adapter& row) const;

    std::uint64_t revision_ = 0;
    std::string names_;
    std::vector<organisation> organisations_;
    std::vector<service> services_;
    std::vector<endpoint_rule> endpoints_;
    std::vector<packed_key> keys_;
    std::vector<packed_adapter> adapters_;
};

} // namespace samphiretray::config
