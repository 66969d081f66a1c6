#pragma once

#include <string_view>

namespace samphiretray::gateway {

/// Finds the end of the first event of a stream that is passed on byte for byte.
class first_event_detector {
public:
    /// Returns true once an empty line has ended an event, or comments.
    [[nodiscard]] bool append(std::string_view bytes) noexcept {
        for (const char each : bytes) {
            if (each == '\n') {
                if (is_line_empty_ && has_lines_) {
                    return true;
                }
                is_line_empty_ = true;
            } else if (each != '\r') {
                is_line_empty_ = false;
                has_lines_ = true;
            }
        }
        return false;
    }

private:
    bool is_line_empty_ = true;
    bool has_lines_ = false;
};

} // namespace samphiretray::gateway
