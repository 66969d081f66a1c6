#pragma once

#include "samphiretray/net/http_client.h"
#include "samphiretray/net/http_server.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace samphiretray::gateway {

/// Bytes of an answer that wait for a slow reader before its source is slowed down: one of the larger reads
/// from a connection.
inline constexpr std::size_t most_unsent_bytes = 32U << 10U;

/// Passes bytes of an answer on, and stops reading more from their source while the reader is behind.
inline void relay(net::http_response& to, net::http_exchange& from, std::string_view bytes) {
    to.write(bytes);
    if (to.buffered_bytes() > most_unsent_bytes) {
        from.set_reading(false);
    }
}

/// The other half of `relay`: reads on from the exchange that `relayed` has by then, once its response has
/// been taken.
template <typename Relayed>
void read_on_when_drained(const std::shared_ptr<Relayed>& relayed) {
    relayed->response->on_drained([weak = std::weak_ptr{relayed}] {
        if (const auto read = weak.lock(); read && read->exchange) {
            read->exchange->set_reading(true);
        }
    });
}

} // namespace samphiretray::gateway
