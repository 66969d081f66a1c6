#pragma once

#include "samphiretray/base/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace samphiretray::soak {

enum class request_kind { safe, at_most_once, stream };

/// What the servers have seen of one attempt.
struct attempt_runs {
    int runs = 0;
    time_point last_run;
};

/// Checks the system's promises on what callers and servers see. Violations are collected with their time.
class promises {
public:
    explicit promises(time_point start) : start_(start) {}

    void attempt_sent(const std::string& attempt, request_kind kind, const std::string& organisation,
                      time_point now);
    /// A server begins to work on an attempt.
    void attempt_runs_at(const std::string& server, const std::string& attempt,
                         const std::string& organisation, bool key_seen, double tokens, time_point now);
    /// The caller has a final answer; `whole` if its body is the whole of what the server sends for the
    /// attempt.
    void attempt_answered(const std::string& attempt, int status, bool whole, time_point now);
    /// The caller saw the end of its connection instead.
    void attempt_lost(const std::string& attempt);

    /// An engine was given an order.
    void engine_ordered(const std::string& engine, const std::string& owner, std::uint64_t fencing_number,
                        std::uint64_t newest_fencing_number);
    void engine_overloaded(const std::string& engine);
    /// The configuration that a process says is in force.
    void configuration_seen(const std::string& process, const std::string& incarnation,
                            std::uint64_t version);
    void process_ended(const std::string& process);
    void limit(const std::string& organisation, double rate, double burst);
    void violate(const std::string& what, time_point now);

    [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return violations_; }
    [[nodiscard]] std::size_t sent() const noexcept { return attempts_.size(); }
    /// Part of an organisation's attempts sent since then that have a whole answer.
    [[nodiscard]] double answered_part(const std::string& organisation, time_point since) const;

private:
    struct attempt {
        request_kind kind = request_kind::safe;
        std::string organisation;
        time_point sent_at;
        int runs = 0;
        int status = 0;
        bool whole = false;
    };
    struct spending {
        double rate = 0;
        double burst = 0;
        std::deque<std::pair<time_point, double>> window;
        double in_window = 0;
    };

    time_point start_;
    std::map<std::string, attempt> attempts_;
    std::map<std::string, std::string> owners_;
    std::map<std::string, std::uint64_t> configurations_;
    std::map<std::string, spending> spending_;
    std::vector<std::string> violations_;
};

} // namespace samphiretray::soak
