#include "samphiretray/config/editor.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace samphiretray::config {

namespace {

constexpr duration initial_retry_delay = 50ms;
constexpr duration max_retry_delay = 2s;
// Largest value, in bytes, that the key-value service accepts.
constexpr std::size_t max_value_size = 1U << 20U;

error configure_error(errc code, std::string detail) {
    return make_error(code, step::configure, {}, std::move(detail));
}

duration retry_delay(int failures) {
    return std::min(max_retry_delay, initial_retry_delay * (1 << std::min(failures - 1, 10)));
}

/// Whether a write that failed with this error may have taken effect nevertheless.
bool may_have_taken_effect(const error& failure) {
    return failure.code != errc::connection_failed && failure.code != errc::unavailable &&
           failure.code != errc::conflict;
}

std::string_view digest_of_key(std::string_view key) {
    return key.substr(key.rfind('/') + 1);
}

std::vector<std::string> next_history(const manifest& base) {
    std::vector<std::string> history = base.history;
    if (base.revision != 0) {
        history.insert(history.begin(), base.token);
    }
    history.resize(std::min(history.size(), manifest::history_limit));
    return history;
}

bool is_too_large(const chunked_configuration& parts) {
    const auto exceeds = [](const auto& chunk) { return chunk.second.size() > max_value_size; };
    return std::ranges::any_of(parts.chunks, exceeds);
}

bool has_same_chunks(const manifest& left, const manifest& right) {
    return left.rules_chunk == right.rules_chunk && left.keys_chunk == right.keys_chunk &&
           left.inventory_chunks == right.inventory_chunks;
}

} // namespace

editor::editor(edit_function edit, std::string token) : edit_(std::move(edit)), token_(std::move(token)) {}

editor::actions editor::start() {
    return read(std::string{manifest_key});
}

editor::actions editor::on_read(std::string_view key, const result<ports::versioned_value>& answer) {
    const std::string name{key};
    if (pending_keys_.erase(name) == 0) {
        return {};
    }
    if (!answer) {
        return retry(name, answer.error(), [&](duration delay) { return read(name, delay); });
    }
    switch (phase_) {
    case phase::read_manifest:
        return on_base_manifest(*answer);
    case phase::read_chunks:
        return on_base_chunk(*answer);
    case phase::write_chunks:
        return on_chunk_read_back(name, *answer);
    case phase::read_back_manifest:
        return on_manifest_read_back(*answer);
    case phase::swap_manifest:
    case phase::ended:
        break;
    }
    return {};
}

editor::actions editor::on_swap(std::string_view key, const result<std::uint64_t>& answer) {
    const std::string name{key};
    if (pending_keys_.erase(name) == 0) {
        return {};
    }
    return key == manifest_key ? on_manifest_swap(answer) : on_chunk_swap(name, answer);
}

editor::actions editor::on_base_manifest(const ports::versioned_value& value) {
    phase_ = phase::read_chunks;
    base_store_revision_ = value.revision;
    if (value.revision == 0) {
        return apply_edit();
    }
    auto parsed = parse_manifest(value.value);
    if (!parsed) {
        return end(parsed.error());
    }
    base_ = *std::move(parsed);
    actions reads;
    for (const std::string& digest : base_.chunks()) {
        std::ranges::move(read(chunk_key(digest)), std::back_inserter(reads));
    }
    return reads;
}

editor::actions editor::on_base_chunk(const ports::versioned_value& value) {
    // A missing or damaged chunk needs no check here: `join_chunks` refuses it.
    base_chunks_.emplace(chunk_digest(value.value), value.value);
    return pending_keys_.empty() ? apply_edit() : actions{};
}

editor::actions editor::apply_edit() {
    configuration current;
    if (base_store_revision_ != 0) {
        auto joined = join_chunks(base_, base_chunks_);
        if (!joined) {
            return end(joined.error());
        }
        current = *std::move(joined);
    }
    const auto edited = edit_(std::move(current));
    if (!edited) {
        return end(edited.error());
    }
    if (const auto valid = validate(*edited); !valid) {
        return end(valid.error());
    }
    return write_changed_chunks(*edited);
}

editor::actions editor::write_changed_chunks(const configuration& edited) {
    const std::size_t current_chunk_count = base_.inventory_chunks.size();
    target_ = split_into_chunks(edited, inventory_chunk_count(edited.inventory.size(), current_chunk_count));
    if (is_too_large(target_)) {
        return end(configure_error(
            errc::too_large, "a chunk exceeds the limit of 1 MiB for a value of the key-value service"));
    }
    if (base_store_revision_ != 0 && has_same_chunks(base_, target_.manifest)) {
        return end(base_.revision);
    }
    target_.manifest.revision = base_.revision + 1;
    target_.manifest.token = token_;
    target_.manifest.history = next_history(base_);
    phase_ = phase::write_chunks;
    actions writes;
    for (const std::string& digest : target_.chunks | std::views::keys) {
        if (!base_chunks_.contains(digest)) {
            std::ranges::move(write_chunk(chunk_key(digest)), std::back_inserter(writes));
        }
    }
    return writes.empty() ? swap_manifest() : writes;
}

editor::actions editor::on_chunk_swap(const std::string& key, const result<std::uint64_t>& answer) {
    if (answer) {
        return on_chunk_stored(key);
    }
    const error& failure = answer.error();
    if (failure.code == errc::conflict) {
        return read(key);
    }
    if (may_have_taken_effect(failure)) {
        return retry(key, failure, [&](duration delay) { return read(key, delay); });
    }
    return retry(key, failure, [&](duration delay) { return write_chunk(key, delay); });
}

editor::actions editor::on_chunk_read_back(const std::string& key, const ports::versioned_value& value) {
    if (value.revision == 0) {
        const error cause = configure_error(errc::unavailable, "a chunk was not stored");
        return retry(key, cause, [&](duration delay) { return write_chunk(key, delay); });
    }
    if (chunk_digest(value.value) != digest_of_key(key)) {
        return end(configure_error(errc::invalid_argument, "the stored value of " + key +
                                                               " does not match its digest; delete the key"));
    }
    return on_chunk_stored(key);
}

editor::actions editor::on_chunk_stored(const std::string& key) {
    failures_.erase(key);
    return pending_keys_.empty() ? swap_manifest() : actions{};
}

editor::actions editor::on_manifest_swap(const result<std::uint64_t>& answer) {
    const std::string key{manifest_key};
    if (answer) {
        return end(target_.manifest.revision);
    }
    const error& failure = answer.error();
    if (failure.code == errc::conflict && !is_manifest_write_uncertain_) {
        return end(configure_error(errc::conflict, "another edit of revision " +
                                                       std::to_string(base_.revision) +
                                                       " came first; nothing was changed"));
    }
    if (failure.code != errc::conflict && !may_have_taken_effect(failure)) {
        return retry(key, failure, [&](duration delay) { return swap_manifest(delay); });
    }
    is_manifest_write_uncertain_ = true;
    phase_ = phase::read_back_manifest;
    return read(key);
}

editor::actions editor::on_manifest_read_back(const ports::versioned_value& value) {
    const std::string key{manifest_key};
    if (value.revision == base_store_revision_) {
        // The write may be delayed and still arrive. Writing the same text again is safe: both expect the
        // revision of the base, so at most one of them succeeds.
        const error cause = configure_error(errc::unavailable, "the manifest was not written");
        return retry(key, cause, [&](duration delay) { return swap_manifest(delay); });
    }
    const auto stored = parse_manifest(value.value);
    if (!stored) {
        return end(
            configure_error(errc::outcome_unknown, "the stored manifest is missing or cannot be parsed"));
    }
    return resolve_uncertain_write(*stored);
}

editor::actions editor::resolve_uncertain_write(const manifest& stored) {
    const std::uint64_t written = base_.revision + 1;
    const auto found = std::ranges::find(stored.history, token_);
    if (stored.token == token_ || found != stored.history.end()) {
        return end(written);
    }
    if (stored.revision < written || stored.revision - stored.history.size() > written) {
        return end(configure_error(errc::outcome_unknown,
                                   "the history of the stored manifest does not reach revision " +
                                       std::to_string(written)));
    }
    return end(configure_error(errc::conflict, "another edit of revision " + std::to_string(base_.revision) +
                                                   " came first; nothing was changed"));
}

editor::actions editor::read(const std::string& key, duration delay) {
    pending_keys_.insert(key);
    return {read_action{key, delay}};
}

editor::actions editor::write_chunk(const std::string& key, duration delay) {
    pending_keys_.insert(key);
    const auto found = target_.chunks.find(digest_of_key(key));
    return {swap_action{{key, found->second, 0, std::nullopt}, delay}};
}

editor::actions editor::swap_manifest(duration delay) {
    phase_ = phase::swap_manifest;
    const std::string key{manifest_key};
    pending_keys_.insert(key);
    return {swap_action{{key, to_text(target_.manifest), base_store_revision_, std::nullopt}, delay}};
}

template <typename Call>
editor::actions editor::retry(const std::string& key, const error& cause, Call call) {
    const int failures = ++failures_[key];
    if (failures > max_retries_per_key) {
        return give_up(cause);
    }
    return call(retry_delay(failures));
}

editor::actions editor::give_up(const error& cause) {
    if (is_manifest_write_uncertain_) {
        return end(configure_error(
            errc::outcome_unknown,
            "the response to the write of the manifest was lost and the manifest could not be read back: " +
                cause.detail));
    }
    return end(make_error(errc::unavailable, step::configure, cause.peer, cause.detail));
}

editor::actions editor::end(result<std::uint64_t> outcome) {
    phase_ = phase::ended;
    pending_keys_.clear();
    outcome_ = std::move(outcome);
    return {};
}

} // namespace samphiretray::config
