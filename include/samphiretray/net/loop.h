#pragma once

#include "samphiretray/base/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

struct st_h2o_evloop_t;

namespace samphiretray::net {

/// A timer that is cancelled when its handle is destroyed.
class timer {
public:
    virtual ~timer() = default;
};

using timer_handle = std::unique_ptr<timer>;

/// The single-threaded event loop of a process. All callbacks run inside `run` or `run_until`.
class loop {
public:
    loop();
    ~loop();
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;

    /// The monotonic time now.
    [[nodiscard]] time_point now() const noexcept { return monotonic_clock::now(); }

    /// Calls `action` once after `delay` (resolution 1 ms) unless the handle is destroyed first. Sockets that
    /// were ready when the time came are served first, however late the loop is.
    [[nodiscard]] timer_handle after(duration delay, std::function<void()> action);

    /// Calls `action` every `interval` (at least 1 ms) until the handle is destroyed.
    [[nodiscard]] timer_handle every(duration interval, std::function<void()> action);

    /// Calls `action` from the loop, after the current callback has returned.
    void post(std::function<void()> action);

    /// Releases this reference to `object` after the current callback has returned, at the latest when the
    /// loop is destroyed.
    void dispose_later(std::shared_ptr<void> object);

    /// Calls `action` from the loop when the process receives `signal_number`. The signal handler only writes
    /// to a pipe that the loop reads.
    void on_signal(int signal_number, std::function<void()> action);

    /// Runs callbacks until `stop` is called.
    void run();
    /// Runs callbacks until `done` returns true, `stop` is called or `limit` has passed; returns the last
    /// value of `done`.
    bool run_until(const std::function<bool()>& done, duration limit);
    void stop() noexcept;

    /// How often the sockets have been polled.
    [[nodiscard]] std::uint64_t polls() const noexcept;
    /// The longest time since the last call by which a timer ran late. What arrives at a socket waits as
    /// long.
    [[nodiscard]] duration take_longest_timer_delay() noexcept;

    /// Counts bytes that a connection of this process has received.
    void count_received(std::size_t bytes) noexcept;
    /// All bytes that have been counted.
    [[nodiscard]] std::uint64_t received_bytes() const noexcept;

    /// The underlying h2o event loop, for the sources in src/net.
    [[nodiscard]] st_h2o_evloop_t* native() noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace samphiretray::net
