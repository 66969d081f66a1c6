#pragma once

#include "samphiretray/net/http_client.h"
#include "samphiretray/net/http_server.h"

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

namespace samphiretray::gateway {

/// Reading from the source pauses while more bytes than this wait for a slow reader: the size of one of the
/// larger reads from a connection.
inline constexpr std::size_t max_unsent_bytes = 32U << 10U;

/// For an answer whose length is not known when it is passed on.
inline void remove_content_length(net::http_headers& headers) {
    std::erase_if(headers, [](const net::http_header& header) {
        return net::equals_ignore_case(header.name, "content-length");
    });
}

/// Forwards bytes of an answer, and pauses reading from their source if the reader is behind.
inline void relay(net::http_response& to, net::http_exchange& from, std::string_view bytes) {
    to.write(bytes);
    if (to.buffered_bytes() > max_unsent_bytes) {
        from.set_read_enabled(false);
    }
}

/// The counterpart of `relay`: once the reader has taken the buffered bytes, resumes reading from the
/// exchange that `relayed` holds at that time.
template <typename Relayed>
void resume_reading_when_drained(const std::shared_ptr<Relayed>& relayed) {
    relayed->response->on_drained([weak = std::weak_ptr{relayed}] {
        if (const auto locked = weak.lock(); locked && locked->exchange) {
            locked->exchange->set_read_enabled(true);
        }
    });
}

} // namespace samphiretray::gateway
