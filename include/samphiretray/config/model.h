#pragma once

#include "samphiretray/base/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What operators edit: the inventory and the rules.
namespace samphiretray::config {

enum class service_kind { engine, plain };

struct organisation {
    std::string name;
    /// Tokens a second, over the whole fleet.
    std::uint64_t rate = 0;
    /// Tokens that may be used at once after a pause, over the whole fleet.
    std::uint64_t burst = 0;
    bool priority = false;
};

struct service {
    std::string name;
    service_kind kind = service_kind::engine;
    /// Engines only.
    std::string base_model;
    /// True if requests need no key.
    bool open = false;
    /// Plain services only: whether a call may be repeated. False for orders and payments.
    bool repeatable = true;
};

/// A granted key. Keys themselves are never stored.
struct key_grant {
    /// SHA-256 of the key, 64 hexadecimal digits.
    std::string digest;
    std::string organisation;
    /// Operators' name of the key; appears in logs.
    std::string label;
};

/// An endpoint whose treatment of fencing numbers is known.
struct endpoint_rule {
    std::string name;
    /// True if the endpoint refuses orders with an old fencing number.
    bool checks_fencing = false;
};

struct rules {
    std::vector<organisation> organisations;
    std::vector<service> services;
    std::vector<key_grant> keys;
    std::vector<endpoint_rule> endpoints;
};

/// One adapter version of the register's export.
struct adapter_record {
    std::string adapter;
    std::string version;
    std::string organisation;
    std::string service;
    /// True for the version that a request gets if it names none.
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
