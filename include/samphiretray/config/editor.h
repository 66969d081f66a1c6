#pragma once

#include "samphiretray/config/chunks.h"
#include "samphiretray/platform/key_value.h"

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

/// A read of the key-value service that an editor asks for, to be started after `delay`.
struct read_action {
    std::string key;
    duration delay{};
};

/// A write that an editor asks for, to be started after `delay`.
struct swap_action {
    platform::swap_request swap;
    duration delay{};
};

using editor_action = std::variant<read_action, swap_action>;

/// Changes a configuration, or refuses to.
using edit_function = std::function<result<configuration>(configuration)>;

/// One edit of the configuration as a transaction over the key-value service.
///
/// Reads the manifest and its chunks, applies the edit, validates, writes new chunks, and then swaps the
/// manifest with a unique token. After a lost answer it reads the manifest back and decides by token. It has
/// at most one read or write of a key under way at a time; each action is answered by exactly one call of
/// `on_read` or `on_swap`.
class editor {
public:
    /// `token` must be unique for each edit.
    editor(edit_function edit, std::string token);

    [[nodiscard]] std::vector<editor_action> start();
    [[nodiscard]] std::vector<editor_action> on_read(std::string_view key,
                                                     result<platform::versioned_value> answer);
    [[nodiscard]] std::vector<editor_action> on_swap(std::string_view key, result<std::uint64_t> answer);

    /// Set once the transaction has ended: the accepted revision, or one of `conflict` (another edit came
    /// first; nothing was changed), `invalid_argument` (the edit or its result was refused), `unavailable`
    /// (nothing was changed), `outcome_unknown` (the manifest may or may not have been written).
    [[nodiscard]] const std::optional<result<std::uint64_t>>& outcome() const noexcept { return outcome_; }

    /// Failed calls of one key before the editor gives up.
    static constexpr int attempt_limit = 12;

private:
    enum class phase { read_manifest, read_chunks, write_chunks, swap_manifest, read_back, ended };

    [[nodiscard]] std::vector<editor_action> on_base(const platform::versioned_value& value);
    [[nodiscard]] std::vector<editor_action> on_base_chunk(std::string_view key, std::string text);
    [[nodiscard]] std::vector<editor_action> on_stored_chunk(std::string_view key,
                                                             const platform::versioned_value& value);
    [[nodiscard]] std::vector<editor_action> on_read_back(const platform::versioned_value& value);
    [[nodiscard]] std::vector<editor_action> apply_edit();
    [[nodiscard]] std::vector<editor_action> chunk_written(std::string_view key);
    [[nodiscard]] std::vector<editor_action> read(std::string_view key);
    [[nodiscard]] std::vector<editor_action> write_chunk(std::string_view key);
    [[nodiscard]] std::vector<editor_action> swap_manifest();
    [[nodiscard]] std::vector<editor_action> read_back();
    [[nodiscard]] std::vector<editor_action> end(result<std::uint64_t> outcome);
    [[nodiscard]] std::vector<editor_action> give_up(const error& cause);
    /// Delay before the next call of `key`, or nothing after the last attempt.
    [[nodiscard]] std::optional<duration> count_failure(std::string_view key);

    edit_function edit_;
    std::string token_;
    phase phase_ = phase::read_manifest;
    manifest base_;
    std::uint64_t base_kv_revision_ = 0;
    chunk_map base_chunks_;
    /// Keys whose read or write has not ended.
    std::set<std::string, std::less<>> open_;
    chunked_configuration target_;
    std::map<std::string, int, std::less<>> failures_;
    /// True once a write of the manifest may have been sent.
    bool swap_sent_ = false;
    std::optional<result<std::uint64_t>> outcome_;
};

} // namespace samphiretray::config
