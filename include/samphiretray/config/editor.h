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

/// A read of the key-value service that an editor asks for, to be started after `delay`.
struct read_action {
    std::string key;
    duration delay{};
};

/// A write that an editor asks for, to be started after `delay`.
struct swap_action {
    ports::swap_request swap;
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
                                                     const result<ports::versioned_value>& answer);
    [[nodiscard]] std::vector<editor_action> on_swap(std::string_view key,
                                                     const result<std::uint64_t>& answer);

    /// Set once the transaction has ended: the accepted revision, or one of `conflict` (another edit came
    /// first; nothing was changed), `invalid_argument` (the edit or its result was refused), `unavailable`
    /// (nothing was changed), `outcome_unknown` (the manifest may or may not have been written).
    [[nodiscard]] const std::optional<result<std::uint64_t>>& outcome() const noexcept { return outcome_; }

    /// Failed calls of one key before the editor gives up.
    static constexpr int attempt_limit = 12;

private:
    enum class phase { read_manifest, read_chunks, write_chunks, swap_manifest, read_back, ended };
    using actions = std::vector<editor_action>;

    [[nodiscard]] actions on_base(const ports::versioned_value& value);
    [[nodiscard]] actions on_base_chunk(const ports::versioned_value& value);
    [[nodiscard]] actions on_stored_chunk(const std::string& key, const ports::versioned_value& value);
    [[nodiscard]] actions on_read_back(const ports::versioned_value& value);
    [[nodiscard]] actions apply_edit();
    [[nodiscard]] actions prepare(const configuration& edited);
    [[nodiscard]] actions on_chunk_swap(const std::string& key, const result<std::uint64_t>& answer);
    [[nodiscard]] actions on_manifest_swap(const result<std::uint64_t>& answer);
    [[nodiscard]] actions chunk_is_stored(const std::string& key);
    /// Decides after an uncertain write, from a manifest of another revision than the base.
    [[nodiscard]] actions decide(const manifest& stored);

    [[nodiscard]] actions read(const std::string& key, duration delay = {});
    [[nodiscard]] actions write_chunk(const std::string& key, duration delay = {});
    [[nodiscard]] actions swap_manifest(duration delay = {});
    /// Repeats `call` after a delay, or gives up after the last attempt.
    template <typename Call>
    [[nodiscard]] actions repeat(const std::string& key, const error& cause, Call call);
    [[nodiscard]] actions give_up(const error& cause);
    [[nodiscard]] actions end(result<std::uint64_t> outcome);

    edit_function edit_;
    std::string token_;
    phase phase_ = phase::read_manifest;
    manifest base_;
    /// The key-value service's revision of the base.
    std::uint64_t base_stored_as_ = 0;
    chunk_map base_chunks_;
    chunked_configuration target_;
    /// Keys whose read or write has not ended.
    std::set<std::string, std::less<>> open_;
    std::map<std::string, int, std::less<>> failures_;
    /// True once the outcome of a write of the manifest was lost.
    bool is_uncertain_ = false;
    std::optional<result<std::uint64_t>> outcome_;
};

} // namespace samphiretray::config
