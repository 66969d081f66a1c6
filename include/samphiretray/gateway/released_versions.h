#pragma once

#include "samphiretray/gateway/model.h"

#include <cstdint>
#include <map>
#include <string>

namespace samphiretray::gateway {

/// The newest released versions of adapters, as far as a process knows them. A request is bound to a version
/// when its work begins, not when it arrives: it may wait for seconds in between.
class released_versions {
public:
    /// Returns true if the version is newer than the one known so far.
    bool note(const adapter_release& release);
    [[nodiscard]] bool contains(const std::string& adapter) const { return versions_.contains(adapter); }
    /// The version that work beginning now has to use: the newest one, or 1 if none has been released. Empty
    /// if `adapter` is.
    [[nodiscard]] ports::adapter_version newest(const std::string& adapter) const;

private:
    std::map<std::string, std::uint64_t> versions_;
};

} // namespace samphiretray::gateway
