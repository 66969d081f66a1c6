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

/// The copy of the configuration that one process applies. Its revision never decreases.
class replica {
public:
    /// Records that a peer or the key-value service has `revision`. From then on no lower revision is
    /// applied, unless `revision` turns out to be invalid.
    void observe_revision(std::uint64_t revision);

    /// Takes a manifest from a peer or from the key-value service. Returns the digests of the chunks that are
    /// still missing; the configuration is applied as soon as none is missing. Errors: `stale_revision` for a
    /// manifest with a lower revision than one seen, or one not above the revision in force;
    /// `invalid_argument` for one that cannot be parsed, whose revision has been refused, or whose
    /// configuration is invalid.
    [[nodiscard]] result<std::vector<std::string>> offer_manifest(std::string_view text);

    /// Takes a chunk and returns the digests of the chunks that the pending manifest still lacks. Fails with
    /// `invalid_argument` if `text` does not match `digest`, or if the chunk completes a configuration that
    /// is invalid; the configuration in force then stays.
    [[nodiscard]] result<std::vector<std::string>> offer_chunk(std::string_view digest, std::string text);

    /// The configuration in force, or null before the first one.
    [[nodiscard]] std::shared_ptr<const snapshot> current() const noexcept { return current_; }
    /// Revision in force; 0 before the first one.
    [[nodiscard]] std::uint64_t revision() const noexcept { return current_ ? current_->revision() : 0; }
    /// Highest revision that was seen and has not been refused.
    [[nodiscard]] std::uint64_t highest_seen_revision() const noexcept;
    /// The revision in force if `revision` has been refused here, else `revision`. Watchers map the revision
    /// that they read with this function before they report it as the newest one.
    [[nodiscard]] std::uint64_t effective_revision(std::uint64_t revision) const noexcept;
    /// Digests of the chunks that the pending manifest still lacks.
    [[nodiscard]] std::vector<std::string> missing_chunks() const;
    /// Why a manifest or configuration was last refused; empty again once a later one is in force. For status
    /// and metrics.
    [[nodiscard]] const std::optional<error>& last_refusal() const noexcept { return last_refusal_; }

    /// The reply to a peer: the manifest in force and those of the requested chunks that this replica holds,
    /// up to `max_reply_bytes` of chunk texts. The peer requests the rest again.
    [[nodiscard]] wire::config_reply answer(const wire::config_request& request) const;
    static constexpr std::size_t max_reply_bytes = 4U << 20U;

private:
    struct pending_manifest {
        manifest parsed;
        std::string text;
    };

    [[nodiscard]] result<std::vector<std::string>> apply_if_complete();
    [[nodiscard]] status apply_pending();
    [[nodiscard]] error refuse_pending(error cause);
    void drop_outdated_pending();
    void drop_unused_chunks();

    std::shared_ptr<const snapshot> current_;
    manifest current_manifest_;
    std::string current_manifest_text_;
    std::optional<pending_manifest> pending_;
    chunk_map chunks_;
    /// Revisions above the one in force that were seen and have not been refused.
    std::set<std::uint64_t> seen_;
    std::set<std::uint64_t> refused_;
    std::optional<error> last_refusal_;
};

} // namespace samphiretray::config
