#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/base/name_table.h"
#include "samphiretray/base/time.h"
#include "samphiretray/net/address.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::standins {

enum class source_kind { completions, orders, calls };

struct load_adapter {
    std::string adapter;
    std::string version;
    std::string organisation;
    bool current = true;
};

/// Requests of one kind from one organisation.
struct load_source {
    source_kind kind = source_kind::completions;
    std::string organisation;
    /// Empty for open routes.
    std::string key;
    /// Requests a second, with exponentially distributed gaps.
    double rate = 1;
    /// Time from the start of the run in which requests are sent.
    duration begin{0};
    std::optional<duration> end;
    /// Answers that end later than this are wrong; for tests of revoked keys.
    std::optional<duration> expect_refused_after;

    /// Completions: exponent of the adapters' popularity, and the time after which it moves to others.
    double zipf = 1.1;
    duration shift_every{0};
    /// Number of adapters used; 0 for all of the organisation.
    std::size_t adapters = 0;
    /// Shares of requests that are streamed, use the chat form, name a version, and ask for an adapter of
    /// another organisation, which must be refused.
    double stream = 0.5;
    double chat = 0.25;
    double pinned = 0.5;
    double foreign = 0;
    std::uint32_t max_tokens = 32;
    std::uint32_t prompt_words = 40;
    /// Leading words that all prompts for an adapter share.
    std::uint32_t shared_words = 24;

    /// Orders and calls.
    std::string path;
    bool idempotency_keys = false;
    /// Sends of an order with an idempotency key until its outcome is known.
    std::uint32_t attempts = 1;
};

struct load_plan {
    std::vector<net::address> targets;
    std::vector<load_source> sources;
    std::vector<load_adapter> adapters;
    /// Order servers whose run counts are compared with the answers at the end.
    std::vector<net::address> order_servers;
    std::uint64_t seed = 1;
    duration length = 10s;
    /// Number of requests; 0 for no limit.
    std::uint64_t count = 0;
    duration timeout = 30s;
    /// Requests in flight at most; more are skipped and counted.
    std::size_t max_in_flight = 2000;
};

/// Parses a plan: JSON with comments. `inventory` is the text of the inventory that the plan's field
/// `inventory` names; empty if there is none.
[[nodiscard]] result<load_plan> parse_load_plan(std::string_view text, std::string_view inventory);

/// The file that the plan's field `inventory` names, or an empty name.
[[nodiscard]] std::string inventory_file_of(std::string_view plan_text);

} // namespace samphiretray::standins

namespace samphiretray {

template <>
inline constexpr auto name_table<standins::source_kind> =
    std::to_array<std::pair<standins::source_kind, std::string_view>>({
        {standins::source_kind::completions, "completions"},
        {standins::source_kind::orders, "orders"},
        {standins::source_kind::calls, "calls"},
    });

} // namespace samphiretray
