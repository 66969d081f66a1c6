#pragma once

#include "samphiretray/gateway/drain_promise.h"
#include "samphiretray/gateway/model.h"

#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace samphiretray::gateway {

/// The endpoints that service discovery lists, by id.
class endpoint_directory {
public:
    /// An endpoint that is removed shortly after an outage of discovery is kept this long: records that
    /// expired during the outage are written again within about two seconds.
    static constexpr duration reregistration_grace = 2s;

    /// A removed endpoint is remembered this long. After that, nothing tells an old record of it from a new
    /// one.
    static constexpr duration departed_memory = 30s;

    /// True if the record is older than what is known of the endpoint, or not newer than that of one that has
    /// been removed. A store that has been restored from a copy lists such records.
    [[nodiscard]] bool is_outdated(const endpoint& value, time_point now) const;
    /// Adds or replaces an endpoint. Returns true if it is new or has restarted. The record was written after
    /// `changed_after`, if that is known.
    bool update(endpoint value, std::optional<time_point> changed_after = std::nullopt);
    /// With `after_outage`, discovery has just returned and the record may be written again, so the endpoint
    /// is kept for `reregistration_grace`.
    void remove(const std::string& id, bool after_outage, time_point now);
    /// Removes the endpoints whose grace period has passed, and returns their ids.
    std::vector<std::string> expire(time_point now);

    /// An endpoint that has said in an answer that it leaves counts as draining for this long.
    static constexpr duration leaving_memory = 5min;

    /// Returns false if that is known already, or the endpoint is not.
    bool note_leaving(const std::string& id, time_point now);
    /// The endpoint wants no requests from this process until then.
    void note_pause(const std::string& id, time_point until);
    /// Time until an endpoint of the service wants requests again; nothing if none has asked for a pause.
    [[nodiscard]] std::optional<duration> pause_left(std::string_view service, time_point now) const;

    [[nodiscard]] const endpoint* find(const std::string& id) const;
    /// The endpoints of a service that are not draining and have not asked for a pause.
    [[nodiscard]] std::vector<const endpoint*> available(std::string_view service, time_point now) const;
    /// The draining endpoints of a service that still take up streams. They get no other requests.
    [[nodiscard]] std::vector<const endpoint*> taking_up(std::string_view service, time_point now) const;
    [[nodiscard]] bool takes_up(const endpoint& value, time_point now) const;
    [[nodiscard]] std::vector<std::string> ids() const;
    [[nodiscard]] std::vector<const endpoint*> all() const;
    [[nodiscard]] std::size_t size() const noexcept { return endpoints_.size(); }

private:
    struct departed_endpoint {
        std::uint64_t started_at = 0;
        std::uint64_t sequence = 0;
        time_point at;
    };

    /// What an incarnation of an endpoint has said in its answers.
    struct told_state {
        std::uint64_t started_at = 0;
        std::optional<time_point> leaving_since;
        time_point paused_until;
    };

    void expire_departed(time_point now);
    /// Null if the endpoint is not known.
    [[nodiscard]] told_state* told_by(const std::string& id);
    /// Null if this incarnation has said nothing.
    [[nodiscard]] const told_state* find_told(const endpoint& value) const;
    [[nodiscard]] bool is_leaving(const endpoint& value, time_point now) const;
    [[nodiscard]] duration pause_left(const endpoint& value, time_point now) const;

    std::map<std::string, endpoint> endpoints_;
    std::unordered_map<std::string, time_point> removed_at_;
    std::unordered_map<std::string, departed_endpoint> departed_;
    std::unordered_map<std::string, told_state> told_;
    std::unordered_map<std::string, drain_promise> drain_promises_;
};

} // namespace samphiretray::gateway
