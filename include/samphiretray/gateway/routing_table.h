#pragma once

#include "samphiretray/gateway/model.h"

#include <functional>
#include <string_view>
#include <unordered_map>

namespace samphiretray::gateway {

/// Indexed, immutable configuration. A request uses the table that was in force when it arrived.
class routing_table {
public:
    explicit routing_table(routing_state state);

    /// The route with the longest prefix of `path` among those of `host`, or null.
    [[nodiscard]] const route* match(std::string_view host, std::string_view path) const;
    /// The organisation with the key that has this SHA-256 digest, or null.
    [[nodiscard]] const organisation* find_organisation_by_key(const std::string& digest) const;
    [[nodiscard]] const service* find_service(std::string_view name) const;
    /// Chooses a service by weight. `draw` is a uniformly distributed 64-bit number.
    [[nodiscard]] static const std::string& choose_service(const route& from, std::uint64_t draw);

    [[nodiscard]] const routing_state& state() const noexcept { return state_; }
    [[nodiscard]] std::uint64_t version() const noexcept { return state_.version; }
    /// True if routes that are not public need the key of an organisation.
    [[nodiscard]] bool requires_keys() const noexcept {
        return state_.lists_organisations || !state_.organisations.empty();
    }

private:
    struct string_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept {
            return std::hash<std::string_view>{}(text);
        }
    };

    routing_state state_;
    /// Indexes of routes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>, string_hash, std::equal_to<>> routes_by_host_;
    std::unordered_map<std::string, std::size_t> organisations_by_key_;
};

} // namespace samphiretray::gateway
