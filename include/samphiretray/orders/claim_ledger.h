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
    /// The call may have been made; its outcome is unknown.
    claimed,
    /// The call was not made and will not be. Another request may take the claim over.
    not_run,
    /// The call was made; the recorded answer goes to each repeat.
    done,
};

/// A recorded answer.
struct outcome {
    std::uint16_t status = 0;
    std::string content_type;
    std::string body;
    /// True if the answer's body exceeded the bound and is not recorded.
    bool body_omitted = false;
};

struct claim {
    /// `claim_key` of the organisation and the idempotency key.
    std::string key;
    /// Digest of the request's method, path and body.
    std::string content;
    /// Unique over all requests of all entries.
    std::string request;
    /// Seconds since the epoch by the wall clock of the entry that wrote the claim.
    std::int64_t claimed_at = 0;
    claim_state state = claim_state::claimed;
    /// Only with `done`.
    outcome answer;
};

/// Digest under which a call is claimed.
[[nodiscard]] std::string claim_key(std::string_view organisation, std::string_view idempotency_key);
/// Shard of a claim key, below `shards`.
[[nodiscard]] std::uint32_t claim_shard(std::string_view key, std::uint32_t shards);
/// Key of a shard's value in the key-value service.
[[nodiscard]] std::string claims_key(std::uint32_t shard);

struct ledger_limits {
    /// Largest text; the service takes values of at most one megabyte, with room left for its JSON escapes.
    std::size_t max_bytes = 900'000;
    /// Claims older than this are dropped. Claims are kept 24 h at most.
    std::int64_t retention_seconds = 24L * 3600;
    /// Longest recorded body and content type; a longer body is omitted from the record.
    std::size_t max_body_bytes = 2048;
    std::size_t max_content_type_bytes = 128;
};

/// The value of `claims/<shard>`: claims in order of their time.
///
/// Expiry compares wall clocks of different entries. A writer whose clock is ahead by d shortens the
/// retention of all claims of the shard by d.
class claim_ledger {
public:
    explicit claim_ledger(ledger_limits limits = {}) : limits_(limits) {}
    claim_ledger(const claim_ledger&) = delete;
    claim_ledger& operator=(const claim_ledger&) = delete;
    claim_ledger(claim_ledger&&) = default;
    claim_ledger& operator=(claim_ledger&&) = default;
    ~claim_ledger() = default;

    /// Fails with `errc::protocol_error` (step `claim`) naming the line. An empty text is an empty ledger.
    [[nodiscard]] static result<claim_ledger> parse(std::string_view text, ledger_limits limits = {});
    /// One line for each claim, fields separated by spaces, bytes outside printable ASCII escaped.
    [[nodiscard]] std::string format() const;

    /// The claim of a key, if there is one.
    [[nodiscard]] std::optional<claim> find(std::string_view key) const;
    /// Adds a claim, or replaces one that is `not_run`. Returns false if the key has another claim, or if
    /// there is no room; only claims that are `not_run` are dropped for room.
    [[nodiscard]] bool add(const claim& added);
    /// Sets the outcome of a claim that is still `claimed` by `request`. Returns false if there is none. A
    /// body for which there is no room is omitted.
    bool set_done(std::string_view key, std::string_view request, outcome answer);
    bool set_not_run(std::string_view key, std::string_view request);
    /// Drops the claims older than the retention.
    void drop_expired(std::int64_t now_seconds);

    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }
    /// Length of `format()`.
    [[nodiscard]] std::size_t bytes() const noexcept;

private:
    /// A claim in its text form. Most claims of a shard are only carried from one write to the next, so their
    /// other fields are parsed on demand.
    struct entry {
        std::string line;
        std::size_t key_size = 0;
        std::int64_t claimed_at = 0;
        claim_state state = claim_state::claimed;

        [[nodiscard]] std::string_view key() const { return std::string_view{line}.substr(0, key_size); }
    };
    using position = std::list<entry>::iterator;

    [[nodiscard]] static std::optional<entry> parse_entry(std::string line);
    [[nodiscard]] bool insert(std::string line);
    bool update(std::string_view key, std::string_view request, claim_state state, outcome answer);
    void erase(position at);
    template <typename Predicate>
    void drop_if(Predicate dropped);

    ledger_limits limits_;
    std::list<entry> entries_;
    /// Keys as in the lines, which stay where they are.
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
