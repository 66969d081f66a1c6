#include "bench/measure/scenario.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace samphiretray::measure {

namespace {

constexpr double zipf_exponent = 1.2;
/// Adapters whose popularity a rush exchanges.
constexpr std::uint32_t rush_adapters = 300;
constexpr double rush_factor = 1.4;
/// Load by the others while the priority customer is measured; above what the fleet can serve.
constexpr double overload_factor = 2.0;
constexpr duration priority_interval = 4s;
/// Mean tokens of a request (prompt and output), for the organisations' rates.
constexpr double mean_tokens = 500.0 + 208.0;
/// Rates leave this much room above the organisation's mean traffic, and a burst of this many seconds.
constexpr double rate_room = 1.5;
constexpr double burst_seconds = 10.0;

class trace_maker {
public:
    trace_maker(const deployment& of, scenario kind, std::uint64_t seed)
        : of_(of), kind_(kind), random_(seed), popularity_(of.adapters), rank_to_adapter_(of.adapters),
          owner_(of.adapters) {
        for (std::uint32_t rank = 0; rank < of.adapters; ++rank) {
            popularity_[rank] = std::pow(rank + 1.0, -zipf_exponent);
        }
        std::iota(rank_to_adapter_.begin(), rank_to_adapter_.end(), 0U);
        std::ranges::shuffle(rank_to_adapter_, random_);
        std::discrete_distribution<std::uint32_t> owners(organisation_parts.begin(),
                                                         organisation_parts.end());
        std::ranges::generate(owner_, [&] { return owners(random_); });
        make_organisations();
    }

    std::vector<trace_request> make() {
        for (std::uint32_t organisation = 0; organisation < priority_organisation; ++organisation) {
            add_organisation(organisation);
        }
        if (kind_ == scenario::priority) {
            add_priority();
        }
        std::ranges::stable_sort(trace_, {}, &trace_request::arrival);
        mark_rates();
        return std::move(trace_);
    }

private:
    void make_organisations() {
        for (std::uint32_t rank = 0; rank < of_.adapters; ++rank) {
            ranks_[owner_[rank_to_adapter_[rank]]].push_back(rank);
        }
    }

    [[nodiscard]] double rate_at(std::uint32_t organisation, duration when) const {
        double rate = of_.request_rate * organisation_parts[organisation];
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

    void add_organisation(std::uint32_t organisation) {
        std::vector<double> weights;
        for (const std::uint32_t rank : ranks_[organisation]) {
            weights.push_back(popularity_[rank]);
        }
        std::discrete_distribution<std::size_t> choose(weights.begin(), weights.end());
        duration when{};
        while (true) {
            std::exponential_distribution<double> gap(rate_at(organisation, when));
            when += std::chrono::duration_cast<duration>(std::chrono::duration<double>{gap(random_)});
            if (when >= warm_up + counted) {
                return;
            }
            add(organisation, adapter_at(organisation, choose(random_), when), when);
        }
    }

    /// A rush moves the popularity of an organisation's first adapters to others of its adapters.
    std::uint32_t adapter_at(std::uint32_t organisation, std::size_t position, duration when) {
        const std::vector<std::uint32_t>& ranks = ranks_[organisation];
        if (kind_ == scenario::rush && when >= change_begins) {
            const auto shift = static_cast<std::size_t>(rush_adapters * organisation_parts[organisation]);
            position = (position + shift) % ranks.size();
        }
        return rank_to_adapter_[ranks[position]];
    }

    /// Each request asks for an adapter that nobody used before.
    void add_priority() {
        std::uint32_t adapter = of_.adapters;
        for (duration when = warm_up; when < warm_up + counted; when += priority_interval) {
            add(priority_organisation, adapter++, when);
            trace_.back().priority = true;
        }
    }

    void add(std::uint32_t organisation, std::uint32_t adapter, duration when) {
        const auto between = [this](std::uint32_t low, std::uint32_t high) {
            return std::uniform_int_distribution<std::uint32_t>(low, high)(random_);
        };
        trace_request made;
        made.arrival = when;
        made.organisation = organisation;
        made.adapter = adapter;
        made.region = between(0, static_cast<std::uint32_t>(of_.regions.size()) - 1);
        made.prompt = between(200, 800);
        // Six in ten are quick questions, the others drafts.
        made.output = between(0, 9) < 6 ? between(40, 120) : between(200, 600);
        made.bound = made.prompt + (made.output + 99) / 100 * 100;
        // Three in ten carry a photo.
        made.bytes = (between(0, 9) < 3 ? 200'000 : 2'000) + made.output * 100;
        trace_.push_back(made);
    }

    void mark_rates() {
        struct bucket {
            double level = 0.0;
            duration at{};
        };
        std::array<bucket, organisation_parts.size()> buckets;
        for (std::size_t each = 0; each < buckets.size(); ++each) {
            buckets[each].level = rate_of(each) * burst_seconds;
        }
        for (trace_request& request : trace_) {
            bucket& from = buckets[request.organisation];
            const double rate = rate_of(request.organisation);
            const std::chrono::duration<double> passed = request.arrival - from.at;
            from.level = std::min(rate * burst_seconds, from.level + rate * passed.count());
            from.at = request.arrival;
            const double cost = request.prompt + request.output;
            request.within_rate = request.priority || from.level >= cost;
            from.level -= request.within_rate ? cost : 0.0;
        }
    }

    [[nodiscard]] double rate_of(std::size_t organisation) const {
        return of_.request_rate * organisation_parts[organisation] * mean_tokens * rate_room;
    }

    const deployment& of_;
    scenario kind_;
    std::mt19937_64 random_;
    std::vector<double> popularity_;
    std::vector<std::uint32_t> rank_to_adapter_;
    std::vector<std::uint32_t> owner_;
    std::array<std::vector<std::uint32_t>, organisation_parts.size()> ranks_;
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
    return trace_maker{of, kind, seed}.make();
}

} // namespace samphiretray::measure
