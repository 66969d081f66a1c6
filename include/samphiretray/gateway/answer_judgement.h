#pragma once

#include "samphiretray/base/name_table.h"
#include "samphiretray/gateway/model.h"

#include <string_view>

namespace samphiretray::gateway {

/// What the head of an endpoint's answer is to the request that was sent on its connection.
enum class answer_verdict {
    /// The endpoint's own answer to the request, a success or a failure.
    own,
    /// The endpoint says that the request has not run and will not.
    not_run,
    /// Not an answer to this request. The connection is out of step: it may not be used again, and the
    /// request
    /// may have run.
    foreign,
};

/// Judges the head of an answer to `attempt_id`. An answer that names another attempt is foreign, even if it
/// says that something has not run: it may be the late copy of an earlier answer. So is an answer without a
/// signature, without a name, or in an encoding that nobody asked for.
[[nodiscard]] answer_verdict judge_answer(const answer_summary& head, std::string_view attempt_id);

} // namespace samphiretray::gateway

namespace samphiretray {

template <>
inline constexpr auto name_table<gateway::answer_verdict> =
    std::to_array<std::pair<gateway::answer_verdict, std::string_view>>({
        {gateway::answer_verdict::own, "own"},
        {gateway::answer_verdict::not_run, "not_run"},
        {gateway::answer_verdict::foreign, "foreign"},
    });

} // namespace samphiretray
