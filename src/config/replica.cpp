#include "samphiretray/config/replica.h"

#include <algorithm>
#include <ranges>

namespace samphiretray::config {

namespace {

// Limits how many revisions are kept as seen and how many as refused. The lowest are dropped first: they no
// longer matter once a higher one is in force.
constexpr std::size_t max_tracked_revisions = 64;

error configure_error(errc code, std::string detail) {
    return make_error(code, step::configure, {}, std::move(detail));
}

void insert_bounded(std::set<std::uint64_t>& revisions, std::uint64_t revision) {
    revisions.insert(revision);
    if (revisions.size() > max_tracked_revisions) {
        revisions.erase(revisions.begin());
    }
}

void erase_up_to(std::set<std::uint64_t>& revisions, std::uint64_t revision) {
    revisions.erase(revisions.begin(), revisions.upper_bound(revision));
}

bool references_chunk(const manifest& source, std::string_view digest) {
    return source.rules_chunk == digest || source.keys_chunk == digest ||
           std::ranges::find(source.inventory_chunks, digest) != source.inventory_chunks.end();
}

} // namespace

void replica::observe_revision(std::uint64_t revision) {
    if (revision > this->revision() && !refused_.contains(revision)) {
        insert_bounded(seen_, revision);
        drop_outdated_pending();
    }
}

void replica::drop_outdated_pending() {
    if (pending_ && pending_->parsed.revision < highest_seen_revision()) {
        pending_.reset();
    }
}

std::uint64_t replica::highest_seen_revision() const noexcept {
    return seen_.empty() ? revision() : *seen_.rbegin();
}

std::uint64_t replica::effective_revision(std::uint64_t revision) const noexcept {
    return refused_.contains(revision) ? this->revision() : revision;
}

result<std::vector<std::string>> replica::offer_manifest(std::string_view text) {
    const bool is_known =
        (current_ && text == current_manifest_text_) || (pending_ && text == pending_->text);
    if (is_known) {
        return missing_chunks();
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
    observe_revision(parsed->revision);
    if (parsed->revision <= revision() || parsed->revision < highest_seen_revision()) {
        return configure_error(errc::stale_revision,
                               "revision " + std::to_string(parsed->revision) +
                                   " is stale: the revision in force is " + std::to_string(revision()) +
                                   ", the highest one seen is " + std::to_string(highest_seen_revision()));
    }
    pending_ = pending_manifest{*std::move(parsed), std::string{text}};
    return apply_if_complete();
}

result<std::vector<std::string>> replica::offer_chunk(std::string_view digest, std::string text) {
    if (!pending_ || !references_chunk(pending_->parsed, digest) || chunks_.contains(digest)) {
        return missing_chunks();
    }
    if (chunk_digest(text) != digest) {
        return configure_error(errc::invalid_argument,
                               "chunk " + std::string{digest} + " does not match its digest");
    }
    chunks_.emplace(digest, std::move(text));
    return apply_if_complete();
}

std::vector<std::string> replica::missing_chunks() const {
    if (!pending_) {
        return {};
    }
    std::vector<std::string> digests = pending_->parsed.chunks();
    std::erase_if(digests, [this](const std::string& digest) { return chunks_.contains(digest); });
    return digests;
}

result<std::vector<std::string>> replica::apply_if_complete() {
    std::vector<std::string> digests = missing_chunks();
    if (!digests.empty()) {
        return digests;
    }
    if (const auto done = apply_pending(); !done) {
        return done.error();
    }
    return digests;
}

status replica::apply_pending() {
    auto joined = join_chunks(pending_->parsed, chunks_);
    if (!joined) {
        return refuse_pending(joined.error());
    }
    if (const auto valid = validate(*joined); !valid) {
        return refuse_pending(valid.error());
    }
    current_ = std::make_shared<const snapshot>(snapshot::build(pending_->parsed.revision, *joined));
    current_manifest_ = std::move(pending_->parsed);
    current_manifest_text_ = std::move(pending_->text);
    pending_.reset();
    erase_up_to(seen_, revision());
    erase_up_to(refused_, revision());
    last_refusal_.reset();
    drop_unused_chunks();
    return success();
}

error replica::refuse_pending(error cause) {
    const std::uint64_t refused = pending_->parsed.revision;
    cause.detail = "revision " + std::to_string(refused) + " is refused: " + cause.detail;
    insert_bounded(refused_, refused);
    seen_.erase(refused);
    pending_.reset();
    last_refusal_ = cause;
    drop_unused_chunks();
    return cause;
}

void replica::drop_unused_chunks() {
    std::erase_if(chunks_, [this](const auto& chunk) {
        return !references_chunk(current_manifest_, chunk.first) &&
               !(pending_ && references_chunk(pending_->parsed, chunk.first));
    });
}

wire::config_reply replica::answer(const wire::config_request& request) const {
    wire::config_reply reply;
    reply.revision = revision();
    reply.manifest = current_manifest_text_;
    std::size_t size = 0;
    for (const std::string& digest : request.chunks) {
        const auto found = chunks_.find(digest);
        if (found == chunks_.end()) {
            continue;
        }
        size += found->second.size();
        if (size > max_reply_bytes) {
            break;
        }
        reply.chunks.push_back({digest, found->second});
    }
    return reply;
}

} // namespace samphiretray::config
