#pragma once

#include "samphiretray/entry/request_context.h"
#include "samphiretray/observe/burn.h"

#include <string>

namespace samphiretray::entry {

/// Measures the service levels of one entry's requests, for each organisation and each service.
///
/// There are two objectives. "answers": 99.9% of requests are answered without a server error.
/// "first_token": the first byte of 95% of answered completions arrives within 1.2 s. Errors that the
/// caller caused, such as 401 or 429, requests with status 0 and requests without a service count towards
/// neither objective.
class service_levels {
public:
    service_levels();

    void record(const request_context& request, const request_summary& summary, time_point now);
    /// Burn rates of the error budgets: a text table if `text` is true, otherwise a JSON object with the
    /// lists "answers" and "first_token".
    [[nodiscard]] std::string report(bool text, time_point now) const;

private:
    observe::burn_monitor answers_;
    observe::burn_monitor first_token_;
};

} // namespace samphiretray::entry
