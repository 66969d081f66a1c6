#include "samphiretray/gateway/event_stream.h"

#include "samphiretray/base/split.h"

#include <algorithm>
#include <utility>

namespace samphiretray::gateway {

std::string event_stream::take(std::string_view bytes, time_point now) {
    held_ += bytes;
    std::size_t whole = 0;
    for (std::size_t end = held_.find('\n', line_); end != std::string::npos; end = held_.find('\n', line_)) {
        std::string_view line{held_.data() + line_, end - line_};
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        end_line(line, now);
        line_ = end + 1;
        whole = line.empty() ? line_ : whole;
    }
    std::string events = held_.substr(0, whole);
    held_.erase(0, whole);
    line_ -= whole;
    return events;
}

void event_stream::end_line(std::string_view line, time_point now) {
    if (!line.empty()) {
        const std::string_view field = line.substr(0, line.find(':'));
        has_fields_ = has_fields_ || field == "id" || field == "data";
        if (field == "id") {
            event_id_ = trim(line.substr(std::min(line.size(), field.size() + 1)));
        }
        return;
    }
    if (std::exchange(has_fields_, false)) {
        progress_at_ = now;
    }
    if (event_id_) {
        last_id_ = std::exchange(event_id_, std::nullopt);
    }
}

void event_stream::resume(time_point now) {
    held_.clear();
    line_ = 0;
    has_fields_ = false;
    event_id_.reset();
    progress_at_ = now;
}

} // namespace samphiretray::gateway
