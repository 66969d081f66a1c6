#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/net/address.h"
#include "samphiretray/net/loop.h"
#include "samphiretray/net/peer_link.h"
#include "samphiretray/wire/messages.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Components that entry and agent processes have in common.
namespace samphiretray::node {

struct peer_identity {
    std::string vm;
    wire::role kind = wire::role::entry;
    std::string region;
    std::string data_centre;
    /// Changes with every start of the process.
    std::string incarnation;
};

/// An authenticated link: the process at the other end has proved that it knows the cluster secret.
class peer {
public:
    peer(std::shared_ptr<net::peer_link> link, peer_identity identity);

    [[nodiscard]] const peer_identity& identity() const noexcept { return identity_; }
    [[nodiscard]] bool is_open() const noexcept { return link_->is_open(); }
    [[nodiscard]] std::size_t buffered_bytes() const noexcept { return link_->buffered_bytes(); }

    void send(const wire::message& value) { link_->send(wire::encode(value)); }
    void close() { link_->close(); }

private:
    std::shared_ptr<net::peer_link> link_;
    peer_identity identity_;
};

using peer_pointer = std::shared_ptr<peer>;

struct peer_events {
    /// A link that was opened or accepted has been authenticated.
    std::function<void(const peer_pointer& opened)> on_open;
    std::function<void(const peer_pointer& from, wire::message value)> on_message;
    std::function<void(const peer_pointer& closed)> on_closed;
};

/// Opens, accepts and authenticates the links of one process.
///
/// Both sides send a `hello` with a nonce, then a second one whose proof is an HMAC over both nonces and the
/// sender's identity. A link is closed if any other message arrives before the proof, or the proof is wrong.
class peer_directory {
public:
    peer_directory(net::loop& events, peer_identity self, std::string cluster_secret, peer_events handlers);
    ~peer_directory();
    peer_directory(const peer_directory&) = delete;
    peer_directory& operator=(const peer_directory&) = delete;

    /// Accepts links at `where`. Fails like `peer_listener::create`.
    [[nodiscard]] status listen(const net::address& where);
    [[nodiscard]] net::address local_address() const;
    void stop_accepting();

    /// The open, authenticated link to a VM, or null.
    [[nodiscard]] peer_pointer find(const std::string& vm) const;

    using connect_callback = std::function<void(result<peer_pointer>)>;
    /// Calls `done` with an authenticated link to the process at `where`, and opens one if there is none. If
    /// the link exists already, `done` runs before this function returns. Errors: `connection_failed`,
    /// `timeout`, `unauthorized`.
    void connect(const std::string& vm, const net::address& where, connect_callback done);

    /// Closes links that this process opened and that have received no message for `idle`.
    void close_idle(duration idle);

    [[nodiscard]] std::size_t open_links() const noexcept;

private:
    struct session;
    using session_pointer = std::shared_ptr<session>;

    void start_session(std::shared_ptr<net::peer_link> link, const std::string& expected_vm, bool accepted);
    void receive(const session_pointer& from, std::string_view frame);
    void receive_hello(const session_pointer& from, const wire::hello& value);
    void verify_proof(const session_pointer& from, const wire::hello& value);
    void reject_session(const session_pointer& rejected, const error& cause);
    void on_session_closed(const session_pointer& closed_session, const error& cause);
    void complete_connects(const std::string& vm, const result<peer_pointer>& outcome);
    [[nodiscard]] wire::hello make_hello(const std::string& nonce, std::string proof) const;
    [[nodiscard]] std::string make_proof(const wire::hello& sender, const std::string& sender_nonce,
                                         const std::string& receiver_nonce) const;

    net::loop& loop_;
    peer_identity self_;
    std::string cluster_secret_;
    peer_events handlers_;
    std::unique_ptr<net::peer_listener> listener_;
    std::map<std::string, session_pointer> authenticated_;
    std::vector<session_pointer> sessions_;
    std::map<std::string, std::vector<connect_callback>> pending_connects_;
    std::map<std::string, std::unique_ptr<net::peer_connect_attempt>> connect_attempts_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace samphiretray::node
