#pragma once

#include "samphiretray/base/name_table.h"
#include "samphiretray/base/time.h"
#include "samphiretray/routing/crash_quarantine.h"
#include "samphiretray/routing/recent_answers.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace samphiretray::routing {

/// Digest of what all attempts at one request have in common: caller, path and body.
using request_key = std::uint64_t;

/// A server that closed the connection of a request before it had answered.
struct cut_run {
    /// Hash of the name of the server's incarnation.
    std::uint64_t server = 0;
    /// Hash of the id of the attempt.
    std::uint64_t attempt = 0;
    duration age{0};
};

/// A request that may crash the servers that run it.
struct suspected_request {
    request_key request = 0;
    std::vector<cut_run> cuts;
    /// Time since a server last answered it; empty if none has, as far as is known.
    std::optional<duration> answered;
};

/// What one process tells another about suspected requests. Times are sent as ages, since clocks differ.
struct request_evidence {
    /// The sender's revision of this evidence.
    std::uint64_t revision = 0;
    std::vector<suspected_request> requests;
};

struct request_quarantine_settings {
    /// Servers that were lost without an answer in between, after which a request is quarantined.
    std::uint32_t min_cuts = 3;
    /// These were not all lost by one attempt, which is sent on whenever its server ends for another reason.
    std::uint32_t min_attempts = 2;
    /// Cuts by one server within this time are one crash. Later ones are further crashes: the server may have
    /// come back under the same name.
    duration same_crash_time = 1s;
    /// A cut counts towards the first quarantine only after this time, in which other processes may report
    /// that the request was answered.
    duration settle_time = 600ms;
    /// A cut does not count if the request was answered this long before it, or later.
    duration harmless_before = 10s;
    /// Duration of the first quarantine. Each relapse doubles the next one.
    duration quarantine_time = 30s;
    std::uint32_t max_doublings = 5;
    /// Duration of the first quarantine if another request was lost with the same servers, so that it is open
    /// which of them is to blame.
    duration shared_quarantine_time = 3s;
    /// After a quarantine, each process that may probe sends one attempt in each slot. One process may probe
    /// in the first slot, and twice as many in each further one. Processes hear of a lost probe within one or
    /// two seconds; a shorter slot lets several more send theirs meanwhile.
    duration probe_slot = 8s;
    /// Processes that are assumed to probe while no other one is known.
    std::size_t assumed_members = 64;
    /// Cuts are forgotten after this time.
    duration memory = 30min;
    /// A lifted quarantine is announced for this long.
    duration lift_announcement = 30s;
    /// An answered request is forgotten after this time, in which other processes learn of the answer.
    duration answered_memory = 60s;
    std::size_t max_requests = 2048;
    std::size_t max_cuts_per_request = 8;
    /// Most requests in one piece of evidence, which has about 5 kB then. Servers under load close thousands
    /// of connections, and an entry with a link of 10 Mbit/s answers twenty queries for evidence a second.
    std::size_t max_told = 64;
    /// Most requests with a recent answer in each of two generations.
    std::size_t max_answered = 4096;
};

enum class request_phase { quarantined, probing };

struct request_change {
    request_key request = 0;
    /// Empty if the request has been answered, released or forgotten.
    std::optional<request_phase> phase;
    std::size_t cuts = 0;
};

/// A quarantined request as operators see it.
struct quarantined_request {
    request_key request = 0;
    request_phase phase = request_phase::quarantined;
    std::size_t cuts = 0;
    duration last_cut_age{0};
    /// Until the next attempt may be sent as a probe.
    duration time_left{0};
};

/// Finds requests that crash every server that runs them, and keeps further attempts at them from servers.
///
/// A request is quarantined once several servers have closed its connection, one after the other, and none
/// has answered it in between. All other requests that a server was running are cleared by their next answer.
/// Processes exchange evidence, which only accumulates, so the order in which it arrives does not matter.
class request_quarantine {
public:
    explicit request_quarantine(request_quarantine_settings settings)
        : settings_(settings),
          answers_(settings.max_answered, settings.harmless_before + settings.settle_time) {}

    /// Names of this process and of all processes that may send a probe.
    void set_members(std::string own_name, std::vector<std::string> all_names);

    /// A server has closed the connection of an attempt of this process.
    void on_cut(request_key request, const cut_run& cut, time_point now);
    /// A server has answered the request without crashing.
    void on_answered(request_key request, time_point now);
    /// An operator has found the request to be harmless. Returns false if it is not known.
    bool release(request_key request, time_point now);
    void merge(const request_evidence& evidence, time_point now);

    /// Forgets what is out of date, and returns what has changed since the last call.
    [[nodiscard]] std::vector<request_change> poll(time_point now);

    /// Returns the time left if the attempt must not be sent to a server now. An attempt that may be sent as
    /// a probe uses up the probe of the current slot.
    [[nodiscard]] std::optional<duration> check(request_key request, std::uint64_t attempt, time_point now);
    /// False if an attempt that has just been cut must not be sent to another server.
    [[nodiscard]] bool may_repeat(request_key request) const;

    /// Evidence that is newer than `revision` of this process, or any if that is 0: what this process has
    /// observed itself, and what concerns requests that have lost more than one server. Names at most
    /// `max_told` requests, those that are suspected most, and passes over the others until they lose another
    /// server.
    [[nodiscard]] request_evidence evidence_after(std::uint64_t revision, time_point now) const;
    /// True if this process has observed a cut since the last call whose request had lost another server
    /// before.
    [[nodiscard]] bool take_repeated_cut();
    /// Number of cuts that this process has observed itself.
    [[nodiscard]] std::uint64_t observed_cuts() const noexcept { return observed_cuts_; }

    /// The requests that are quarantined now, and those whose quarantine has been lifted lately, as agents of
    /// engines hold them back.
    [[nodiscard]] std::vector<held_part> announcement(time_point now) const;
    /// The requests that are quarantined now, probes included.
    [[nodiscard]] std::vector<quarantined_request> quarantined(time_point now) const;
    [[nodiscard]] bool is_quarantined(request_key request, time_point now) const;
    [[nodiscard]] std::size_t suspect_count() const noexcept { return requests_.size(); }

private:
    struct known_cut {
        std::uint64_t server = 0;
        std::uint64_t attempt = 0;
        time_point at;
    };
    /// How strongly a request is suspected: by its counted cuts, then by the time of the last of them.
    struct suspicion {
        std::size_t cuts = 0;
        time_point last_cut;
        auto operator<=>(const suspicion&) const = default;
    };
    struct known_request {
        /// In the order of time.
        std::vector<known_cut> cuts;
        std::optional<time_point> answered_at;
        /// Zero while this need not be told to other processes.
        std::uint64_t revision = 0;
        /// Another quarantined request was lost with one of the same servers.
        bool shares_servers = false;
        std::optional<std::uint64_t> probed_slot;
        std::uint64_t probe_attempt = 0;
        /// As in `by_suspicion_`.
        suspicion indexed;
    };
    struct verdict {
        std::size_t cuts = 0;
        time_point last_cut;
        duration quarantine_time{0};
    };
    using cut_list = std::vector<known_cut>;

    void clear(known_request& known, time_point at);
    [[nodiscard]] bool counts(const known_request& known, const known_cut& cut) const;
    [[nodiscard]] cut_list counted_cuts(const known_request& known) const;
    [[nodiscard]] suspicion suspicion_of(const known_request& known) const;
    /// To be called after each change of the request's cuts or of its last answer.
    void update_index(request_key request, known_request& known);
    [[nodiscard]] bool is_suspected_often(const known_request& known) const;
    /// Returns false if the crash is known already.
    bool add_cut(known_request& known, const known_cut& cut) const;
    /// Nothing unless the request is quarantined or probed.
    [[nodiscard]] std::optional<verdict> judge(const known_request& known, time_point now) const;
    void find_shared_servers(time_point now);
    [[nodiscard]] request_phase phase(const verdict& value, time_point now) const;
    [[nodiscard]] std::uint64_t slot_at(const verdict& value, time_point now) const;
    [[nodiscard]] bool may_probe(request_key request, std::uint64_t slot) const;
    [[nodiscard]] suspected_request evidence_of(request_key request, const known_request& known,
                                                time_point now) const;
    known_request& find_or_add(request_key request);
    void expire(time_point now);
    void drop_least_suspected();

    request_quarantine_settings settings_;
    std::string own_name_;
    std::vector<std::string> members_;
    std::uint64_t revision_ = 0;
    bool has_repeated_cut_ = false;
    std::uint64_t observed_cuts_ = 0;
    std::unordered_map<request_key, known_request> requests_;
    /// The keys of `requests_`, the least suspected first: a full table displaces one without a search.
    std::set<std::pair<suspicion, request_key>> by_suspicion_;
    /// An older answer cannot clear anything of a crash that is still to be reported.
    recent_answers answers_;
    std::map<request_key, request_phase> reported_phases_;
    /// Requests whose quarantine was lifted, and when.
    std::map<request_key, time_point> lifted_;
};

} // namespace samphiretray::routing

namespace samphiretray {

template <>
inline constexpr auto name_table<routing::request_phase> =
    std::to_array<std::pair<routing::request_phase, std::string_view>>({
        {routing::request_phase::quarantined, "quarantined"},
        {routing::request_phase::probing, "probing"},
    });

} // namespace samphiretray
