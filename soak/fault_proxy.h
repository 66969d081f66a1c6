#pragma once

#include "samphiretray/net/address.h"

#include <atomic>
#include <thread>
#include <vector>

namespace samphiretray::soak {

enum class link_fault {
    none,
    /// Bytes are forwarded after a delay of 100 ms.
    delayed,
    /// Open connections are reset, and so is each new one.
    reset,
    /// Bytes from the target are buffered; the other direction is forwarded.
    one_way,
    /// Bytes are buffered in both directions; new connections are accepted but receive nothing.
    silent,
    /// What the target sends is sent once more 15 ms later, as by a server that answers twice.
    repeated,
    /// The same for whole responses only, so that no copy of a part looks like the rest of its response.
    repeated_responses,
    /// Connections that are being established get no reply, and open ones are silent.
    unreachable,
};

/// Forwards TCP connections from one loopback address to another and injects faults. Buffered bytes are
/// forwarded when the fault ends. Runs on its own thread.
class fault_proxy {
public:
    /// Throws `std::runtime_error` if it cannot listen at `listen`.
    fault_proxy(const net::address& listen, const net::address& target);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    void set_fault(link_fault fault) noexcept { fault_ = fault; }

private:
    void run();
    /// Lets attempts to connect go unanswered, or ends that.
    void set_unreachable(bool unreachable);

    net::address listen_;
    net::address target_;
    int listener_ = -1;
    /// Connections that fill the queue of the listener, so that the kernel drops further attempts.
    std::vector<int> fillers_;
    std::atomic<link_fault> fault_ = link_fault::none;
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

} // namespace samphiretray::soak
