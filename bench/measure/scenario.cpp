#include "bench/measure/scenario.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace samphiretray::measure {

namespace {

constexpr double zipf_exponent = 1.2;
/// Number of popularity ranks, over all organisations, by which a rush shifts traffic to other adapters.
constexpr std::uint32_t rush_adapters = 300;
constexpr double rush_factor = 1.4;
/// Traffic of the other organisations in the `priority` scenario, relative to steady state; more than the
/// fleet can serve.
constexpr double overload_factor = 2.0;
constexpr duration priority_interval = 4s;
/// Mean tokens of a request (prompt plus output), from which the organisations' rates are derived.
constexpr double mean_tokens = 500.0 + 208.0;
/// Rate of an organisation relative to its mean traffic, and its burst in seconds at that rate.
constexpr double rate_headroom = 1.5;
constexpr double burst_seconds = 10.0;

class trace_generator {
public:
    trace_generator(const deployment& of, scenario kind, std::uint64_t seed)
        : deployment_(of), kind_(kind), random_(seed), popularity_(of.adapters),
          rank_to_adapter_(of.adapters), owner_(of.adapters) {
        for (std::uint32_t rank = 0; rank < of.adapters; ++rank) {
            popularity_[rank] = std::pow(rank + 1.0, -zipf_exponent);
        }
        std::iota(rank_to_adapter_.begin(), rank_to_adapter_.end(), 0U);
        std::ranges::shuffle(rank_to_adapter_, random_);
        std::discrete_distribution<std::uint32_t> owners(traffic_shares.begin(), traffic_shares.end());
        std::ranges::generate(owner_, [&] { return owners(random_); });
        group_ranks_by_organisation();
    }

    std::vector<trace_request> generate() {
        for (std::uint32_t organisation = 0; organisation < priority_organisation; ++organisation) {
            add_organisation_requests(organisation);
        }
        if (kind_ == scenario::priority) {
            add_priority_requests();
        }
        std::ranges::stable_sort(trace_, {}, &trace_request::arrival);
        mark_requests_within_rate();
        return std::move(trace_);
    }

private:
    void group_ranks_by_organisation() {
        for (std::uint32_t rank = 0; rank < deployment_.adapters; ++rank) {
            ranks_[owner_[rank_to_adapter_[rank]]].push_back(rank);
        }
    }

    [[nodiscard]] double rate_at(std::uint32_t organisation, duration when) const {
        double rate = deployment_.request_rate * traffic_shares[organisation];
        const bool changed = when >= change_begins && when < change_ends;
        if (kind_ == scenario::rush && changed) {
            rate *= rush_factor;
        }
        if (kind_ == scenario::greedy && organisation == greedy_organisation && when >= warm_up) {
            rate *= greedy_factor;
        }
        if (kind_ == scenario::priority && when >= warm_up) {
            rate *= overload_factor;
        }
        return rate;
    }

    void add_organisation_requests(std::uint32_t organisation) {
        std::vector<double> weights;
        for (const std::uint32_t rank : ranks_[organisation]) {
            weights.push_back(popularity_[rank]);
        }
        std::discrete_distribution<std::size_t> choose(weights.begin(), weights.end());
        duration when{};
        while (true) {
            std::exponential_distribution<double> gap(rate_at(organisation, when));
            when += std::chrono::duration_cast<duration>(std::chrono::duration<double>{gap(random_)});
            if (when >= warm_up + measured_time) {
                return;
            }
            add_request(organisation, adapter_at(organisation, choose(random_), when), when);
        }
    }

    /// From the start of a rush on, shifts an organisation's popularity ranks, so that its traffic moves to
    /// adapters that were less popular.
    std::uint32_t adapter_at(std::uint32_t organisation, std::size_t position, duration when) {
        const std::vector<std::uint32_t>& ranks = ranks_[organisation];
        if (kind_ == scenario::rush && when >= change_begins) {
            const auto shift = static_cast<std::size_t>(rush_adapters * traffic_shares[organisation]);
            position = (position + shift) % ranks.size();
        }
        return rank_to_adapter_[ranks[position]];
    }

    /// Each of these requests uses an adapter that has not been requested before.
    void add_priority_requests() {
        std::uint32_t adapter = deployment_.adapters;
        for (duration when = warm_up; when < warm_up + measured_time; when += priority_interval) {
            add_request(priority_organisation, adapter++, when);
            trace_.back().priority = true;
        }
    }

    void add_request(std::uint32_t organisation, std::uint32_t adapter, duration when) {
        const auto random_between = [this](std::uint32_t low, std::uint32_t high) {
            return std::uniform_int_distribution<std::uint32_t>(low, high)(random_);
        };
        trace_request request;
        request.arrival = when;
        request.organisation = organisation;
        request.adapter = adapter;
        request.region = random_between(0, static_cast<std::uint32_t>(deployment_.regions.size()) - 1);
        request.prompt_tokens = random_between(200, 800);
        // 6 of 10 requests ask for a short answer, the others for a long text.
        request.output_tokens = random_between(0, 9) < 6 ? random_between(40, 120) : random_between(200, 600);
        request.max_tokens = request.prompt_tokens + (request.output_tokens + 99) / 100 * 100;
        // 3 of 10 requests contain an image.
        request.bytes = (random_between(0, 9) < 3 ? 200'000 : 2'000) + request.output_tokens * 100;
        trace_.push_back(request);
    }

    void mark_requests_within_rate() {
        struct bucket {
            double level = 0.0;
            duration at{};
        };
        std::array<bucket, traffic_shares.size()> buckets;
        for (std::size_t each = 0; each < buckets.size(); ++each) {
            buckets[each].level = token_rate_of(each) * burst_seconds;
        }
        for (trace_request& request : trace_) {
            bucket& from = buckets[request.organisation];
            const double rate = token_rate_of(request.organisation);
            const std::chrono::duration<double> passed = request.arrival - from.at;
            from.level = std::min(rate * burst_seconds, from.level + rate * passed.count());
            from.at = request.arrival;
            const double cost = request.prompt_tokens + request.output_tokens;
            request.within_rate = request.priority || from.level >= cost;
            from.level -= request.within_rate ? cost : 0.0;
        }
    }

    [[nodiscard]] double token_rate_of(std::size_t organisation) const {
        return deployment_.request_rate * traffic_shares[organisation] * mean_tokens * rate_headroom;
    }

    const deployment& deployment_;
    scenario kind_;
    std::mt19937_64 random_;
    std::vector<double> popularity_;
    std::vector<std::uint32_t> rank_to_adapter_;
    std::vector<std::uint32_t> owner_;
    std::array<std::vector<std::uint32_t>, traffic_shares.size()> ranks_;
    std::vector<trace_request> trace_;
};

} // namespace

std::string_view name_of(scenario of) {
    switch (of) {
    case scenario::steady:
        return "steady";
    case scenario::rush:
        return "rush";
    case scenario::greedy:
        return "greedy";
    case scenario::priority:
        return "priority";
    case scenario::slow_store:
        return "slow_store";
    case scenario::restart:
        return "restart";
    case scenario::cut_off:
        return "cut_off";
    }
    return "unknown";
}

const std::vector<deployment>& deployments() {
    static const std::vector<deployment> all{
        {"bagwis", {"luzon", "visayas", "mindanao"}, 3, 8, 8, 3000, 2.0, 6.0},
        {"cuenca", {"azuay", "pichincha", "guayas"}, 4, 8, 8, 3000, 3.0, 8.4},
    };
    return all;
}

std::vector<trace_request> make_trace(const deployment& of, scenario kind, std::uint64_t seed) {
    return trace_generator{of, kind, seed}.generate();
}

} // namespace samphiretray::measure
