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

/// Statuses that promise that the attempt has not run and will not.
[[nodiscard]] bool promises_not_run(int status) noexcept;

/// How often, and when last, servers ran one attempt.
struct attempt_runs {
    int runs = 0;
    time_point last_run;
};

/// Checks the system's guarantees against what callers and servers observe, and collects each violation with
/// its time.
class invariant_checker {
public:
    explicit invariant_checker(time_point start) : start_(start) {}

    /// `crashes_engines` if its prompt has the part on which engines crash; nobody expects an answer then.
    void on_attempt_sent(const std::string& attempt, request_kind kind, const std::string& organisation,
                         bool crashes_engines, time_point now);
    /// The caller sends a refused attempt once more, under another name.
    void on_attempt_repeated(const std::string& refused, const std::string& name, time_point now);
    /// An engine crashed on an attempt's prompt.
    void on_prompt_crash(time_point now) { prompt_crashes_.push_back(now); }
    /// A server crashed on a crashing request to `path`.
    void on_request_crash(const std::string& path, time_point now) { request_crashes_[path].push_back(now); }
    /// A server starts to run an attempt; `credential_received` if the request still carries the caller's API
    /// key.
    void on_attempt_run(const std::string& server, const std::string& attempt,
                        const std::string& organisation, bool credential_received, double tokens,
                        time_point now);
    /// The caller received a final response; `complete` if its body is exactly the one that a server sends
    /// for this attempt.
    void on_attempt_answered(const std::string& attempt, int status, bool complete, time_point now);
    /// The call failed without a complete response.
    void on_attempt_failed(const std::string& attempt);

    /// An engine received an order; `newest_fencing_number` is the highest that it had accepted before.
    void on_engine_order(const std::string& engine, const std::string& owner, std::uint64_t fencing_number,
                         std::uint64_t newest_fencing_number);
    /// An engine was told to load more adapters than it has slots.
    void on_engine_overloaded(const std::string& engine);
    /// A process reported the version of the configuration that it has in force.
    void on_configuration_reported(const std::string& process, const std::string& incarnation,
                                   std::uint64_t version);
    /// A process exited that the soak had not stopped.
    void on_process_exited(const std::string& process);
    /// Sets the rate and burst, in tokens, that the organisation must not exceed.
    void set_rate_limit(const std::string& organisation, double rate, double burst);
    void add_violation(const std::string& what, time_point now);

    [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return violations_; }
    /// Number of crashes on a prompt from `since` on.
    [[nodiscard]] std::size_t prompt_crashes(time_point since) const;
    /// The same on crashing requests, by path.
    [[nodiscard]] std::map<std::string, std::size_t> request_crashes(time_point since) const;
    [[nodiscard]] std::size_t attempt_count() const noexcept { return attempts_.size(); }
    /// Fraction of the organisation's attempts sent from `since` on that got a complete response.
    [[nodiscard]] double answered_fraction(const std::string& organisation, time_point since) const;

private:
    struct attempt {
        request_kind kind = request_kind::safe;
        std::string organisation;
        bool crashes_engines = false;
        time_point sent_at;
        int runs = 0;
        /// HTTP status; 0 while there is no response, -1 if the call failed.
        int status = 0;
        bool complete = false;
        /// The first attempt of a caller that came back.
        std::string first = {};
    };
    /// Token limit of an organisation and the tokens of the attempts that servers ran in the last window.
    struct token_usage {
        double rate = 0;
        double burst = 0;
        std::deque<std::pair<time_point, double>> window;
        double window_tokens = 0;
    };

    time_point start_;
    std::map<std::string, attempt> attempts_;
    std::vector<time_point> prompt_crashes_;
    std::map<std::string, std::vector<time_point>> request_crashes_;
    /// Name of the first owner that sent an order, by engine.
    std::map<std::string, std::string> owners_;
    /// Newest reported version by process and incarnation.
    std::map<std::string, std::uint64_t> newest_configurations_;
    std::map<std::string, token_usage> token_usage_;
    std::vector<std::string> violations_;
};

} // namespace samphiretray::soak
