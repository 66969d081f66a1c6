#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/base/name_table.h"
#include "samphiretray/base/time.h"
#include "samphiretray/orders/claim_ledger.h"
#include "samphiretray/ports/key_value.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace samphiretray::orders {

enum class claim_result {
    /// Recorded for this request; it may be sent.
    claimed,
    /// Another request holds the claim and its outcome is unknown (409).
    held,
    /// `claim_answer::answer` is the outcome to repeat.
    finished,
    /// The key came with other content before (409).
    mismatch,
    /// Certainly not recorded; the request is refused as not run.
    not_recorded,
    /// Perhaps recorded. The request must not be sent and is refused as not run; the batcher marks the claim
    /// `not_run` once it can.
    perhaps_recorded,
};

struct claim_request {
    std::string key;
    std::string content;
    std::string request;
    /// The claim is answered by then.
    time_point deadline;
};

struct claim_answer {
    std::string request;
    claim_result result = claim_result::not_recorded;
    /// Only with `finished`.
    outcome answer;
    /// Why the claim was not recorded; only with `not_recorded` and `perhaps_recorded`.
    errc reason = errc::unavailable;
};

struct claim_batcher_options {
    /// Time for which claims are collected before a write.
    duration collect = 20ms;
    /// Longest time for which outcomes wait for a write that claims cause. Until then a repeat through
    /// another entry is answered `held`, and a crash leaves the outcome unknown. Measured at 300 orders/s
    /// over 30 entries and 64 shards: 1.66 writes an order with 3 s, 1.98 with 500 ms.
    duration outcome_delay = 3s;
    /// Wait after a failed call, doubled up to `max_retry`.
    duration retry = 50ms;
    duration max_retry = 2s;
    /// Age up to which the ledger of the last call is taken as current without a read.
    duration cache_age = 100ms;
    /// Claims that wait at most; more are answered `not_recorded`.
    std::size_t max_waiting = 4096;
};

struct read_claims {
    std::uint64_t call = 0;
    std::string key;
};
struct write_claims {
    std::uint64_t call = 0;
    ports::swap_request swap;
};
using claims_call = std::variant<read_claims, write_claims>;

/// Batches one entry's claims and outcomes of one shard into compare-and-swap writes.
///
/// Call `next_call` after every other call and at `wake_at`. One call to the service is pending at a time.
class claim_batcher {
public:
    explicit claim_batcher(std::uint32_t shard, ledger_limits limits = {},
                           claim_batcher_options options = {});

    /// Asks for a claim; its answer comes from `take_answers`.
    void claim_call(claim_request asked, time_point now);
    /// Records the outcome of a call whose claim was answered `claimed`, and retries until it is recorded or
    /// the claim is gone. An unknown outcome is not recorded.
    void record_done(std::string key, std::string request, outcome answer, time_point now);
    /// Records that such a call was not made and will not be.
    void record_not_run(std::string key, std::string request, time_point now);

    /// The next call to the service, if one is due. `now_seconds` is the wall clock.
    [[nodiscard]] std::optional<claims_call> next_call(time_point now, std::int64_t now_seconds);
    /// Results; those of other than the pending call are dropped.
    void on_read(std::uint64_t call, const result<ports::versioned_value>& answer, time_point now);
    void on_written(std::uint64_t call, const result<std::uint64_t>& answer, time_point now);

    /// Answers since the last call, each claim's once. Claims past their deadline are answered here.
    [[nodiscard]] std::vector<claim_answer> take_answers(time_point now);
    /// When `take_answers` and `next_call` must be called again at the latest; nothing if idle.
    [[nodiscard]] std::optional<time_point> wake_at() const;

    /// Writes outcomes without delay from now on, for a planned stop.
    void flush() { flushing_ = true; }
    /// True if nothing waits, so that the entry may stop without losing an outcome.
    [[nodiscard]] bool idle() const noexcept;

private:
    struct waiting_claim {
        claim_request asked;
        time_point since;
        /// Part of a write whose effect is not known yet.
        bool in_write = false;
    };
    struct waiting_outcome {
        std::string key;
        std::string request;
        /// Nothing for `not_run`.
        std::optional<outcome> answer;
        time_point since;
    };
    struct pending_write {
        ports::swap_request swap;
        /// How many of `outcomes_` it contains.
        std::size_t outcomes = 0;
        /// True if an attempt may have taken effect, or may still do so.
        bool perhaps_done = false;
    };

    [[nodiscard]] time_point write_at() const;
    [[nodiscard]] claims_call start_read();
    [[nodiscard]] claims_call start_write();
    [[nodiscard]] std::optional<claims_call> merge(std::int64_t now_seconds);
    [[nodiscard]] bool merge_outcomes();
    [[nodiscard]] bool merge_claims(std::int64_t now_seconds);
    [[nodiscard]] bool answer_from(const claim& found, const waiting_claim& asked);
    [[nodiscard]] bool adopt(const std::string& text);
    void succeed(std::uint64_t revision, time_point now);
    void drop_write();
    void confirm_write();
    void on_failure(errc reason, time_point now);
    void answer(const waiting_claim& asked, claim_result result, errc reason = errc::unavailable);

    std::string key_;
    ledger_limits limits_;
    claim_batcher_options options_;
    std::vector<waiting_claim> claims_;
    std::vector<waiting_outcome> outcomes_;
    std::vector<claim_answer> answers_;
    /// As of `revision_`, with the changes of `write_` if there is one.
    claim_ledger ledger_;
    std::uint64_t revision_ = 0;
    time_point read_at_;
    bool must_read_ = true;
    std::optional<pending_write> write_;
    std::optional<std::uint64_t> pending_call_;
    std::uint64_t last_call_ = 0;
    int failures_ = 0;
    bool flushing_ = false;
    duration backoff_ = 0us;
    time_point retry_at_;
    errc last_failure_ = errc::timeout;
};

} // namespace samphiretray::orders

namespace samphiretray {

template <>
inline constexpr auto name_table<orders::claim_result> =
    std::to_array<std::pair<orders::claim_result, std::string_view>>({
        {orders::claim_result::claimed, "claimed"},
        {orders::claim_result::held, "held"},
        {orders::claim_result::finished, "finished"},
        {orders::claim_result::mismatch, "mismatch"},
        {orders::claim_result::not_recorded, "not_recorded"},
        {orders::claim_result::perhaps_recorded, "perhaps_recorded"},
    });

} // namespace samphiretray
