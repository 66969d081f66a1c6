#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/rate/token_bucket.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphiretray::rate {

/// This process's part of the limit that an endpoint names in its answers: requests a second that it takes
/// from all processes together.
class named_limit {
public:
    /// Sets the part of the limit that this process may use; nothing removes the limit.
    void set(std::optional<double> requests_per_s, time_point now);
    [[nodiscard]] bool is_set() const noexcept { return bucket_.has_value(); }
    /// Takes one request if the limit allows it now.
    [[nodiscard]] bool try_take(time_point now);
    [[nodiscard]] bool allows(time_point now) const;
    /// Time until the limit allows `requests` more.
    [[nodiscard]] duration wait_for(std::size_t requests, time_point now) const;

private:
    std::optional<token_bucket> bucket_;
};

/// What a process has last heard of the limit of an endpoint.
struct limit_observation {
    std::string endpoint;
    /// Nothing if the endpoint has ceased to name a limit.
    std::optional<double> requests_per_s;
    duration age{0};
};

struct endpoint_limits_settings {
    /// A limit that has not been confirmed for this long, or for as long as a few requests take at its rate,
    /// is forgotten, since the endpoint may have ceased to name it.
    duration confirmation_time = 10s;
    double confirmation_requests = 5;
    /// Fewest requests a second of a process that shares in a limit.
    double min_share = 1;
};

/// Keeps the limits that endpoints name, over all processes that send to them. Each limited endpoint has a
/// few senders among the processes, chosen by rendezvous hashing, each of which has an equal part of the
/// limit. All others leave the endpoint alone, so no process needs to know what the others send.
class endpoint_limits {
public:
    explicit endpoint_limits(endpoint_limits_settings settings) : settings_(settings) {}

    void set_members(std::string own_name, std::vector<std::string> all_names);
    /// An answer of the endpoint named this limit, or none. True if it began or ceased to name one.
    bool observe(const std::string& endpoint, std::optional<double> requests_per_s, time_point now);
    void merge(const std::vector<limit_observation>& observations, time_point now);
    /// What to tell other processes: the endpoints that name a limit, or have named one lately.
    [[nodiscard]] std::vector<limit_observation> observations(time_point now) const;
    void forget(const std::string& endpoint) { known_.erase(endpoint); }

    [[nodiscard]] bool allows(const std::string& endpoint, time_point now) const;
    /// The part of a limit that this process may use; 0 if it is not one of the endpoint's senders.
    [[nodiscard]] double part_of(const std::string& endpoint, double requests_per_s) const;
    /// Takes one request if the endpoint's limit allows it now.
    [[nodiscard]] bool try_take(const std::string& endpoint, time_point now);
    [[nodiscard]] std::size_t limited_count() const;

private:
    struct known_limit {
        std::optional<double> requests_per_s;
        time_point observed_at;
        named_limit part;
    };

    void apply(const std::string& endpoint, std::optional<double> requests_per_s, time_point observed_at,
               time_point now);
    [[nodiscard]] bool is_in_force(const known_limit& value, time_point now) const;

    endpoint_limits_settings settings_;
    std::string own_name_;
    std::vector<std::string> members_;
    std::map<std::string, known_limit> known_;
};

} // namespace samphiretray::rate
