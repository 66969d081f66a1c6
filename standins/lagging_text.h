#pragma once

#include "samphiretray/base/time.h"

#include <deque>
#include <string>
#include <utility>

namespace samphiretray::standins {

/// A text whose changes become visible after a fixed delay.
class lagging_text {
public:
    explicit lagging_text(duration lag) : lag_(lag) {}

    /// Records the text as read at `now`. The first text is visible at once.
    void observe(std::string text, time_point now) {
        if (versions_.empty() || versions_.back().text != text) {
            versions_.push_back({now, std::move(text)});
        }
    }

    /// Precondition: `observe` has been called.
    [[nodiscard]] const std::string& visible(time_point now) {
        while (versions_.size() > 1 && versions_[1].seen + lag_ <= now) {
            versions_.pop_front();
        }
        return versions_.front().text;
    }

private:
    struct version {
        time_point seen;
        std::string text;
    };

    duration lag_;
    std::deque<version> versions_;
};

} // namespace samphiretray::standins
