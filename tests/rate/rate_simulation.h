#pragma once

#include "samphiretray/rate/grant_holder.h"
#include "samphiretray/rate/grant_issuer.h"
#include "samphiretray/rate/region_shares.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

/// Simulates issuers and holders of several regions, their network and the key-value service in virtual time.
namespace samphiretray::rate::testing {

struct faults {
    /// Percentages of the messages and calls that are lost, duplicated or delayed.
    int lost = 0;
    int duplicated = 0;
    int delayed = 0;
    bool service_down = false;
};

/// Tokens that a request uses within its bound, at the time of its reservation.
struct token_use {
    time_point at;
    double tokens = 0;
};

class rate_simulation {
public:
    rate_simulation(int regions, int holders_per_region, bucket_limits fleet_limits, std::uint64_t seed);

    void run(duration span);
    /// Sends a request that reserves `bound` tokens, actually uses `used` and runs for `length`.
    void request(int holder_index, std::uint64_t bound, std::uint64_t used, duration length,
                 duration timeout);
    void pause_holder(int holder_index, duration span) {
        holders_.at(index(holder_index)).paused_until = now + span;
    }
    void pause_issuer(int region, duration span);
    void fail_over(int region, duration lease_left);

    [[nodiscard]] int regions() const { return static_cast<int>(current_issuers_.size()); }
    [[nodiscard]] int holders() const { return static_cast<int>(holders_.size()); }
    [[nodiscard]] std::uint32_t share(int region) const {
        return current_issuers_.at(index(region))->shares.share();
    }
    /// Largest sum of the shares in force seen so far.
    [[nodiscard]] std::uint64_t largest_share_sum() const { return largest_share_sum_; }
    /// Largest use in excess of rate × window over all windows; at most the burst if the limit holds.
    [[nodiscard]] double largest_burst() const;
    /// Tokens used within the bounds of the reservations.
    [[nodiscard]] double used_within_bounds() const;
    /// Sum of the debts of all holders.
    [[nodiscard]] double debt() const;

    faults fault;
    time_point now{3600s};
    std::vector<token_use> uses;
    /// Tokens used beyond the bounds of the reservations.
    double excess = 0;
    int granted = 0;
    int refused = 0;
    std::vector<int> granted_by_holder;
    std::vector<duration> waits;
    int writes = 0;

private:
    struct issuer {
        int region = 0;
        grant_issuer grants;
        region_shares shares;
        time_point lease_until = time_point::max();
        time_point paused_until;
        duration clock_offset{};
    };
    struct running {
        std::uint64_t bound = 0;
        std::uint64_t used = 0;
        duration length{};
        time_point requested_at;
        bool counted = false;
    };
    struct holder {
        int region = 0;
        grant_holder grants;
        time_point paused_until;
        duration clock_offset{};
        std::map<std::uint64_t, running> requests;
        std::multimap<time_point, std::uint64_t> completions;
    };

    [[nodiscard]] static std::size_t index(int value) { return static_cast<std::size_t>(value); }
    [[nodiscard]] bool random_chance(int percent);
    void send_delayed(std::function<bool()> deliver);
    void tick();
    void poll(int holder);
    void poll(const std::shared_ptr<issuer>& target);
    void poll_shares(const std::shared_ptr<issuer>& target);
    void start(holder& at_holder, std::uint64_t id);
    void send(int from, const wire::grant_request& request);
    void call(const std::shared_ptr<issuer>& caller, const shares_call& made);
    void apply(const std::shared_ptr<issuer>& caller, const write_shares& write);
    void check_share_sum();
    std::shared_ptr<issuer> make_issuer(int region, time_point act_from);

    bucket_limits fleet_limits_;
    std::mt19937_64 random_;
    std::vector<std::shared_ptr<issuer>> current_issuers_;
    std::vector<std::shared_ptr<issuer>> all_issuers_;
    std::vector<std::pair<time_point, int>> takeovers_;
    std::vector<holder> holders_;
    std::multimap<time_point, std::function<bool()>> events_;
    ports::versioned_value stored_;
    std::uint64_t revisions_ = 0;
    std::uint64_t terms_ = 0;
    std::uint64_t ids_ = 0;
    std::uint64_t largest_share_sum_ = 0;
};

} // namespace samphiretray::rate::testing
