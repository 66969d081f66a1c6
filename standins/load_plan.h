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

struct plan_adapter {
    std::string adapter;
    std::string version;
    std::string organisation;
    bool current = true;
};

/// A stream of generated requests of one kind from one organisation.
struct traffic_source {
    source_kind kind = source_kind::completions;
    std::string organisation;
    /// API key; empty for routes that need none.
    std::string key;
    /// Mean requests per second; the gaps are exponentially distributed.
    double rate = 1;
    /// Requests are sent from `begin` to `end`, both measured from the start of the run; without `end`, until
    /// the end of the run.
    duration begin{0};
    std::optional<duration> end;
    /// Requests that are answered later than this count as wrong; for tests of revoked keys.
    std::optional<duration> expect_refused_after;

    /// The fields from here to `shared_words` are for completions. Zipf exponent of the adapters' popularity,
    /// and the interval after which other adapters become the popular ones.
    double zipf = 1.1;
    duration shift_every{0};
    /// Number of adapters used; 0 for all of the organisation.
    std::size_t adapters = 0;
    /// Shares of the requests that are streamed, use the chat API, name a version, and name an adapter of
    /// another organisation, which must be refused.
    double stream = 0.5;
    double chat = 0.25;
    double pinned = 0.5;
    double foreign = 0;
    std::uint32_t max_tokens = 32;
    std::uint32_t prompt_words = 40;
    /// Number of leading words that all prompts for an adapter share.
    std::uint32_t shared_words = 24;

    /// The fields from here on are for orders and calls.
    std::string path;
    bool idempotency_keys = false;
    /// Maximum number of times that an order with an idempotency key is sent while its outcome is unknown.
    std::uint32_t attempts = 1;
};

struct load_plan {
    std::vector<net::address> targets;
    std::vector<traffic_source> sources;
    std::vector<plan_adapter> adapters;
    /// Order servers whose run counts are compared with the responses after the run.
    std::vector<net::address> order_servers;
    std::uint64_t seed = 1;
    duration length = 10s;
    /// Number of requests; 0 for no limit.
    std::uint64_t count = 0;
    duration timeout = 30s;
    /// Maximum number of requests in flight; further ones are skipped and counted.
    std::size_t max_in_flight = 2000;
};

/// Parses a plan, which is JSON with comments. `inventory` is the content of the file that the plan's field
/// `inventory` names; empty if there is none.
[[nodiscard]] result<load_plan> parse_load_plan(std::string_view text, std::string_view inventory);

/// The file name in the plan's field `inventory`; empty if there is none.
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
