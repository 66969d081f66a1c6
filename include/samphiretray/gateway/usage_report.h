#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/gateway/crash_report.h"
#include "samphiretray/rate/fleet_rate_limiter.h"
#include "samphiretray/rate/named_limit.h"

#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::gateway {

/// What one entry reports to its peers: its token usage and what it knows about crashes of servers.
struct usage_report {
    std::string vm;
    /// Changes with every start of the process.
    std::string incarnation;
    /// Version of the configuration in force.
    std::uint64_t configuration_version = 0;
    std::vector<rate::spent_tokens> spent;
    /// Newer than the revision that the peer has named.
    routing::crash_evidence crashes = {};
    std::vector<rate::limit_observation> limits = {};
    /// Newer than the revision that the peer has named.
    routing::request_evidence requests = {};
};

/// JSON form of a report.
[[nodiscard]] std::string encode(const usage_report& report);
/// Fails with `protocol_error` if `text` is not a report.
[[nodiscard]] result<usage_report> decode_usage_report(std::string_view text, std::string_view peer);

} // namespace samphiretray::gateway
