#include "samphiretray/gateway/released_versions.h"

#include <utility>

namespace samphiretray::gateway {

bool released_versions::note(const adapter_release& release) {
    std::uint64_t& version = versions_[release.adapter];
    if (release.version <= version) {
        return false;
    }
    version = release.version;
    return true;
}

ports::adapter_version released_versions::newest(const std::string& adapter) const {
    if (adapter.empty()) {
        return {};
    }
    const auto found = versions_.find(adapter);
    return {adapter, std::to_string(found == versions_.end() ? 1 : found->second)};
}

} // namespace samphiretray::gateway
