#pragma once

#include "samphiretray/net/address.h"

#include <atomic>
#include <thread>

namespace samphiretray::soak {

enum class link_fault {
    none,
    /// Bytes wait a tenth of a second.
    delayed,
    /// Connections are reset, and new ones too.
    reset,
    /// Bytes from the target are held back.
    one_way,
    /// Bytes are held back in both directions; new connections are accepted and hear nothing.
    silent,
};

/// Passes TCP connections from one loopback address to another, with faults. Held bytes are passed on when
/// the fault ends. Runs a thread of its own.
class fault_proxy {
public:
    /// Throws `std::runtime_error` if `listen` is in use.
    fault_proxy(const net::address& listen, const net::address& target);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    void set(link_fault fault) noexcept { fault_ = fault; }

private:
    void run();

    net::address target_;
    int listener_ = -1;
    std::atomic<link_fault> fault_ = link_fault::none;
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

} // namespace samphiretray::soak
