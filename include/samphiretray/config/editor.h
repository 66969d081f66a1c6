#pragma once

#include "samphiretray/config/chunks.h"
#include "samphiretray/ports/key_value.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace samphiretray::config {

/// A read that the caller has to send to the key-value service after `delay`.
struct read_action {
    std::string key;
    duration delay{};
};

/// A compare-and-swap that the caller has to send to the key-value service after `delay`.
struct swap_action {
    ports::swap_request swap;
    duration delay{};
};

using editor_action = std::variant<read_action, swap_action>;

/// Returns the edited configuration, or an error if the edit cannot be applied.
using edit_function = std::function<result<configuration>(configuration)>;

/// One edit of the configuration as a transaction over the key-value service.
///
/// Reads the manifest and its chunks, applies the edit, validates the result, writes the new chunks and then
/// replaces the manifest by compare-and-swap, marked with a unique token. If the response to that write is
/// lost, it reads the manifest back and looks for its token. At most one read or write of a key is
/// outstanding at a time. The caller reports the result of each action by exactly one call of `on_read` or
/// `on_swap`.
class editor {
public:
    /// `token` must be unique for each edit.
    editor(edit_function edit, std::string token);

    [[nodiscard]] std::vector<editor_action> start();
    [[nodiscard]] std::vector<editor_action> on_read(std::string_view key,
                                                     const result<ports::versioned_value>& answer);
    [[nodiscard]] std::vector<editor_action> on_swap(std::string_view key,
                                                     const result<std::uint64_t>& answer);

    /// Set once the transaction has ended: the resulting revision, or one of `conflict` (another edit was
    /// written first; nothing was changed), `invalid_argument` (the edited configuration is invalid, or the
    /// stored one is damaged), `unavailable` (nothing was changed), `outcome_unknown` (the manifest may or
    /// may not have been written), `not_found` (a stored chunk is missing), `too_large` (a chunk of the
    /// result exceeds the size limit), or the error of the edit function.
    [[nodiscard]] const std::optional<result<std::uint64_t>>& outcome() const noexcept { return outcome_; }

    /// Retries of the failed reads and writes of one key before the editor gives up.
    static constexpr int max_retries_per_key = 12;

private:
    enum class phase { read_manifest, read_chunks, write_chunks, swap_manifest, read_back_manifest, ended };
    using actions = std::vector<editor_action>;

    [[nodiscard]] actions on_base_manifest(const ports::versioned_value& value);
    [[nodiscard]] actions on_base_chunk(const ports::versioned_value& value);
    [[nodiscard]] actions on_chunk_read_back(const std::string& key, const ports::versioned_value& value);
    [[nodiscard]] actions on_manifest_read_back(const ports::versioned_value& value);
    [[nodiscard]] actions apply_edit();
    [[nodiscard]] actions write_changed_chunks(const configuration& edited);
    [[nodiscard]] actions on_chunk_swap(const std::string& key, const result<std::uint64_t>& answer);
    [[nodiscard]] actions on_manifest_swap(const result<std::uint64_t>& answer);
    [[nodiscard]] actions on_chunk_stored(const std::string& key);
    /// Determines from the stored manifest, which is no longer the base, whether an uncertain write of the
    /// manifest took effect.
    [[nodiscard]] actions resolve_uncertain_write(const manifest& stored);

    [[nodiscard]] actions read(const std::string& key, duration delay = {});
    [[nodiscard]] actions write_chunk(const std::string& key, duration delay = {});
    [[nodiscard]] actions swap_manifest(duration delay = {});
    /// Repeats `call` with a growing delay, or gives up after `max_retries_per_key` retries.
    template <typename Call>
    [[nodiscard]] actions retry(const std::string& key, const error& cause, Call call);
    [[nodiscard]] actions give_up(const error& cause);
    [[nodiscard]] actions end(result<std::uint64_t> outcome);

    edit_function edit_;
    std::string token_;
    phase phase_ = phase::read_manifest;
    manifest base_;
    /// Revision of the stored base manifest in the key-value service; 0 if none is stored.
    std::uint64_t base_store_revision_ = 0;
    chunk_map base_chunks_;
    chunked_configuration target_;
    /// Keys with an outstanding read or write.
    std::set<std::string, std::less<>> pending_keys_;
    std::map<std::string, int, std::less<>> failures_;
    /// True once a write of the manifest ended without telling whether it took effect.
    bool is_manifest_write_uncertain_ = false;
    std::optional<result<std::uint64_t>> outcome_;
};

} // namespace samphiretray::config
