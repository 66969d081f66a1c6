#pragma once

#include <algorithm>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::routing {

/// The regions in which a request may be served. Each list that binds it narrows them further.
class home_regions {
public:
    /// An empty list binds nothing.
    void restrict_to(const std::vector<std::string>& regions) {
        if (regions.empty()) {
            return;
        }
        if (!allowed_) {
            allowed_ = regions;
            return;
        }
        std::erase_if(*allowed_, [&regions](const std::string& each) {
            return std::ranges::find(regions, each) == regions.end();
        });
    }

    [[nodiscard]] bool is_restricted() const noexcept { return allowed_.has_value(); }
    /// `region` is nothing if the region of a server is not known; such a server is in no home.
    [[nodiscard]] bool allows(const std::optional<std::string_view>& region) const {
        return !allowed_ || (region && std::ranges::find(*allowed_, *region) != allowed_->end());
    }

private:
    std::optional<std::vector<std::string>> allowed_;
};

} // namespace samphiretray::routing
