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

/// Regions, issuers, holders, their network and the key-value service in virtual time.
namespace samphiretray::rate::testing {

struct faults {
    /// Of 100 messages and calls, how many suffer this.
    int lost = 0;
    int duplicated = 0;
    int late = 0;
    bool service_down = false;
};

/// Tokens really used, at the time of reservation or, beyond the bound, of settlement.
struct spend {
    time_point at;
    double tokens = 0;
};

class world {
public:
    world(int regions, int holders_per_region, bucket_limits whole, std::uint64_t seed);

    void run(duration span);
    /// A request of `bound` tokens that really uses `used` and runs for `length`.
    void request(int number, std::uint64_t bound, std::uint64_t used, duration length, duration patience);
    void pause_holder(int number, duration span) { holders_.at(index(number)).paused_until = now + span; }
    void pause_issuer(int region, duration span);
    void fail_over(int region, duration lease_left);

    [[nodiscard]] int regions() const { return static_cast<int>(current_.size()); }
    [[nodiscard]] int holders() const { return static_cast<int>(holders_.size()); }
    [[nodiscard]] std::uint32_t part(int region) const { return current_.at(index(region))->shares.part(); }
    /// Largest sum of the parts in force seen so far.
    [[nodiscard]] std::uint64_t largest_sum() const { return largest_sum_; }
    /// Largest use beyond rate × window over all windows; at most the burst if the limit holds.
    [[nodiscard]] double largest_burst() const;
    [[nodiscard]] double reserved() const;
    /// The debts of all holders.
    [[nodiscard]] double debt() const;

    faults fault;
    time_point now{3600s};
    std::vector<spend> spends;
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
        time_point asked;
        bool counted = false;
    };
    struct holder {
        int region = 0;
        grant_holder grants;
        time_point paused_until;
        duration clock_offset{};
        std::map<std::uint64_t, running> requests;
        std::multimap<time_point, std::uint64_t> ends;
    };

    [[nodiscard]] static std::size_t index(int value) { return static_cast<std::size_t>(value); }
    [[nodiscard]] bool chance(int percent);
    void post(std::function<bool()> deliver);
    void tick();
    void poll(int holder);
    void poll(const std::shared_ptr<issuer>& of);
    void poll_shares(const std::shared_ptr<issuer>& of);
    void start(holder& by, std::uint64_t id);
    void send(int from, const wire::grant_request& request);
    void call(const std::shared_ptr<issuer>& by, const shares_call& made);
    void apply(const std::shared_ptr<issuer>& by, const write_shares& write);
    void check_parts();
    std::shared_ptr<issuer> make_issuer(int region, time_point act_from);

    bucket_limits whole_;
    std::mt19937_64 random_;
    std::vector<std::shared_ptr<issuer>> current_;
    std::vector<std::shared_ptr<issuer>> all_;
    std::vector<std::pair<time_point, int>> takeovers_;
    std::vector<holder> holders_;
    std::multimap<time_point, std::function<bool()>> events_;
    ports::versioned_value stored_;
    std::uint64_t revisions_ = 0;
    std::uint64_t terms_ = 0;
    std::uint64_t ids_ = 0;
    std::uint64_t largest_sum_ = 0;
};

} // namespace samphiretray::rate::testing
