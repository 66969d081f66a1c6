#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/base/name_table.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace samphiretray::orders {

enum class claim_state {
    /// The call may have been made, and its outcome is unknown.
    claimed,
    /// The call was not made and will not be made. Another request may take over the claim.
    not_run,
    /// The call was made; repeats get the recorded answer.
    done,
};

/// The recorded answer of a call.
struct outcome {
    std::uint16_t status = 0;
    std::string content_type;
    std::string body;
    /// True if the answer's body was too large and is not recorded.
    bool body_omitted = false;
};

/// Reserves an idempotency key for one request, so that its call is made at most once.
struct claim {
    /// `claim_key` of the organisation and the idempotency key.
    std::string key;
    /// Digest of the request, which shows whether a repeat has the same content.
    std::string content_digest;
    /// ID of the request that made the claim, unique over all entries.
    std::string request_id;
    /// Seconds since the Unix epoch, by the wall clock of the entry that wrote the claim.
    std::int64_t claimed_at = 0;
    claim_state state = claim_state::claimed;
    /// Only set with `done`.
    outcome answer;
};

/// Digest under which a call is claimed; identifies an organisation's idempotency key.
[[nodiscard]] std::string claim_key(std::string_view organisation, std::string_view idempotency_key);
/// Shard of a claim key, below `shards`.
[[nodiscard]] std::uint32_t claim_shard(std::string_view key, std::uint32_t shards);
/// Key of a shard's ledger in the key-value service.
[[nodiscard]] std::string shard_key(std::uint32_t shard);

struct ledger_limits {
    /// Maximum size of the formatted ledger. The service accepts values of at most one megabyte; the rest is
    /// left for JSON escapes.
    std::size_t max_bytes = 900'000;
    /// Claims older than this are dropped. Claims are kept for at most 24 h.
    std::int64_t retention_seconds = 24L * 3600;
    /// Maximum sizes of a recorded body and content type. If one is exceeded, both are omitted.
    std::size_t max_body_bytes = 2048;
    std::size_t max_content_type_bytes = 128;
};

/// The value of `claims/<shard>`: the claims of a shard in the order in which they were added.
///
/// Expiry compares wall clocks of different entries: a writer whose clock is ahead by d shortens the
/// retention of all claims of the shard by d.
class claim_ledger {
public:
    explicit claim_ledger(ledger_limits limits = {}) : limits_(limits) {}
    claim_ledger(const claim_ledger&) = delete;
    claim_ledger& operator=(const claim_ledger&) = delete;
    claim_ledger(claim_ledger&&) = default;
    claim_ledger& operator=(claim_ledger&&) = default;
    ~claim_ledger() = default;

    /// Fails with `errc::protocol_error` (step `claim`) and a message that names the line. An empty text is
    /// an empty ledger.
    [[nodiscard]] static result<claim_ledger> parse(std::string_view text, ledger_limits limits = {});
    /// Formats a header line and one line per claim, with fields separated by spaces and bytes outside
    /// printable ASCII escaped.
    [[nodiscard]] std::string format() const;

    /// The claim of a key, if there is one.
    [[nodiscard]] std::optional<claim> find(std::string_view key) const;
    /// Adds a claim, or replaces one that is `not_run`. Returns false if the key has another claim or if the
    /// ledger is full; to make room, only claims that are `not_run` are dropped.
    [[nodiscard]] bool add(const claim& added);
    /// Sets the outcome of a claim that is still `claimed` by `request`. Returns false if there is none. The
    /// content type and body are omitted if they exceed the limits or the ledger is full.
    bool set_done(std::string_view key, std::string_view request, outcome answer);
    /// Marks a claim that is still `claimed` by `request` as `not_run`. Returns false if there is none.
    bool set_not_run(std::string_view key, std::string_view request);
    /// Drops the claims older than the retention time.
    void drop_expired(std::int64_t now_seconds);

    [[nodiscard]] std::size_t size() const noexcept { return claims_.size(); }
    /// Length of `format()`.
    [[nodiscard]] std::size_t bytes() const noexcept;

private:
    /// A claim as formatted text. Most claims of a shard are only copied from one write to the next, so the
    /// fields that are not needed for that are parsed on demand.
    struct stored_claim {
        std::string line;
        std::size_t key_size = 0;
        std::int64_t claimed_at = 0;
        claim_state state = claim_state::claimed;

        [[nodiscard]] std::string_view key() const { return std::string_view{line}.substr(0, key_size); }
    };
    using position = std::list<stored_claim>::iterator;

    [[nodiscard]] static std::optional<stored_claim> parse_stored_claim(std::string line);
    [[nodiscard]] bool insert(std::string line);
    bool update(std::string_view key, std::string_view request, claim_state state, outcome answer);
    void erase(position at);
    template <typename Predicate>
    void drop_if(Predicate dropped);

    ledger_limits limits_;
    std::list<stored_claim> claims_;
    /// Keys are views of the lines in `claims_`, whose list nodes keep their addresses.
    std::unordered_map<std::string_view, position> by_key_;
    std::size_t line_bytes_ = 0;
};

} // namespace samphiretray::orders

namespace samphiretray {

template <>
inline constexpr auto name_table<orders::claim_state> =
    std::to_array<std::pair<orders::claim_state, std::string_view>>({
        {orders::claim_state::claimed, "claimed"},
        {orders::claim_state::not_run, "not_run"},
        {orders::claim_state::done, "done"},
    });

} // namespace samphiretray
