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
    /// The claim is recorded for this request, which may be sent.
    claimed,
    /// Another request holds the claim, and its outcome is unknown (409).
    held,
    /// The call was made before; `claim_answer::answer` is the outcome to return again.
    finished,
    /// The key was used before with different content (409).
    mismatch,
    /// The claim was certainly not recorded; the request is refused as not run.
    not_recorded,
    /// The claim may have been recorded. The request must not be sent and is refused as not run; the batcher
    /// marks the claim `not_run` as soon as it can.
    perhaps_recorded,
};

struct claim_request {
    /// As in `claim`.
    std::string key;
    std::string content_digest;
    std::string request_id;
    /// Latest time at which the claim is answered.
    time_point deadline;
};

struct claim_answer {
    std::string request_id;
    claim_result result = claim_result::not_recorded;
    /// The recorded outcome; only set with `finished`.
    outcome answer;
    /// Why the claim was not recorded; only set with `not_recorded` and `perhaps_recorded`.
    errc reason = errc::unavailable;
};

struct claim_batcher_options {
    /// Time for which claims are collected into one write.
    duration batching_delay = 20ms;
    /// Maximum time for which outcomes wait to be written together with claims. Until they are written, a
    /// repeat through another entry is answered `held`, and a crash leaves the outcome unknown. Measured at
    /// 300 orders/s over 30 entries and 64 shards: 1.66 writes per order with 3 s, 1.98 with 500 ms.
    duration max_outcome_delay = 3s;
    /// Delay after a failed call, doubled with each further failure up to `max_retry_delay`.
    duration initial_retry_delay = 50ms;
    duration max_retry_delay = 2s;
    /// A ledger that was read or written longer ago than this is read again before a write.
    duration max_cache_age = 100ms;
    /// Maximum number of waiting claims; further ones are answered `not_recorded`.
    std::size_t max_waiting_claims = 4096;
};

/// Reads the ledger of a shard. `call` identifies the call in `claim_batcher::on_read`.
struct read_claims {
    std::uint64_t call = 0;
    std::string key;
};
/// Writes the ledger of a shard. `call` identifies the call in `claim_batcher::on_written`.
struct write_claims {
    std::uint64_t call = 0;
    ports::swap_request swap;
};
using kv_call = std::variant<read_claims, write_claims>;

/// Batches one entry's claims and outcomes of one shard into compare-and-swap writes to the key-value
/// service.
///
/// Performs no I/O: the owner makes the calls that `next_call` returns and passes their results to `on_read`
/// and `on_written`. Call `next_call` and `take_answers` after every other call and at `wake_at`. At most one
/// call to the service is pending.
class claim_batcher {
public:
    explicit claim_batcher(std::uint32_t shard, ledger_limits limits = {},
                           claim_batcher_options options = {});

    /// Requests a claim; `take_answers` returns its answer.
    void request_claim(claim_request requested, time_point now);
    /// Records the outcome of a call whose claim was answered `claimed`. Retries until it is recorded or the
    /// claim no longer exists. Not called if the outcome is unknown.
    void record_done(std::string key, std::string request, outcome answer, time_point now);
    /// Records that such a call was not made and will not be made.
    void record_not_run(std::string key, std::string request, time_point now);

    /// The next call to the service, if one is due. `now_seconds` is the wall clock.
    [[nodiscard]] std::optional<kv_call> next_call(time_point now, std::int64_t now_seconds);
    /// Results of calls; ignored unless `call` is the pending one.
    void on_read(std::uint64_t call, const result<ports::versioned_value>& answer, time_point now);
    void on_written(std::uint64_t call, const result<std::uint64_t>& answer, time_point now);

    /// Answers since the last call of this function, one for each claim. Answers claims past their deadline.
    [[nodiscard]] std::vector<claim_answer> take_answers(time_point now);
    /// Latest time at which `take_answers` and `next_call` must be called again; `nullopt` if there is
    /// nothing to do.
    [[nodiscard]] std::optional<time_point> wake_at() const;

    /// Writes outcomes without delay from now on, for a planned shutdown.
    void flush() { flushing_ = true; }
    /// True if nothing is waiting or being written, so that the entry can stop without losing an outcome.
    [[nodiscard]] bool idle() const noexcept;

private:
    struct waiting_claim {
        claim_request requested;
        time_point since;
        /// True if the claim is part of a write whose effect is not known yet.
        bool in_write = false;
    };
    struct waiting_outcome {
        std::string key;
        std::string request;
        /// `nullopt` for `not_run`.
        std::optional<outcome> answer;
        time_point since;
    };
    struct pending_write {
        ports::swap_request swap;
        /// Number of outcomes in the write, which are the first ones of `outcomes_`.
        std::size_t outcomes = 0;
        /// True if an attempt may have taken effect, or may still take effect.
        bool perhaps_applied = false;
    };

    /// When the waiting claims and outcomes are to be written.
    [[nodiscard]] time_point next_write_at() const;
    [[nodiscard]] kv_call start_read();
    [[nodiscard]] kv_call start_write();
    [[nodiscard]] std::optional<kv_call> merge(std::int64_t now_seconds);
    [[nodiscard]] bool merge_outcomes();
    [[nodiscard]] bool merge_claims(std::int64_t now_seconds);
    [[nodiscard]] bool answer_from_existing(const claim& found, const waiting_claim& waiting);
    [[nodiscard]] bool replace_ledger(const std::string& text);
    void on_success(std::uint64_t revision, time_point now);
    void discard_write();
    void confirm_write();
    void on_failure(errc reason, time_point now);
    void answer(const waiting_claim& waiting, claim_result result, errc reason = errc::unavailable);

    std::string key_;
    ledger_limits limits_;
    claim_batcher_options options_;
    std::vector<waiting_claim> claims_;
    std::vector<waiting_outcome> outcomes_;
    std::vector<claim_answer> answers_;
    /// The shard's ledger at `revision_`, with the changes of `write_` if a write is pending.
    claim_ledger ledger_;
    std::uint64_t revision_ = 0;
    /// When `ledger_` was last read or written.
    time_point current_at_;
    bool must_read_ = true;
    std::optional<pending_write> write_;
    std::optional<std::uint64_t> pending_call_;
    std::uint64_t last_call_id_ = 0;
    int consecutive_failures_ = 0;
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
