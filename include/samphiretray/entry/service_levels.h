#pragma once

#include "samphiretray/entry/request_context.h"
#include "samphiretray/observe/burn.h"

#include <string>

namespace samphiretray::entry {

/// Service levels of one entry's requests, for each organisation and service.
///
/// Two objectives: answers (99.9 in 100 requests that are within the caller's rights are answered) and first
/// token (95 in 100 answered completions within 1.2 s). Refusals that the caller caused, such as 401 or 429,
/// count in neither.
class service_levels {
public:
    service_levels();

    void record(const request_context& request, const request_end& how, time_point now);
    /// A table, or JSON with the lists "answers" and "first_token".
    [[nodiscard]] std::string report(bool text, time_point now) const;

private:
    observe::burn_monitor answers_;
    observe::burn_monitor first_token_;
};

} // namespace samphiretray::entry
