#pragma once

#include "samphiretray/base/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Data model of the configuration that operators edit: the inventory and the rules.
namespace samphiretray::config {

enum class service_kind { engine, plain };

struct organisation {
    std::string name;
    /// Rate limit in tokens per second, over the whole fleet.
    std::uint64_t rate = 0;
    /// Tokens that may be used at once after an idle period (the capacity of the token bucket), over the
    /// whole fleet.
    std::uint64_t burst = 0;
    bool priority = false;
};

struct service {
    std::string name;
    service_kind kind = service_kind::engine;
    /// Set for engine services only.
    std::string base_model;
    /// True if requests need no API key.
    bool open = false;
    /// Plain services only: whether a call may be retried. False for calls such as orders and payments, which
    /// must not run twice.
    bool repeatable = true;
};

/// An API key of an organisation. Only its digest is stored, never the key itself.
struct key_grant {
    /// SHA-256 of the key, 64 hexadecimal digits.
    std::string digest;
    std::string organisation;
    /// Name that operators gave the key; appears in logs.
    std::string label;
};

/// States whether an endpoint checks fencing numbers.
struct endpoint_rule {
    std::string name;
    /// True if the endpoint refuses orders with an outdated fencing number.
    bool checks_fencing = false;
};

struct rules {
    std::vector<organisation> organisations;
    std::vector<service> services;
    std::vector<key_grant> keys;
    std::vector<endpoint_rule> endpoints;
};

/// One adapter version, as a row of the adapter register's export.
struct adapter_record {
    std::string adapter;
    std::string version;
    std::string organisation;
    std::string service;
    /// True for the version that serves requests that name no version.
    bool current = true;
};

using inventory = std::vector<adapter_record>;

} // namespace samphiretray::config

namespace samphiretray {

template <>
inline constexpr auto name_table<config::service_kind> =
    std::to_array<std::pair<config::service_kind, std::string_view>>({
        {config::service_kind::engine, "engine"},
        {config::service_kind::plain, "plain"},
    });

} // namespace samphiretray
