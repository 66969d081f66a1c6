#pragma once

#include "samphiretray/net/address.h"
#include "samphiretray/net/loop.h"

#include <array>
#include <string>
#include <string_view>

namespace samphiretray::net::testing {

/// Limit of each wait, which ends a test that hangs. No test result depends on speed.
inline constexpr duration hang_limit = 30s;

/// A TCP connection on which a test sends and receives raw bytes.
class raw_socket {
public:
    explicit raw_socket(int descriptor) : descriptor_(descriptor) {}
    ~raw_socket() { close(); }
    raw_socket(raw_socket&& other) noexcept;
    raw_socket& operator=(raw_socket&&) = delete;

    /// Connects to a listening loopback address; throws `std::runtime_error` if that fails. `receive_buffer`
    /// is in bytes; 0 lets the kernel choose.
    static raw_socket connect(const address& peer, int receive_buffer = 0);

    /// Writes all of `text` while `events` runs.
    void send(loop& events, std::string_view text);
    /// Writes a short text without running a loop; throws `std::runtime_error` if the system takes less.
    void send_now(std::string_view text);
    /// Appends to `received` until it contains `text` or the connection ends; returns whether it contains it.
    bool receive_until(loop& events, std::string_view text);
    /// Appends to `received` until the connection ends; returns false if the peer reset it.
    bool receive_all(loop& events);
    void close();
    /// Ends the direction towards the peer, and keeps the other one open.
    void finish_sending();
    /// Closes the connection with a TCP reset.
    void reset();

    std::string received;

private:
    enum class read_state { waiting, got_bytes, closed, reset };
    read_state read_some();

    int descriptor_;
};

/// A listening loopback socket; the test itself reads and writes on the accepted connections.
class raw_listener {
public:
    explicit raw_listener(const address& at = {"127.0.0.1", 0});
    ~raw_listener();
    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;

    [[nodiscard]] address local_address() const;
    raw_socket accept(loop& events);

private:
    int descriptor_;
};

/// A loopback address that does not answer attempts to connect, as that of a machine that is cut off.
class unanswering_listener {
public:
    unanswering_listener();
    ~unanswering_listener();
    unanswering_listener(const unanswering_listener&) = delete;
    unanswering_listener& operator=(const unanswering_listener&) = delete;

    [[nodiscard]] address local_address() const;

private:
    int descriptor_;
    /// Connections that fill the queue of the listener, which then drops further attempts.
    std::array<int, 4> fillers_{};
};

/// A loopback address on which nothing listens.
address unused_address();

} // namespace samphiretray::net::testing
