#pragma once

#include "samphiretray/gateway/model.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace samphiretray::gateway {

/// Signs that a server without an agent has restarted under its id, perhaps with other software, while its
/// record still names the former one: it may be cut off from service discovery. A doubt ends with a record
/// that was written later.
class restart_signs {
public:
    /// A server that stays silent has lost its record after this time.
    static constexpr duration max_doubt = 6s;
    /// Answers that break off within this time may have been ended by one crash.
    static constexpr duration same_moment = 200ms;

    /// An answer of the server has been broken off.
    void on_broken_off(const std::string& endpoint, time_point now);
    /// The server has accepted no connection.
    void on_unreachable(const std::string& endpoint, time_point now);
    /// A record of the server was written after `written_after`; nothing if that is not known.
    void on_record(const std::string& endpoint, bool is_new_incarnation,
                   std::optional<time_point> written_after);
    void forget(const std::string& endpoint) { doubts_.erase(endpoint); }

    /// Whether it is not known which software the server runs. One broken answer alone is no sufficient sign.
    [[nodiscard]] bool is_version_doubtful(const std::string& endpoint, time_point now) const;
    /// Removes the servers of doubtful version from those at which a stream may go on, and servers with a
    /// single broken answer unless there are no others.
    void remove_doubtful(std::vector<const endpoint*>& candidates, time_point now) const;

private:
    struct doubt {
        time_point at;
        bool is_strong = false;
    };
    [[nodiscard]] const doubt* find(const std::string& endpoint, time_point now) const;

    std::unordered_map<std::string, doubt> doubts_;
};

} // namespace samphiretray::gateway
