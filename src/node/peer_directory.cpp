#include "samphiretray/node/peer_directory.h"

#include "samphiretray/base/hash.h"
#include "samphiretray/base/log.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace samphiretray::node {

namespace {

constexpr std::size_t nonce_bytes = 16;
constexpr duration handshake_timeout = 5s;

} // namespace

peer::peer(std::shared_ptr<net::peer_link> link, peer_identity identity)
    : link_(std::move(link)), identity_(std::move(identity)) {}

struct peer_directory::session {
    std::shared_ptr<net::peer_link> link;
    /// Empty for accepted links: their peer is known only from its hello.
    std::string expected_vm;
    bool accepted = false;
    std::string own_nonce;
    std::string peer_nonce;
    peer_pointer authenticated_peer;
    time_point last_used;
    net::timer_handle handshake_timer;
};

peer_directory::peer_directory(net::loop& events, peer_identity self, std::string cluster_secret,
                               peer_events handlers)
    : loop_(events), self_(std::move(self)), cluster_secret_(std::move(cluster_secret)),
      handlers_(std::move(handlers)) {}

peer_directory::~peer_directory() {
    *alive_ = false;
}

status peer_directory::listen(const net::address& where) {
    auto created = net::peer_listener::create(loop_, where, {}, [this](std::shared_ptr<net::peer_link> link) {
        start_session(std::move(link), "", true);
    });
    if (!created) {
        return created.error();
    }
    listener_ = std::move(*created);
    return success();
}

net::address peer_directory::local_address() const {
    return listener_ ? listener_->local_address() : net::address{};
}

void peer_directory::stop_accepting() {
    if (listener_) {
        listener_->stop_accepting();
    }
}

peer_pointer peer_directory::find(const std::string& vm) const {
    const auto found = authenticated_.find(vm);
    return found == authenticated_.end() || !found->second->link->is_open()
               ? nullptr
               : found->second->authenticated_peer;
}

void peer_directory::connect(const std::string& vm, const net::address& where, connect_callback done) {
    if (const auto existing = find(vm)) {
        done(existing);
        return;
    }
    auto& callbacks = pending_connects_[vm];
    callbacks.push_back(std::move(done));
    if (callbacks.size() > 1) {
        return;
    }
    connect_attempts_[vm] = net::connect_peer(
        loop_, where, {}, [this, vm, alive = alive_](result<std::shared_ptr<net::peer_link>> opened) {
            if (!*alive) {
                return;
            }
            if (opened) {
                start_session(std::move(*opened), vm, false);
            } else {
                complete_connects(vm, opened.error());
            }
        });
}

void peer_directory::start_session(std::shared_ptr<net::peer_link> link, const std::string& expected_vm,
                                   bool accepted) {
    auto new_session = std::make_shared<session>();
    new_session->link = std::move(link);
    new_session->expected_vm = expected_vm;
    new_session->accepted = accepted;
    new_session->own_nonce = random_hex(nonce_bytes);
    new_session->last_used = loop_.now();
    const std::weak_ptr<session> weak = new_session;
    new_session->handshake_timer = loop_.after(handshake_timeout, [this, weak] {
        if (const auto pending = weak.lock()) {
            reject_session(pending, make_error(errc::timeout, step::connect, pending->link->peer(),
                                               "the peer sent no proof within 5 s"));
        }
    });
    new_session->link->on_message([this, weak, alive = alive_](std::string_view frame) {
        if (const auto from = weak.lock(); from && *alive) {
            receive(from, frame);
        }
    });
    new_session->link->on_closed([this, weak, alive = alive_](const error& cause) {
        if (const auto closed_session = weak.lock(); closed_session && *alive) {
            on_session_closed(closed_session, cause);
        }
    });
    sessions_.push_back(new_session);
    new_session->link->send(wire::encode(make_hello(new_session->own_nonce, "")));
}

wire::hello peer_directory::make_hello(const std::string& nonce, std::string proof) const {
    return {self_.vm,          self_.kind, self_.region,    self_.data_centre,
            self_.incarnation, nonce,      std::move(proof)};
}

std::string peer_directory::make_proof(const wire::hello& sender, const std::string& sender_nonce,
                                       const std::string& receiver_nonce) const {
    std::string text{name_of(sender.kind)};
    for (const std::string& part :
         {sender.peer, sender.region, sender.data_centre, sender.incarnation, sender_nonce, receiver_nonce}) {
        text += '\n';
        text += part;
    }
    return hmac_sha256_hex(cluster_secret_, text);
}

void peer_directory::receive(const session_pointer& from, std::string_view frame) {
    auto decoded = wire::decode(frame);
    if (!decoded) {
        reject_session(from, decoded.error());
        return;
    }
    from->last_used = loop_.now();
    if (const auto* hello = std::get_if<wire::hello>(&*decoded)) {
        receive_hello(from, *hello);
        return;
    }
    if (!from->authenticated_peer) {
        reject_session(from, make_error(errc::unauthorized, step::connect, from->link->peer(),
                                        "a message came before the peer's proof"));
        return;
    }
    handlers_.on_message(from->authenticated_peer, std::move(*decoded));
}

void peer_directory::receive_hello(const session_pointer& from, const wire::hello& value) {
    if (from->authenticated_peer) {
        reject_session(from, make_error(errc::protocol_error, step::connect, value.peer,
                                        "hello on an authenticated link"));
        return;
    }
    if (!value.cluster_proof.empty()) {
        verify_proof(from, value);
        return;
    }
    from->peer_nonce = value.nonce;
    const wire::hello own = make_hello(from->own_nonce, "");
    from->link->send(
        wire::encode(make_hello(from->own_nonce, make_proof(own, from->own_nonce, from->peer_nonce))));
}

void peer_directory::verify_proof(const session_pointer& from, const wire::hello& value) {
    const bool nonce_matches = !from->peer_nonce.empty() && from->peer_nonce == value.nonce;
    const std::string expected = make_proof(value, from->peer_nonce, from->own_nonce);
    if (!nonce_matches || !equal_in_constant_time(expected, value.cluster_proof)) {
        reject_session(from, make_error(errc::unauthorized, step::connect, from->link->peer(),
                                        "the peer does not know the cluster secret"));
        return;
    }
    if (!from->accepted && value.peer != from->expected_vm) {
        reject_session(from, make_error(errc::unauthorized, step::connect, from->link->peer(),
                                        "expected VM " + from->expected_vm + ", found " + value.peer));
        return;
    }
    from->handshake_timer.reset();
    from->authenticated_peer =
        std::make_shared<peer>(from->link, peer_identity{value.peer, value.kind, value.region,
                                                         value.data_centre, value.incarnation});
    authenticated_[value.peer] = from;
    handlers_.on_open(from->authenticated_peer);
    complete_connects(value.peer, from->authenticated_peer);
}

void peer_directory::reject_session(const session_pointer& rejected, const error& cause) {
    log_event(log_level::warning, "peer_link_refused",
              {{"step", name_of(cause.failed_step)},
               {"peer", cause.peer},
               {"code", cause.code.message()},
               {"detail", cause.detail}});
    rejected->link->close();
    on_session_closed(rejected, cause);
}

void peer_directory::on_session_closed(const session_pointer& closed_session, const error& cause) {
    const auto position = std::ranges::find(sessions_, closed_session);
    if (position == sessions_.end()) {
        return;
    }
    sessions_.erase(position);
    closed_session->handshake_timer.reset();
    if (closed_session->authenticated_peer) {
        const auto current = authenticated_.find(closed_session->authenticated_peer->identity().vm);
        if (current != authenticated_.end() && current->second == closed_session) {
            authenticated_.erase(current);
        }
        handlers_.on_closed(closed_session->authenticated_peer);
    } else if (!closed_session->expected_vm.empty()) {
        complete_connects(closed_session->expected_vm, cause);
    }
}

void peer_directory::complete_connects(const std::string& vm, const result<peer_pointer>& outcome) {
    const auto found = pending_connects_.find(vm);
    if (found == pending_connects_.end()) {
        return;
    }
    const auto callbacks = std::move(found->second);
    pending_connects_.erase(found);
    // The connect handle may own the callback that is running now, so its destruction is deferred.
    if (auto handle = connect_attempts_.extract(vm)) {
        loop_.post([connect_handle = std::make_shared<decltype(handle)>(std::move(handle))] {
            connect_handle->mapped().reset();
        });
    }
    std::ranges::for_each(callbacks, [&](const connect_callback& done) { done(outcome); });
}

void peer_directory::close_idle(duration idle) {
    const time_point oldest = loop_.now() - idle;
    const auto sessions = sessions_;
    for (const auto& open : sessions) {
        if (!open->accepted && open->authenticated_peer && open->last_used < oldest) {
            open->link->close();
        }
    }
}

std::size_t peer_directory::open_links() const noexcept {
    return sessions_.size();
}

} // namespace samphiretray::node
