#pragma once

#include "samphiretray/base/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace samphiretray::gateway {

/// Incremental parser that splits a `text/event-stream` body into complete events.
///
/// An event is a group of lines with at least one `id` or `data` field, ended by an empty line. Comments and
/// bytes that complete no event do not count as progress, so a server that sends only those counts as silent.
class event_stream_parser {
public:
    /// Engines send smaller events; an answer with a larger one is aborted.
    static constexpr std::size_t max_event_bytes = 256U << 10U;

    /// Appends bytes and returns the events that are now complete. The bytes of an incomplete event are kept
    /// for the next call.
    [[nodiscard]] std::string append(std::string_view bytes, time_point now);
    /// Prepares for another attempt that continues the stream: discards the incomplete event.
    void resume(time_point now);

    /// True once an event has grown beyond `max_event_bytes`.
    [[nodiscard]] bool is_event_too_large() const noexcept { return buffer_.size() > max_event_bytes; }
    /// True once an event has been completed in the current attempt.
    [[nodiscard]] bool has_events() const noexcept { return has_events_; }
    /// Id of the last complete event that had one; empty before the first.
    [[nodiscard]] const std::optional<std::string>& last_event_id() const noexcept { return last_event_id_; }
    /// True if an event has begun that no empty line has ended, so that a stream which ends here has been
    /// broken off. Comments are not a part of an event.
    [[nodiscard]] bool is_inside_event() const;
    /// The bytes of the incomplete event, and comments beside it.
    [[nodiscard]] std::string_view incomplete_event() const noexcept { return buffer_; }
    /// When the last event was completed or the attempt began, whichever is later.
    [[nodiscard]] time_point last_progress_at() const noexcept { return last_progress_at_; }

private:
    void process_line(std::string_view line, time_point now);

    std::string buffer_;
    /// Offset in `buffer_` of the first line that is not complete.
    std::size_t line_start_ = 0;
    bool has_fields_ = false;
    bool has_events_ = false;
    std::optional<std::string> pending_id_;
    std::optional<std::string> last_event_id_;
    time_point last_progress_at_;
};

} // namespace samphiretray::gateway
