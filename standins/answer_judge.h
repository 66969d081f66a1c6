#pragma once

#include "samphiretray/base/name_table.h"

#include "standins/answer_reader.h"
#include "standins/load_schedule.h"

#include <string>

namespace samphiretray::standins {

enum class outcome {
    answered,
    /// Refused with the guarantee that the request did not run.
    not_run,
    /// An error response after which the request may or may not have run.
    unknown,
    /// The connection broke or timed out.
    broken,
    /// The response violates a guarantee of the system.
    wrong,
};

struct check_result {
    outcome kind = outcome::answered;
    /// "<status>/<code>" of an error response, or the reason; empty for `answered`.
    std::string detail;
};

/// Whether requests go through the system or directly to the engines.
enum class check_mode { system, direct };

/// Checks the response to a completion request: status, version, content type and every token of the text.
[[nodiscard]] check_result check_completion(const planned_request& request, const answer_reader& answer,
                                            check_mode mode);

/// Checks the response to an order: it must name the order, and the order must have run once.
[[nodiscard]] check_result check_order(const planned_request& request, const answer_reader& answer);

/// Checks the response to any other call; every 2xx status is accepted.
[[nodiscard]] check_result check_call(const answer_reader& answer);

} // namespace samphiretray::standins

namespace samphiretray {

template <>
inline constexpr auto name_table<standins::outcome> =
    std::to_array<std::pair<standins::outcome, std::string_view>>({
        {standins::outcome::answered, "answered"},
        {standins::outcome::not_run, "not_run"},
        {standins::outcome::unknown, "unknown"},
        {standins::outcome::broken, "broken"},
        {standins::outcome::wrong, "wrong"},
    });

} // namespace samphiretray
