#pragma once

#include "samphiretray/base/hash.h"
#include "samphiretray/config/configuration.h"

#include <string>

namespace samphiretray::test {

/// Two organisations, an engine service and a plain service, one key, one endpoint, and `adapters` adapters
/// with one version each.
inline config::configuration sample_configuration(int adapters) {
    config::configuration sample;
    sample.rules.organisations = {{"bagwis", 100, 1000, true}, {"cuenca", 50, 500, false}};
    sample.rules.services = {{"assistant", config::service_kind::engine, "base-7b", false, true},
                             {"orders", config::service_kind::plain, "", false, false}};
    sample.rules.keys = {{sha256_hex("key-1"), "bagwis", "event day"}};
    sample.rules.endpoints = {{"e1", true}};
    for (int i = 0; i < adapters; ++i) {
        const std::string organisation = i % 2 == 0 ? "bagwis" : "cuenca";
        sample.inventory.push_back({"adapter-" + std::to_string(i), "v1", organisation, "assistant", true});
    }
    return sample;
}

} // namespace samphiretray::test
