#pragma once

#include "samphiretray/base/time.h"

#include <optional>

namespace samphiretray::gateway {

/// How long one incarnation of a draining server still takes up streams, as far as this process knows. All
/// other requests go elsewhere as soon as it is known to drain.
class drain_promise {
public:
    /// A draining server serves for at least this long; the shortest time that operators configure.
    static constexpr duration drain_time = 3s;
    /// Streams are taken up until this long before that time ends, so that the requests arrive in time.
    static constexpr duration take_up_margin = 500ms;

    /// The server's state, with the time that it says it has left. It was written after `written_after`;
    /// nothing if that is not known.
    void on_state(bool draining, std::optional<duration> time_left, std::optional<time_point> written_after);
    /// The server has said in an answer that it leaves.
    void on_said_leaving(time_point now);

    [[nodiscard]] bool takes_up(time_point now) const;

private:
    bool has_been_ready_ = false;
    bool is_draining_ = false;
    /// The server began to drain after this. Nothing if the process does not know how long ago that was.
    std::optional<time_point> began_after_;
    std::optional<time_point> said_leaving_at_;
    std::optional<time_point> gone_at_;
};

} // namespace samphiretray::gateway
