#include "samphiretray/net/peer_link.h"

#include "listener.h"
#include "socket_address.h"
#include "websocket_link.h"

#include <h2o.h>

#include <map>
#include <utility>

namespace samphiretray::net {

namespace {

using connect_callback = std::function<void(result<std::shared_ptr<peer_link>>)>;

class pending_connect final : public peer_connect_attempt {
public:
    pending_connect(loop& events, address peer, peer_link_options options, connect_callback done)
        : events_(events), peer_(std::move(peer)), options_(options), done_(std::move(done)) {}
    ~pending_connect() override { cancel(); }
    pending_connect(const pending_connect&) = delete;
    pending_connect& operator=(const pending_connect&) = delete;

    void start() {
        connect_timer_ = events_.after(options_.connect_timeout, [this] {
            finish(make_error(errc::timeout, step::connect, to_string(peer_), "no connection in time"));
        });
        auto target = to_socket_address(peer_);
        if (target) {
            socket_ = h2o_socket_connect(events_.native(), target->get(), target->length, on_connect);
        }
        if (socket_ == nullptr) {
            connect_timer_ =
                events_.after(duration::zero(), [this] { fail_connect("no connection can be opened"); });
            return;
        }
        socket_->data = this;
    }

private:
    static void on_connect(h2o_socket_t* socket, const char* failure) {
        auto* self = static_cast<pending_connect*>(socket->data);
        if (failure != nullptr) {
            self->fail_connect(failure);
        } else {
            self->start_handshake();
        }
    }

    void start_handshake() {
        link_ = std::make_shared<websocket_link>(events_, std::exchange(socket_, nullptr), peer_, options_);
        link_->start(websocket_link::side::client, [this](std::optional<error> failure) {
            if (failure) {
                finish(std::move(*failure));
            } else {
                finish(std::shared_ptr<peer_link>{std::move(link_)});
            }
        });
    }

    void fail_connect(std::string detail) {
        finish(make_error(errc::connection_failed, step::connect, to_string(peer_), std::move(detail)));
    }

    void finish(result<std::shared_ptr<peer_link>> outcome) {
        cancel();
        if (const auto done = std::exchange(done_, nullptr)) {
            done(std::move(outcome));
        }
    }

    void cancel() {
        connect_timer_.reset();
        if (const auto link = std::exchange(link_, nullptr)) {
            link->close_silently();
        }
        if (socket_ != nullptr) {
            h2o_socket_close(std::exchange(socket_, nullptr));
        }
    }

    loop& events_;
    address peer_;
    peer_link_options options_;
    connect_callback done_;
    timer_handle connect_timer_;
    h2o_socket_t* socket_ = nullptr;
    std::shared_ptr<websocket_link> link_;
};

class websocket_listener final : public peer_listener {
public:
    using link_callback = std::function<void(std::shared_ptr<peer_link>)>;

    websocket_listener(loop& events, peer_link_options options, link_callback on_link)
        : events_(events), options_(options), on_link_(std::move(on_link)) {}
    ~websocket_listener() override {
        for (const auto& [key, link] : handshaking_) {
            link->close_silently();
        }
    }
    websocket_listener(const websocket_listener&) = delete;
    websocket_listener& operator=(const websocket_listener&) = delete;

    status listen(const address& local) {
        auto new_listener =
            listener::create(events_, local, [this](h2o_socket_t* socket) { start_handshake(socket); });
        if (!new_listener) {
            return new_listener.error();
        }
        listener_ = std::move(new_listener).value();
        return success();
    }

    [[nodiscard]] address local_address() const override { return listener_->local_address(); }
    void stop_accepting() override { listener_->stop(); }

private:
    void start_handshake(h2o_socket_t* socket) {
        socket_address peer;
        h2o_socket_getpeername(socket, peer.get());
        const auto link =
            std::make_shared<websocket_link>(events_, socket, from_socket_address(peer.get()), options_);
        handshaking_.emplace(link.get(), link);
        link->start(websocket_link::side::server,
                    [this, key = link.get()](const std::optional<error>& failure) {
                        const auto opened = handshaking_.extract(key);
                        if (!failure && !opened.empty()) {
                            on_link_(opened.mapped());
                        }
                    });
    }

    loop& events_;
    peer_link_options options_;
    link_callback on_link_;
    std::unique_ptr<listener> listener_;
    // Links whose opening handshake is in progress.
    std::map<websocket_link*, std::shared_ptr<websocket_link>> handshaking_;
};

} // namespace

std::unique_ptr<peer_connect_attempt>
connect_peer(loop& events, const address& peer, peer_link_options options,
             std::function<void(result<std::shared_ptr<peer_link>>)> done) {
    auto attempt = std::make_unique<pending_connect>(events, peer, options, std::move(done));
    attempt->start();
    return attempt;
}

result<std::unique_ptr<peer_listener>>
peer_listener::create(loop& events, const address& listen, peer_link_options options,
                      std::function<void(std::shared_ptr<peer_link>)> on_link) {
    auto created = std::make_unique<websocket_listener>(events, options, std::move(on_link));
    if (const status listening = created->listen(listen); !listening) {
        return listening.error();
    }
    return std::unique_ptr<peer_listener>{std::move(created)};
}

} // namespace samphiretray::net
