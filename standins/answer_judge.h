#pragma once

#include "samphiretray/base/name_table.h"

#include "standins/answer_reader.h"
#include "standins/load_schedule.h"

#include <string>

namespace samphiretray::standins {

enum class outcome {
    answered,
    /// Refused, and certainly not run.
    not_run,
    /// An error answer that does not exclude that the request ran.
    unknown,
    /// The connection broke or timed out.
    broken,
    /// The system violated its guarantees.
    wrong,
};

struct verdict {
    outcome kind = outcome::answered;
    /// "<status>/<code>" or the reason; empty for answers.
    std::string detail;
};

enum class judge_mode { system, direct };

/// Judges the answer to a completion.
[[nodiscard]] verdict judge_completion(const planned_request& request, const answer_reader& answer,
                                       judge_mode mode);

/// Judges the answer to an order.
[[nodiscard]] verdict judge_order(const planned_request& request, const answer_reader& answer);

/// Judges the answer to another call.
[[nodiscard]] verdict judge_call(const answer_reader& answer);

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
