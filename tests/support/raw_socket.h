#pragma once

#include "samphiretray/net/address.h"
#include "samphiretray/net/loop.h"

#include <string>
#include <string_view>

namespace samphiretray::net::testing {

/// Bounds a hanging test; no verdict depends on it otherwise.
inline constexpr duration hang_limit = 30s;

/// A plain TCP connection that sends and receives exactly what a test says.
class raw_socket {
public:
    explicit raw_socket(int descriptor) : descriptor_(descriptor) {}
    ~raw_socket() { close(); }
    raw_socket(raw_socket&& other) noexcept;
    raw_socket& operator=(raw_socket&&) = delete;

    /// Connects to a listening loopback address.
    static raw_socket connect(const address& peer);

    /// Writes all of `text` while `events` runs.
    void send(loop& events, std::string_view text);
    /// Appends to `received` until it contains `text` or the peer has closed; returns whether it does.
    bool receive_until(loop& events, std::string_view text);
    /// Reads until the peer closes; returns false if it reset the connection.
    bool receive_all(loop& events);
    void close();
    /// Closes with a reset.
    void reset();

    std::string received;

private:
    enum class read_state { waiting, got_bytes, closed, reset };
    read_state read_some();

    int descriptor_;
};

/// A listening loopback socket whose connections the test serves by hand.
class raw_listener {
public:
    raw_listener();
    ~raw_listener();
    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;

    [[nodiscard]] address local_address() const;
    raw_socket accept(loop& events);

private:
    int descriptor_;
};

/// A loopback address at which nothing listens.
address unused_address();

} // namespace samphiretray::net::testing
