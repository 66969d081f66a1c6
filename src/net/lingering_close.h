#pragma once

#include "samphiretray/net/loop.h"

namespace samphiretray::net {

/// Performs a lingering close: keeps a duplicate of the connection's descriptor open for a short time after
/// h2o has closed its own, and discards what the client still sends. Closing a socket with unread bytes
/// resets the connection, and the client could lose the response that says why its request was rejected.
void linger_before_close(loop& events, int descriptor);

} // namespace samphiretray::net
