#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/routing/prefix_memory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::routing {

struct choice_settings {
    /// Prompt tokens that an engine reads in a second; the figure on the deployments' data sheets.
    double reading_rate = 38'000;
    /// What agents measure under load: running requests and attention take a third.
    double usual_measured_rate = 25'000;
    /// An engine that is measured below this part of the usual rate counts as slow. Smaller differences are
    /// those between the prompts that happen to come, and following them has adapters loaded again elsewhere.
    double slow_part = 0.5;
    /// Load of an adapter that the engine does not hold: between a load from its memory (25 ms) and one from
    /// the store (250 ms).
    duration load_time = 100ms;
    /// Added for an engine that neither holds the adapter nor is its first home, and for each further place
    /// in the order of homes. A load from the store costs about as much as a late answer of a short request,
    /// so a second home is worth it only when the first would be late.
    duration second_home = 700ms;
    duration home_step = 40ms;
    /// Added for each adapter, with the request's own, that waits for a slot beyond the free ones: a stream
    /// takes two seconds, and one of eight ends each quarter of a second.
    duration slot_wait = 250ms;
    /// Added for each request in flight at an engine: each running request lengthens the steps of all.
    duration running_cost = 1ms;
    /// Added when the memory of an engine cannot take the request before others end.
    duration full_cost = 700ms;
    /// Mean time of a request at a plain service, until answers show another one.
    duration plain_time = 30ms;
    /// Weight of the newest answer in the mean time of a plain endpoint.
    double plain_time_step = 0.1;
    /// Reports older than this count for nothing.
    duration report_life = 3s;
};

/// What the choice knows of an endpoint before any request has been sent there.
struct choice_endpoint {
    std::string id;
    /// Where it listens; the order of homes hashes this, since it outlives restarts.
    std::string place;
    duration round_trip{0};
    std::uint32_t slots = 1;
    /// Zero for plain services.
    std::uint64_t kv_tokens = 0;
    bool is_engine = false;
};

struct choice_request {
    /// Empty for the base model and plain services.
    std::string_view adapter;
    std::string_view version;
    std::span<const shared_part> prompt;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
};

struct choice_candidate {
    std::string id;
    /// Estimated time to the first byte of the answer.
    duration estimate{0};
    bool resident = false;
    /// Prompt tokens believed to need no prefill.
    std::uint32_t kept_tokens = 0;
    /// Age of the report that the estimate rests on; nothing if there is none.
    std::optional<duration> report_age;
};

/// State of an engine as its agent tells it with each answer.
struct engine_load {
    /// Prompt tokens of all callers still to be read.
    std::uint64_t backlog_tokens = 0;
    std::uint32_t running = 0;
    std::uint64_t kv_reserved = 0;
    /// Adapter slots that a load could take now, and adapters that wait for one.
    std::uint32_t free_slots = 0;
    std::uint32_t wanted_adapters = 0;
    /// Prompt tokens that the engine has lately read in a second; 0 if that is not known.
    std::uint32_t reading_rate = 0;
    /// Names as "adapter@version".
    std::vector<std::string> resident;
};

/// Orders endpoints by the estimated time to the first byte of an answer: round trip, prompt tokens ahead,
/// load of the adapter, prefill of what the engine does not keep, and memory that is not there yet.
class endpoint_choice {
public:
    explicit endpoint_choice(choice_settings settings) : settings_(settings) {}

    /// Adds an endpoint, or forgets all about one that has restarted.
    void add(const choice_endpoint& value);
    void remove(const std::string& id);

    /// Zero if the endpoint is not known.
    [[nodiscard]] duration round_trip(const std::string& id) const;

    /// The given endpoints in the order of preference; unknown ones are left out.
    [[nodiscard]] std::vector<choice_candidate> order(const choice_request& request,
                                                      std::span<const std::string> ids, time_point now) const;

    /// A request was sent; `token` names it in the calls below.
    void sent(const std::string& id, std::uint64_t token, const choice_request& request);
    /// The first byte of the answer has come.
    void answered(const std::string& id, std::uint64_t token);
    /// The request has ended, in whatever way; `took` after a whole answer.
    void ended(const std::string& id, std::uint64_t token, std::optional<duration> took);

    void observe_engine(const std::string& id, const engine_load& load, time_point now);
    /// Running and waiting requests that a plain endpoint has reported.
    void observe_plain(const std::string& id, std::uint32_t running, std::uint32_t waiting, time_point now);
    /// The endpoint does not hold the adapter, against what was believed.
    void forget_adapter(const std::string& id, std::string_view adapter);

private:
    struct state {
        choice_endpoint endpoint;
        prefix_memory prefixes{0};
        /// Requests of this process in flight, with the prompt tokens that are not yet read.
        std::map<std::uint64_t, std::uint64_t> unread;
        std::uint32_t in_flight = 0;
        engine_load load;
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::optional<time_point> reported_at;
        duration plain_time{0};
    };

    [[nodiscard]] double reading_rate(const state& of) const;
    [[nodiscard]] duration reading_time(const state& of, std::uint64_t tokens) const;
    [[nodiscard]] std::uint64_t backlog(const state& of, time_point now) const;
    [[nodiscard]] choice_candidate estimate(const state& of, const choice_request& request, std::size_t home,
                                            time_point now) const;
    [[nodiscard]] duration estimate_plain(const state& of, bool is_recent) const;
    [[nodiscard]] static bool holds(const state& of, const choice_request& request);

    choice_settings settings_;
    std::map<std::string, state> states_;
};

} // namespace samphiretray::routing
