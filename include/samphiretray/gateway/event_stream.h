#pragma once

#include "samphiretray/base/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace samphiretray::gateway {

/// Follows the events of a `text/event-stream` answer while its bytes pass.
///
/// An event is a group of lines with at least one `id` or `data` field, ended by an empty line. Comments and
/// bytes that complete no event are no progress, so a server that sends some of them now and then counts as
/// silent.
class event_stream {
public:
    /// Larger events are not the kind that engines send; an answer with one is broken off.
    static constexpr std::size_t max_event_bytes = 256U << 10U;

    /// Takes the next bytes and returns the whole events among them, with what was held back before. The
    /// bytes of an event that is not complete stay in the object.
    [[nodiscard]] std::string take(std::string_view bytes, time_point now);
    /// Another run continues the stream: what the last one left incomplete is dropped.
    void resume(time_point now);

    /// True once an event has grown beyond `max_event_bytes`.
    [[nodiscard]] bool is_overlong() const noexcept { return held_.size() > max_event_bytes; }
    /// Id of the last whole event; nothing before the first one that has an id.
    [[nodiscard]] const std::optional<std::string>& last_id() const noexcept { return last_id_; }
    /// The bytes of an event that has not been completed.
    [[nodiscard]] std::string_view held() const noexcept { return held_; }
    /// When the last event was completed, or the run began.
    [[nodiscard]] time_point progress_at() const noexcept { return progress_at_; }

private:
    void end_line(std::string_view line, time_point now);

    std::string held_;
    /// Start of the first line in `held_` that has not ended.
    std::size_t line_ = 0;
    bool has_fields_ = false;
    std::optional<std::string> event_id_;
    std::optional<std::string> last_id_;
    time_point progress_at_;
};

} // namespace samphiretray::gateway
