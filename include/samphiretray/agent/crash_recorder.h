#pragma once

#include "samphiretray/base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphiretray::agent {

/// A request whose connection the engine closed before the end of its answer.
struct interrupted_work {
    std::string attempt_id;
    /// Ids of the prompt parts that other requests may share.
    std::vector<std::string> parts;
    /// Empty if no answer had begun.
    std::optional<time_point> answer_began_at;
    time_point interrupted_at;
    /// Identifies all attempts at the request.
    std::uint64_t request_key = 0;
};

struct crash_recorder_settings {
    /// An engine that crashes on a request does so within this time from the start of the answer.
    duration max_answer_age = 500ms;
    /// Longest time from an interruption until a status poll shows that the engine has crashed.
    duration confirmation_time = 2s;
    std::size_t max_interrupted = 256;
};

/// Collects the requests that an engine was running when it crashed. Interrupted requests alone are no crash:
/// the engine may have closed single connections.
class crash_recorder {
public:
    explicit crash_recorder(crash_recorder_settings settings) : settings_(settings) {}

    void on_interrupted(interrupted_work work);
    /// Called when the engine is known to have crashed. Returns the requests that may have caused it, the
    /// most likely ones first: those whose answers began last, then those whose answers had not begun.
    [[nodiscard]] std::vector<interrupted_work> take_suspects(time_point now);

private:
    [[nodiscard]] bool is_suspect(const interrupted_work& work) const;

    crash_recorder_settings settings_;
    std::vector<interrupted_work> interrupted_;
};

} // namespace samphiretray::agent
