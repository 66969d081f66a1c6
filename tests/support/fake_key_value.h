#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/ports/key_value.h"

#include <cstdint>
#include <map>
#include <string>

namespace samphiretray::test {

/// In-memory key-value store with compare-and-swap and leases; the caller passes the time.
class fake_key_value {
public:
    [[nodiscard]] ports::versioned_value read(time_point now, const std::string& key) {
        expire(now);
        const auto found = entries_.find(key);
        return found == entries_.end() ? ports::versioned_value{} : found->second.stored;
    }

    [[nodiscard]] result<std::uint64_t> swap(time_point now, const ports::swap_request& request) {
        if (read(now, request.key).revision != request.expected_revision) {
            return make_error(errc::conflict, step::configure, "kv", "the revision differs");
        }
        entry& written = entries_[request.key];
        written.stored = {request.value, ++last_revision_};
        written.expires = request.lease ? std::optional{now + *request.lease} : std::nullopt;
        return last_revision_;
    }

private:
    struct entry {
        ports::versioned_value stored;
        std::optional<time_point> expires;
    };

    void expire(time_point now) {
        std::erase_if(entries_,
                      [now](const auto& item) { return item.second.expires && *item.second.expires <= now; });
    }

    std::map<std::string, entry> entries_;
    std::uint64_t last_revision_ = 0;
};

} // namespace samphiretray::test
