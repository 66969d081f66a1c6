#include "websocket_link.h"

#include "guarded_call.h"
#include "socket_polling.h"

#include <h2o.h>

#include <utility>

namespace samphiretray::net {

namespace {

// The socket is closed after this time if the peer does not answer the closing handshake or does not read.
constexpr duration close_timeout = 2s;

errc to_errc(session_end_reason reason) {
    switch (reason) {
    case session_end_reason::too_large:
        return errc::too_large;
    case session_end_reason::protocol_error:
        return errc::protocol_error;
    case session_end_reason::closed:
        break;
    }
    return errc::connection_closed;
}

} // namespace

websocket_link::websocket_link(loop& events, st_h2o_socket_t* socket, address peer, peer_link_options options)
    : events_(events), socket_(socket), peer_(std::move(peer)), options_(options),
      last_receive_time_(events.now()) {}

websocket_link::~websocket_link() {
    close_socket();
}

void websocket_link::start(side role, std::function<void(std::optional<error>)> done) {
    on_opened_ = std::move(done);
    socket_->data = this;
    timeout_timer_ = events_.after(options_.connect_timeout,
                                   [this] { fail(errc::timeout, "the opening handshake took too long"); });
    session_ = role == side::client
                   ? make_client_session(to_string(peer_), options_.max_message_bytes, handlers())
                   : make_server_session(options_.max_message_bytes, handlers());
    h2o_socket_read_start(socket_, on_read);
    session_->open();
}

session_events websocket_link::handlers() {
    return {[this](std::string_view bytes) { enqueue(bytes); }, [this] { on_open(); },
            [this](std::string_view message) {
                if (on_message_ && socket_ != nullptr &&
                    !run_guarded(
                        "peer_message", [this] { return to_string(peer_); }, [&] { on_message_(message); })) {
                    fail(errc::protocol_error, "a message could not be processed");
                }
            },
            [this](session_end_reason reason, const std::string& detail) { on_end(reason, detail); }};
}

void websocket_link::on_open() {
    open_ = true;
    timeout_timer_.reset();
    keepalive_timer_ = events_.every(options_.ping_interval, [this] { check_keepalive(); });
    if (const auto done = std::exchange(on_opened_, nullptr)) {
        (void)run_guarded(
            "peer_opened", [this] { return to_string(peer_); }, [&] { done(std::nullopt); });
    }
}

void websocket_link::on_read(h2o_socket_t* socket, const char* failure) {
    const auto self = static_cast<websocket_link*>(socket->data)->shared_from_this();
    if (failure != nullptr) {
        self->fail(errc::connection_closed, "the peer closed the connection");
        return;
    }
    self->last_receive_time_ = self->events_.now();
    // The buffer is detached from the socket, because a callback may close the socket and free its buffer.
    h2o_buffer_t* input = socket->input;
    h2o_buffer_init(&socket->input, &h2o_socket_buffer_prototype);
    self->session_->receive({input->bytes, input->size});
    h2o_buffer_dispose(&input);
}

void websocket_link::send(std::string_view message) {
    if (!is_open()) {
        return;
    }
    if (message.size() > options_.max_message_bytes) {
        fail(errc::too_large, "a message of " + std::to_string(message.size()) + " bytes exceeds the limit");
        return;
    }
    session_->send_binary(message);
}

void websocket_link::close() {
    if (closing_ || socket_ == nullptr) {
        return;
    }
    closing_ = true;
    start_close_timer("closed here");
    if (open_) {
        session_->close();
    } else {
        fail(errc::connection_closed, "closed here");
    }
}

void websocket_link::start_close_timer(const std::string& detail) {
    // The timer holds a reference, so that the queued messages are written even if the user has released the
    // link.
    timeout_timer_ = events_.after(
        close_timeout, [self = shared_from_this(), detail] { self->fail(errc::connection_closed, detail); });
}

void websocket_link::on_end(session_end_reason reason, const std::string& detail) {
    if (socket_ == nullptr || draining_) {
        return;
    }
    draining_ = true;
    end_error_ = make_error(to_errc(reason), open_ ? step::receive : step::connect, to_string(peer_),
                            closing_ ? "closed here" : detail);
    start_close_timer("the peer does not read");
    if (!flush_posted_ && !in_flight_) {
        flush_posted_ = true;
        events_.post([self = shared_from_this()] { self->flush(); });
    }
}

void websocket_link::enqueue(std::string_view bytes) {
    if (socket_ == nullptr) {
        return;
    }
    pending_ += bytes;
    if (!flush_posted_ && !in_flight_) {
        flush_posted_ = true;
        events_.post([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->flush();
            }
        });
    }
}

void websocket_link::flush() {
    flush_posted_ = false;
    if (socket_ == nullptr || in_flight_) {
        return;
    }
    if (pending_.empty()) {
        if (draining_) {
            fail(errc::connection_closed, "");
        }
        return;
    }
    sending_.clear();
    sending_.swap(pending_);
    in_flight_ = true;
    h2o_iovec_t buffer = h2o_iovec_init(sending_.data(), sending_.size());
    h2o_socket_write(socket_, &buffer, 1, on_written);
}

void websocket_link::on_written(h2o_socket_t* socket, const char* failure) {
    const auto self = static_cast<websocket_link*>(socket->data)->shared_from_this();
    self->in_flight_ = false;
    if (failure != nullptr) {
        self->fail(errc::connection_closed, "the peer closed the connection");
        return;
    }
    update_polled_events(socket);
    self->flush();
}

void websocket_link::check_keepalive() {
    const duration idle_time = events_.now() - last_receive_time_;
    if (idle_time >= options_.receive_timeout) {
        const auto self = shared_from_this();
        fail(errc::timeout, "nothing received for " + std::to_string(milliseconds_in(idle_time)) + " ms");
        return;
    }
    if (idle_time >= options_.ping_interval / 2 && !closing_) {
        session_->ping();
    }
}

void websocket_link::fail(errc code, std::string detail) {
    if (socket_ == nullptr) {
        return;
    }
    const auto self = shared_from_this();
    if (!open_ && code == errc::connection_closed) {
        code = errc::connection_failed;
    }
    error failure = end_error_.value_or(
        make_error(code, open_ ? step::receive : step::connect, to_string(peer_), std::move(detail)));
    close_socket();
    // The callbacks run from the loop, not inside a call from the user of the link.
    events_.post([self, failure = std::move(failure)] { self->notify_closed(failure); });
}

void websocket_link::notify_closed(const error& failure) {
    if (const auto done = std::exchange(on_opened_, nullptr)) {
        done(failure);
    }
    if (const auto action = std::exchange(on_closed_, nullptr)) {
        action(failure);
    }
    on_message_ = nullptr;
}

void websocket_link::close_silently() {
    on_opened_ = nullptr;
    on_closed_ = nullptr;
    on_message_ = nullptr;
    close_socket();
}

void websocket_link::close_socket() {
    timeout_timer_.reset();
    keepalive_timer_.reset();
    if (socket_ != nullptr) {
        h2o_socket_close(std::exchange(socket_, nullptr));
    }
}

std::size_t websocket_link::buffered_bytes() const noexcept {
    return pending_.size() + (in_flight_ ? sending_.size() : 0);
}

} // namespace samphiretray::net
