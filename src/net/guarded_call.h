#pragma once

#include "samphiretray/base/log.h"

#include <concepts>
#include <exception>
#include <string>
#include <string_view>
#include <utility>

namespace samphiretray::net {

/// Runs a callback of the event loop and returns false if it has thrown. An exception must not reach the
/// frames of h2o, where it would end the process with all of its requests. It is logged here, and the caller
/// ends what the callback belongs to. `callback` names the kind of callback; `peer` gives its peer's name.
template <std::invocable Action, std::invocable Peer>
bool run_guarded(std::string_view callback, Peer&& peer, Action&& action) {
    try {
        std::forward<Action>(action)();
        return true;
    } catch (const std::exception& failure) {
        log_event(log_level::error, "callback_failed",
                  {{"callback", callback}, {"peer", std::forward<Peer>(peer)()}, {"reason", failure.what()}});
        return false;
    }
}

/// The same for callbacks that belong to no peer.
template <std::invocable Action>
bool run_guarded(std::string_view callback, Action&& action) {
    return run_guarded(
        callback, [] { return std::string{}; }, std::forward<Action>(action));
}

} // namespace samphiretray::net
