#pragma once

#include "samphiretray/net/loop.h"

namespace samphiretray::net {

/// Keeps a duplicate of a connection's descriptor for a short time after h2o has closed its own, and discards
/// what the client still sends. Closing a socket with unread bytes resets the connection, and the client
/// could lose the answer that says why its request was refused.
void linger_before_close(loop& events, int descriptor);

} // namespace samphiretray::net
