#pragma once

#include "samphiretray/config/chunks.h"
#include "samphiretray/config/snapshot.h"
#include "samphiretray/wire/messages.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::config {

/// The configuration in force in one process. Its revision never goes down.
class replica {
public:
    /// Notes that a peer or the key-value service has `revision`. No lower one will come into force, unless
    /// `revision` turns out to be invalid.
    void saw_revision(std::uint64_t revision);

    /// Takes a manifest from a peer or from the key-value service. Gives the digests of the chunks that are
    /// still missing; after the last one the configuration is in force. Errors: `stale_revision` for a
    /// manifest that is lower than one seen, `invalid_argument` for one that cannot be parsed or has been
    /// refused.
    [[nodiscard]] result<std::vector<std::string>> offer_manifest(std::string_view text);

    /// Takes a chunk; gives the chunks that the pending manifest still lacks. Fails with `invalid_argument`
    /// if `text` does not have the digest, or if it completed a configuration that is invalid; the
    /// configuration in force then stays.
    [[nodiscard]] result<std::vector<std::string>> offer_chunk(std::string_view digest, std::string text);

    /// The configuration in force, or nothing before the first one.
    [[nodiscard]] std::shared_ptr<const snapshot> current() const noexcept { return current_; }
    /// Revision in force; 0 before the first one.
    [[nodiscard]] std::uint64_t revision() const noexcept { return current_ ? current_->revision() : 0; }
    /// Highest revision that was seen and not refused.
    [[nodiscard]] std::uint64_t highest_seen() const noexcept;
    /// The revision in force if `revision` has been refused here, else `revision`. Watchers pass what they
    /// read through this before they report it as the newest one.
    [[nodiscard]] std::uint64_t effective_revision(std::uint64_t revision) const noexcept;
    /// Chunks that the pending manifest lacks.
    [[nodiscard]] std::vector<std::string> missing() const;
    /// The last refusal, if the newest revision seen was refused; for status and metrics.
    [[nodiscard]] const std::optional<error>& last_refusal() const noexcept { return last_refusal_; }

    /// What to answer to a peer: the manifest in force and those of the asked chunks that are held, at most
    /// `reply_limit` bytes of chunks. The peer asks again for the rest.
    [[nodiscard]] wire::config_reply answer(const wire::config_request& request) const;
    static constexpr std::size_t reply_limit = 4U << 20U;

private:
    struct pending_manifest {
        manifest list;
        std::string text;
    };

    [[nodiscard]] result<std::vector<std::string>> advance();
    [[nodiscard]] status switch_to_pending();
    [[nodiscard]] error refuse_pending(error cause);
    void drop_outdated_pending();
    void forget_unused_chunks();

    std::shared_ptr<const snapshot> current_;
    manifest in_force_;
    std::string in_force_text_;
    std::optional<pending_manifest> pending_;
    chunk_map chunks_;
    /// Revisions above the one in force that were seen and not refused.
    std::set<std::uint64_t> seen_;
    std::set<std::uint64_t> refused_;
    std::optional<error> last_refusal_;
};

} // namespace samphiretray::config
