#pragma once

#include "samphiretray/base/name_table.h"
#include "samphiretray/base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace samphiretray::net {

/// Bounds of the bytes that a process holds for all of its peers together.
struct buffer_limits {
    /// Above this, large requests are refused and the connections that hold most and move least are closed.
    std::size_t max_bytes = std::size_t{64} << 20U;
    /// Bytes above `max_bytes` that are kept for small requests and small answers.
    std::size_t reserved_bytes = std::size_t{16} << 20U;
    /// What holds at most this many bytes is small.
    std::size_t small_bytes = std::size_t{16} << 10U;
};

/// Limits for a process that may use `memory_mb` megabytes (2^20 bytes). Half of them stay free for the
/// program itself, its state and the buffers of single reads.
[[nodiscard]] buffer_limits buffer_limits_of(std::uint32_t memory_mb) noexcept;

/// What the bytes are held for.
enum class buffer_use {
    /// A part of a request has come.
    receiving,
    /// A whole request waits for its answer.
    waiting,
    /// A part of an answer has not been taken by its reader.
    sending,
};

class buffer_budget;

/// The bytes that a process holds for one peer. They are given back when the account is destroyed.
class buffer_account {
public:
    /// Holds nothing. The bytes of an account without an owner can not be released by closing a connection.
    buffer_account(std::shared_ptr<buffer_budget> budget, void* owner, time_point now);
    ~buffer_account();
    buffer_account(const buffer_account&) = delete;
    buffer_account& operator=(const buffer_account&) = delete;

    /// Sets what is held now.
    void set(std::size_t bytes, buffer_use use) noexcept;
    /// Counts `bytes` that have moved from or to the peer.
    void note_moved(std::size_t bytes, time_point now) noexcept;
    /// The peer can make progress from now on, for example since an answer to it has begun.
    void restart_progress(time_point now) noexcept {
        moved_ = 0;
        last_progress_ = now;
    }

    [[nodiscard]] const buffer_limits& limits() const noexcept;
    [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }
    [[nodiscard]] buffer_use use() const noexcept { return use_; }
    /// Time since the peer has last moved an amount of bytes that counts as progress; single bytes now and
    /// then do not.
    [[nodiscard]] duration idle_time(time_point now) const noexcept { return now - last_progress_; }
    [[nodiscard]] void* owner() const noexcept { return owner_; }

private:
    std::shared_ptr<buffer_budget> budget_;
    void* owner_;
    std::size_t index_;
    std::size_t bytes_ = 0;
    buffer_use use_ = buffer_use::receiving;
    std::size_t moved_ = 0;
    time_point last_progress_;

    friend class buffer_budget;
};

/// A reader that has taken nothing of its answer for this long may lose its connection to a new one.
inline constexpr duration stalled_reader_time = 2s;

/// A connection that a new one may displace where connections are limited.
struct displacement_candidate {
    const buffer_account* account = nullptr;
    /// No byte of a request has come.
    bool is_idle = false;
    /// Requests in progress.
    std::size_t active_requests = 0;
    /// Bytes of answers that its reader has not taken.
    std::size_t unsent_bytes = 0;
    /// Since when it has no request in progress.
    time_point idle_since;
};

/// The connection that loses least: one without a request, then one with an unfinished request, then one
/// whose reader has stalled; among equals the one that has not moved for the longest time. Null if all are in
/// use.
[[nodiscard]] const buffer_account* choose_displaced(std::span<const displacement_candidate> candidates,
                                                     time_point now);

/// Bounds what clients and servers can make a process hold, however many connections they open: bodies and
/// heads that are not complete, requests that wait, and answers that are not read. Decides which request is
/// refused and which connections are closed. Needs no network.
class buffer_budget {
public:
    explicit buffer_budget(buffer_limits limits) : limits_(limits) {}

    [[nodiscard]] std::size_t held() const noexcept { return held_; }
    [[nodiscard]] const buffer_limits& limits() const noexcept { return limits_; }
    [[nodiscard]] bool is_exceeded() const noexcept { return held_ > limits_.max_bytes; }

    /// Whether the whole request of `account` may be processed, for which `more` bytes are held besides those
    /// of the account. A small one may use the reserve; a large one is always accepted if no other one is
    /// waiting, so that a single request is served however low the limit is.
    [[nodiscard]] bool admits(const buffer_account& account, std::size_t more) const noexcept;

    /// The account whose connection is to be closed next so that `needed` more bytes fit: the one that holds
    /// most and moves least. Null if they fit, or if no connection may be closed for them: requests that wait
    /// for their answers never are, small accounts only if the reserve is used up, too.
    [[nodiscard]] const buffer_account* victim(std::size_t needed, time_point now) const;

    void count_closed(buffer_use use) noexcept { ++closed_.at(static_cast<std::size_t>(use)); }
    void count_refused() noexcept { ++refused_; }
    /// Connections closed so far for the sake of the limit.
    [[nodiscard]] std::uint64_t closed(buffer_use use) const noexcept {
        return closed_.at(static_cast<std::size_t>(use));
    }
    /// Whole requests refused so far.
    [[nodiscard]] std::uint64_t refused() const noexcept { return refused_; }

private:
    friend class buffer_account;

    [[nodiscard]] bool is_large_request(const buffer_account& account) const noexcept {
        return account.use_ == buffer_use::waiting && account.bytes_ > limits_.small_bytes;
    }

    buffer_limits limits_;
    std::size_t held_ = 0;
    std::size_t large_waiting_ = 0;
    std::vector<buffer_account*> accounts_;
    std::array<std::uint64_t, 3> closed_{};
    std::uint64_t refused_ = 0;
};

} // namespace samphiretray::net

namespace samphiretray {

template <>
inline constexpr auto name_table<net::buffer_use> =
    std::to_array<std::pair<net::buffer_use, std::string_view>>({
        {net::buffer_use::receiving, "receiving"},
        {net::buffer_use::waiting, "waiting"},
        {net::buffer_use::sending, "sending"},
    });

} // namespace samphiretray
