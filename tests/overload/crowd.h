#pragma once

#include "samphiretray/net/address.h"
#include "samphiretray/net/loop.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::tests {

/// Many connections of clients that do not keep to the limits. They stay open, and never read what they are
/// sent, until the crowd is destroyed.
class crowd {
public:
    /// Opens `size` connections to `peer`, each of which sends its own head and then `body`. `piece` is the
    /// most that a connection sends before the next one's turn.
    crowd(net::loop& events, const net::address& peer, std::size_t size, std::size_t piece);
    ~crowd();
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;

    /// Sends `head`, in which each "@" is replaced by the connection's number, and `body` on all connections
    /// until every byte has been sent, or no connection has taken one for a second.
    void send(const std::string& head, std::string body);
    /// The same step by step, without running the loop: begins, and sends one piece on each connection that
    /// takes it. Returns false if none does.
    void begin(const std::string& head, std::string body);
    bool push();

private:
    struct connection {
        int descriptor = -1;
        std::string head;
        std::size_t sent = 0;
        bool closed = false;
    };

    /// Whether a byte could be sent.
    bool send_piece(connection& from) const;

    net::loop& events_;
    std::size_t piece_;
    std::string body_;
    std::vector<connection> connections_;
};

} // namespace samphiretray::tests
