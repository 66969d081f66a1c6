#include "samphiretray/config/replica.h"

#include <algorithm>
#include <ranges>

namespace samphiretray::config {

namespace {

// Revisions that are remembered as seen or refused. Older ones no longer matter once a higher one is in
// force.
constexpr std::size_t remembered_revisions = 64;

error configure_error(errc code, std::string detail) {
    return make_error(code, step::configure, {}, std::move(detail));
}

void remember(std::set<std::uint64_t>& revisions, std::uint64_t revision) {
    revisions.insert(revision);
    if (revisions.size() > remembered_revisions) {
        revisions.erase(revisions.begin());
    }
}

void forget_up_to(std::set<std::uint64_t>& revisions, std::uint64_t revision) {
    revisions.erase(revisions.begin(), revisions.upper_bound(revision));
}

bool lists(const manifest& list, std::string_view digest) {
    return list.rules_chunk == digest || list.keys_chunk == digest ||
           std::ranges::find(list.inventory_chunks, digest) != list.inventory_chunks.end();
}

} // namespace

void replica::saw_revision(std::uint64_t revision) {
    if (revision > this->revision() && !refused_.contains(revision)) {
        remember(seen_, revision);
        drop_outdated_pending();
    }
}

void replica::drop_outdated_pending() {
    if (pending_ && pending_->list.revision < highest_seen()) {
        pending_.reset();
    }
}

std::uint64_t replica::highest_seen() const noexcept {
    return seen_.empty() ? revision() : *seen_.rbegin();
}

std::uint64_t replica::effective_revision(std::uint64_t revision) const noexcept {
    return refused_.contains(revision) ? this->revision() : revision;
}

result<std::vector<std::string>> replica::offer_manifest(std::string_view text) {
    const bool is_known = (current_ && text == in_force_text_) || (pending_ && text == pending_->text);
    if (is_known) {
        return missing();
    }
    auto parsed = parse_manifest(text);
    if (!parsed) {
        last_refusal_ = parsed.error();
        return parsed.error();
    }
    if (refused_.contains(parsed->revision)) {
        return configure_error(errc::invalid_argument,
                               "revision " + std::to_string(parsed->revision) + " was refused before");
    }
    saw_revision(parsed->revision);
    if (parsed->revision <= revision() || parsed->revision < highest_seen()) {
        return configure_error(errc::stale_revision,
                               "revision " + std::to_string(parsed->revision) +
                                   " is not above the one in force, " + std::to_string(revision()) +
                                   ", or below one seen, " + std::to_string(highest_seen()));
    }
    pending_ = pending_manifest{*std::move(parsed), std::string{text}};
    return advance();
}

result<std::vector<std::string>> replica::offer_chunk(std::string_view digest, std::string text) {
    if (!pending_ || !lists(pending_->list, digest) || chunks_.contains(digest)) {
        return missing();
    }
    if (chunk_digest(text) != digest) {
        return configure_error(errc::invalid_argument,
                               "chunk " + std::string{digest} + " differs from its digest");
    }
    chunks_.emplace(digest, std::move(text));
    return advance();
}

std::vector<std::string> replica::missing() const {
    if (!pending_) {
        return {};
    }
    std::vector<std::string> digests = pending_->list.chunks();
    std::erase_if(digests, [this](const std::string& digest) { return chunks_.contains(digest); });
    return digests;
}

result<std::vector<std::string>> replica::advance() {
    std::vector<std::string> digests = missing();
    if (!digests.empty()) {
        return digests;
    }
    if (const auto done = switch_to_pending(); !done) {
        return done.error();
    }
    return digests;
}

status replica::switch_to_pending() {
    auto joined = join(pending_->list, chunks_);
    if (!joined) {
        return refuse_pending(joined.error());
    }
    if (const auto valid = validate(*joined); !valid) {
        return refuse_pending(valid.error());
    }
    current_ = std::make_shared<const snapshot>(snapshot::build(pending_->list.revision, *joined));
    in_force_ = std::move(pending_->list);
    in_force_text_ = std::move(pending_->text);
    pending_.reset();
    forget_up_to(seen_, revision());
    forget_up_to(refused_, revision());
    last_refusal_.reset();
    forget_unused_chunks();
    return success();
}

error replica::refuse_pending(error cause) {
    const std::uint64_t refused = pending_->list.revision;
    cause.detail = "revision " + std::to_string(refused) + " is refused: " + cause.detail;
    remember(refused_, refused);
    seen_.erase(refused);
    pending_.reset();
    last_refusal_ = cause;
    forget_unused_chunks();
    return cause;
}

void replica::forget_unused_chunks() {
    std::erase_if(chunks_, [this](const auto& chunk) {
        return !lists(in_force_, chunk.first) && !(pending_ && lists(pending_->list, chunk.first));
    });
}

wire::config_reply replica::answer(const wire::config_request& request) const {
    wire::config_reply reply;
    reply.revision = revision();
    reply.manifest = in_force_text_;
    std::size_t size = 0;
    for (const std::string& digest : request.chunks) {
        const auto found = chunks_.find(digest);
        if (found == chunks_.end()) {
            continue;
        }
        size += found->second.size();
        if (size > reply_limit) {
            break;
        }
        reply.chunks.push_back({digest, found->second});
    }
    return reply;
}

} // namespace samphiretray::config
