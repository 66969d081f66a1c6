#pragma once

#include "samphiretray/base/name_table.h"
#include "samphiretray/base/time.h"
#include "samphiretray/routing/recent_answers.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace samphiretray::routing {

/// Hash of the id of a prompt part.
using part_key = std::uint64_t;

struct prompt_request {
    /// In evidence, what all attempts at the request have in common; in a check, the hash of the attempt's
    /// id.
    std::uint64_t id = 0;
    /// The parts that other requests may share.
    std::vector<part_key> parts;
};

struct engine_crash {
    /// Address and start time of the crashed incarnation.
    std::string engine;
    duration age{0};
    /// The requests that may have caused the crash, the most likely first.
    std::vector<prompt_request> requests;
};

/// A part on which an engine has begun an answer without crashing.
struct harmless_part {
    part_key part = 0;
    /// Time since that answer began.
    duration age{0};
};

/// What one process tells another about crashes. Times are sent as ages, since clocks differ.
struct crash_evidence {
    /// The sender's revision of this evidence.
    std::uint64_t revision = 0;
    std::vector<engine_crash> crashes;
    std::vector<harmless_part> harmless;
};

struct crash_quarantine_settings {
    /// Crashes with a part in common after which the part is quarantined.
    std::uint32_t min_crashes = 3;
    /// These crashes are not all by one request that was sent again.
    std::uint32_t min_requests = 2;
    /// A crash counts only after this time, in which other processes report parts that are harmless.
    duration settle_time = 600ms;
    /// A part is not suspected of a crash if an answer on it began this long before the crash, or later.
    duration harmless_before = 5s;
    /// Duration of the first quarantine of a part. Each crash after its end doubles the next one.
    duration quarantine_time = 20s;
    std::uint32_t max_doublings = 5;
    /// After a quarantine, one request in each slot may show whether the part still crashes engines.
    duration probe_slot = 5s;
    std::uint32_t probe_slots = 6;
    /// Crashes are forgotten after this time. It is longer than the longest quarantine.
    duration memory = 30min;
    std::size_t max_crashes = 64;
    std::size_t max_requests_per_crash = 12;
    std::size_t max_parts_per_request = 8;
    /// A lifted quarantine is announced for this long.
    duration lift_announcement = 30s;
    /// Most parts with a recent answer in each of two generations.
    std::size_t max_answered_parts = 4096;
    /// Parts that together explain all crashes of another part make it ambiguous; more than this many do not.
    std::size_t max_companions = 3;
};

enum class quarantine_phase { quarantined, probing, released };

/// Why a request must not be sent to an engine.
struct quarantine_match {
    part_key part = 0;
    duration retry_after{0};
};

/// A quarantined part as one process announces it to another.
struct held_part {
    part_key part = 0;
    /// If not empty, only requests that also have one of these parts are held back.
    std::vector<part_key> companions;
    /// Zero if the part is no longer quarantined.
    duration time_left{0};
};

/// Whether requests with these parts, one of which is quarantined with these companions, are held back.
[[nodiscard]] bool is_held_back(std::span<const part_key> parts, std::span<const part_key> companions);

struct quarantine_change {
    part_key part = 0;
    /// Empty if the part has turned out to be harmless.
    std::optional<quarantine_phase> phase;
    std::uint32_t crashes = 0;
    duration last_crash_age{0};
    std::size_t companions = 0;
};

/// Finds prompt parts that crash every engine that begins an answer on them, and keeps requests with such a
/// part from further engines.
///
/// A part is suspected if several crashed engines were running requests with it, and no engine has begun an
/// answer on it since without crashing. Processes exchange evidence, which only accumulates, so the order in
/// which it arrives does not matter.
class crash_quarantine {
public:
    explicit crash_quarantine(crash_quarantine_settings settings)
        : settings_(settings),
          answers_(settings.max_answered_parts, 4 * (settings.harmless_before + settings.settle_time)) {}

    /// Names of this process and of all processes that may send a probe request. Before the first call this
    /// process sends none.
    void set_members(std::string own_name, std::vector<std::string> all_names);

    /// An engine began an answer at `began_at` and did not crash.
    void on_answered(std::span<const part_key> parts, time_point began_at, time_point now);
    /// Requests of a known crash are added to it.
    void on_crash(const engine_crash& crash, time_point now);
    void merge(const crash_evidence& evidence, time_point now);

    /// Updates the quarantined parts and returns what has changed since the last call.
    [[nodiscard]] std::vector<quarantine_change> poll(time_point now);

    /// Returns nothing if the request may be sent to an engine now. A request that may be sent as a probe
    /// uses up the probe of the current slot.
    [[nodiscard]] std::optional<quarantine_match> check(const prompt_request& request, time_point now);

    /// Evidence that is newer than `revision` of this process.
    [[nodiscard]] crash_evidence evidence_after(std::uint64_t revision, time_point now) const;
    /// The newest crashes that support each current quarantine.
    [[nodiscard]] crash_evidence supporting_evidence(time_point now) const;

    [[nodiscard]] std::size_t crash_count() const noexcept { return crashes_.size(); }
    /// The parts that are quarantined now, and those that have turned out to be harmless since `poll` last
    /// found one quarantined.
    [[nodiscard]] std::vector<held_part> announcement(time_point now) const;
    /// Number of parts that are quarantined or probed.
    [[nodiscard]] std::size_t quarantined_count(time_point now) const;

private:
    struct known_crash {
        time_point at;
        std::vector<prompt_request> requests;
        std::uint64_t revision = 0;
    };
    struct suspect {
        std::optional<time_point> harmless_at;
        /// Zero while this need not be told to other processes.
        std::uint64_t revision = 0;
        std::size_t crashes = 0;
    };
    struct rule {
        std::uint32_t crashes = 0;
        std::uint32_t relapses = 0;
        time_point last_crash;
        /// If not empty, only requests that also have one of these parts are held back.
        std::vector<part_key> companions;
        std::optional<std::uint32_t> probed_slot;
        std::uint64_t probe_request = 0;
    };
    using crash_list = std::vector<const known_crash*>;
    /// Indices of crashes in a list.
    using crash_set = std::set<std::size_t>;
    struct suspicion {
        crash_set crashes;
        /// Sum of 1 / n, where n is the position of the first request with the part among those that may have
        /// caused each crash.
        double likelihood = 0;
    };
    using suspicions = std::map<part_key, suspicion>;

    void note_harmless(part_key part, suspect& known, time_point at);
    [[nodiscard]] bool is_suspected(part_key part, const known_crash& crash) const;
    void add_suspects(const std::set<part_key>& parts);
    void drop_oldest();
    void expire(time_point now);
    void update_rules(time_point now);
    /// The crashes that count; also notes when the next one does.
    [[nodiscard]] crash_list take_settled_crashes(time_point now);
    [[nodiscard]] suspicions suspicions_of(const crash_list& counted) const;
    [[nodiscard]] bool is_established(part_key part, const suspicion& value, const crash_list& counted) const;
    [[nodiscard]] rule make_rule(part_key part, const suspicions& all, const crash_list& counted) const;
    [[nodiscard]] std::vector<part_key> companions_of(part_key part, const suspicions& all,
                                                      const crash_list& counted) const;
    void drop_explained(const suspicions& all, const crash_list& counted);
    [[nodiscard]] bool explains(const suspicion& other, const suspicion& value) const;
    [[nodiscard]] duration quarantine_time(const rule& value) const;
    [[nodiscard]] quarantine_phase phase(const rule& value, time_point now) const;
    [[nodiscard]] bool may_probe(part_key part, std::uint32_t slot) const;

    crash_quarantine_settings settings_;
    std::string own_name_;
    std::vector<std::string> members_;
    std::uint64_t revision_ = 0;
    std::map<std::string, known_crash> crashes_;
    std::unordered_map<part_key, suspect> suspects_;
    /// An older answer cannot clear anything of a crash that is still to be reported.
    recent_answers answers_;
    std::unordered_map<part_key, rule> rules_;
    std::map<part_key, quarantine_phase> reported_phases_;
    /// Parts whose quarantine was lifted, and when.
    std::map<part_key, time_point> lifted_;
    bool changed_ = false;
    /// When the next crash begins to count.
    std::optional<time_point> settles_at_;
};

} // namespace samphiretray::routing

namespace samphiretray {

template <>
inline constexpr auto name_table<routing::quarantine_phase> =
    std::to_array<std::pair<routing::quarantine_phase, std::string_view>>({
        {routing::quarantine_phase::quarantined, "quarantined"},
        {routing::quarantine_phase::probing, "probing"},
        {routing::quarantine_phase::released, "released"},
    });

} // namespace samphiretray
