#include "samphiretray/gateway/event_stream_parser.h"

#include "samphiretray/base/text.h"

#include <algorithm>
#include <utility>

namespace samphiretray::gateway {

std::string event_stream_parser::append(std::string_view bytes, time_point now) {
    buffer_ += bytes;
    std::size_t complete_size = 0;
    for (std::size_t end = buffer_.find('\n', line_start_); end != std::string::npos;
         end = buffer_.find('\n', line_start_)) {
        std::string_view line{buffer_.data() + line_start_, end - line_start_};
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        process_line(line, now);
        line_start_ = end + 1;
        complete_size = line.empty() ? line_start_ : complete_size;
    }
    std::string events = buffer_.substr(0, complete_size);
    buffer_.erase(0, complete_size);
    line_start_ -= complete_size;
    return events;
}

void event_stream_parser::process_line(std::string_view line, time_point now) {
    if (!line.empty()) {
        const std::string_view field = line.substr(0, line.find(':'));
        has_fields_ = has_fields_ || field == "id" || field == "data";
        if (field == "id") {
            pending_id_ = trim(line.substr(std::min(line.size(), field.size() + 1)));
        }
        return;
    }
    if (std::exchange(has_fields_, false)) {
        last_progress_at_ = now;
        has_events_ = true;
    }
    if (pending_id_) {
        last_event_id_ = std::exchange(pending_id_, std::nullopt);
    }
}

bool event_stream_parser::is_inside_event() const {
    return std::ranges::any_of(split(buffer_, '\n'), [](std::string_view line) {
        return !line.empty() && line != "\r" && !line.starts_with(':');
    });
}

void event_stream_parser::resume(time_point now) {
    buffer_.clear();
    line_start_ = 0;
    has_fields_ = false;
    has_events_ = false;
    pending_id_.reset();
    last_progress_at_ = now;
}

} // namespace samphiretray::gateway
