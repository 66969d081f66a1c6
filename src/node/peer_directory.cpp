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
    /// Empty for accepted links, whose peer is known from its hello only.
    std::string expected_vm;
    bool accepted = false;
    std::string own_nonce;
    std::string peer_nonce;
    peer_pointer proven;
    time_point last_used;
    net::timer_handle handshake_timer;
};

peer_directory::peer_directory(net::loop& events, peer_identity self, std::string cluster_secret,
                               peer_events handlers)
    : loop_(events), self_(std::move(self)), secret_(std::move(cluster_secret)),
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
    const auto found = proven_.find(vm);
    return found == proven_.end() || !found->second->link->is_open() ? nullptr : found->second->proven;
}

void peer_directory::connect(const std::string& vm, const net::address& where, connected done) {
    if (const auto existing = find(vm)) {
        done(existing);
        return;
    }
    auto& queue = waiting_[vm];
    queue.push_back(std::move(done));
    if (queue.size() > 1) {
        return;
    }
    connecting_[vm] = net::connect_peer(
        loop_, where, {}, [this, vm, alive = alive_](result<std::shared_ptr<net::peer_link>> opened) {
            if (!*alive) {
                return;
            }
            if (opened) {
                start_session(std::move(*opened), vm, false);
            } else {
                finish_waiting(vm, opened.error());
            }
        });
}

void peer_directory::start_session(std::shared_ptr<net::peer_link> link, const std::string& expected_vm,
                                   bool accepted) {
    auto fresh = std::make_shared<session>();
    fresh->link = std::move(link);
    fresh->expected_vm = expected_vm;
    fresh->accepted = accepted;
    fresh->own_nonce = random_hex(nonce_bytes);
    fresh->last_used = loop_.now();
    const std::weak_ptr<session> weak = fresh;
    fresh->handshake_timer = loop_.after(handshake_timeout, [this, weak] {
        if (const auto stuck = weak.lock()) {
            fail(stuck, make_error(errc::timeout, step::connect, stuck->link->peer(),
                                   "the peer sent no proof within 5 s"));
        }
    });
    fresh->link->on_message([this, weak, alive = alive_](std::string_view frame) {
        if (const auto from = weak.lock(); from && *alive) {
            receive(from, frame);
        }
    });
    fresh->link->on_closed([this, weak, alive = alive_](const error& cause) {
        if (const auto gone = weak.lock(); gone && *alive) {
            closed(gone, cause);
        }
    });
    sessions_.push_back(fresh);
    fresh->link->send(wire::encode(make_hello(fresh->own_nonce, "")));
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
    return hmac_sha256_hex(secret_, text);
}

void peer_directory::receive(const session_pointer& from, std::string_view frame) {
    auto decoded = wire::decode(frame);
    if (!decoded) {
        fail(from, decoded.error());
        return;
    }
    from->last_used = loop_.now();
    if (const auto* greeting = std::get_if<wire::hello>(&*decoded)) {
        receive_hello(from, *greeting);
        return;
    }
    if (!from->proven) {
        fail(from, make_error(errc::unauthorized, step::connect, from->link->peer(),
                              "a message came before the peer's proof"));
        return;
    }
    handlers_.on_message(from->proven, std::move(*decoded));
}

void peer_directory::receive_hello(const session_pointer& from, const wire::hello& value) {
    if (from->proven) {
        fail(from, make_error(errc::protocol_error, step::connect, value.peer, "a second hello"));
        return;
    }
    if (!value.cluster_proof.empty()) {
        accept_proof(from, value);
        return;
    }
    from->peer_nonce = value.nonce;
    const wire::hello own = make_hello(from->own_nonce, "");
    from->link->send(
        wire::encode(make_hello(from->own_nonce, make_proof(own, from->own_nonce, from->peer_nonce))));
}

void peer_directory::accept_proof(const session_pointer& from, const wire::hello& value) {
    const bool nonces_known = !from->peer_nonce.empty() && from->peer_nonce == value.nonce;
    const std::string expected = make_proof(value, from->peer_nonce, from->own_nonce);
    if (!nonces_known || !equal_in_constant_time(expected, value.cluster_proof)) {
        fail(from, make_error(errc::unauthorized, step::connect, from->link->peer(),
                              "the peer does not know the cluster secret"));
        return;
    }
    if (!from->accepted && value.peer != from->expected_vm) {
        fail(from, make_error(errc::unauthorized, step::connect, from->link->peer(),
                              "expected VM " + from->expected_vm + ", found " + value.peer));
        return;
    }
    from->handshake_timer.reset();
    from->proven = std::make_shared<peer>(from->link, peer_identity{value.peer, value.kind, value.region,
                                                                    value.data_centre, value.incarnation});
    proven_[value.peer] = from;
    handlers_.on_open(from->proven);
    finish_waiting(value.peer, from->proven);
}

void peer_directory::fail(const session_pointer& broken, const error& cause) {
    log_event(log_level::warning, "peer_link_refused",
              {{"step", name_of(cause.at)},
               {"peer", cause.peer},
               {"code", cause.code.message()},
               {"detail", cause.detail}});
    broken->link->close();
    closed(broken, cause);
}

void peer_directory::closed(const session_pointer& gone, const error& cause) {
    const auto listed = std::ranges::find(sessions_, gone);
    if (listed == sessions_.end()) {
        return;
    }
    sessions_.erase(listed);
    gone->handshake_timer.reset();
    if (gone->proven) {
        const auto current = proven_.find(gone->proven->identity().vm);
        if (current != proven_.end() && current->second == gone) {
            proven_.erase(current);
        }
        handlers_.on_closed(gone->proven);
    } else if (!gone->expected_vm.empty()) {
        finish_waiting(gone->expected_vm, cause);
    }
}

void peer_directory::finish_waiting(const std::string& vm, const result<peer_pointer>& outcome) {
    const auto found = waiting_.find(vm);
    if (found == waiting_.end()) {
        return;
    }
    const auto queue = std::move(found->second);
    waiting_.erase(found);
    // The connect handle may own the callback that is running now, so it is destroyed later.
    if (auto handle = connecting_.extract(vm)) {
        loop_.post(
            [kept = std::make_shared<decltype(handle)>(std::move(handle))] { kept->mapped().reset(); });
    }
    std::ranges::for_each(queue, [&](const connected& done) { done(outcome); });
}

void peer_directory::close_idle(duration idle) {
    const time_point oldest = loop_.now() - idle;
    const auto sessions = sessions_;
    for (const auto& open : sessions) {
        if (!open->accepted && open->proven && open->last_used < oldest) {
            open->link->close();
        }
    }
}

std::size_t peer_directory::open_links() const noexcept {
    return sessions_.size();
}

} // namespace samphiretray::node
