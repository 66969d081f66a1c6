#include "samphiretray/net/http_client.h"

#include "samphiretray/base/log.h"

#include "connection_pool.h"
#include "guarded_call.h"
#include "input_buffer.h"
#include "response_parser.h"
#include "socket_address.h"
#include "socket_polling.h"

#include <h2o.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace samphiretray::net {

namespace {

bool has_line_break_or_nul(std::string_view text) {
    return text.find_first_of(std::string_view{"\r\n\0", 3}) != std::string_view::npos;
}

bool is_well_formed(const http_call& call) {
    const bool bad_target = call.target.empty() || call.target.find(' ') != std::string::npos;
    const bool bad_header = std::ranges::any_of(call.headers, [](const http_header& header) {
        return header.name.empty() || has_line_break_or_nul(header.name) ||
               has_line_break_or_nul(header.value);
    });
    return !bad_target && !bad_header && !has_line_break_or_nul(call.target) &&
           !has_line_break_or_nul(call.method);
}

bool is_client_managed_header(std::string_view name) {
    constexpr auto names =
        std::to_array<std::string_view>({"content-length", "transfer-encoding", "connection"});
    return std::ranges::any_of(names, [name](std::string_view each) {
        return h2o_lcstris(name.data(), name.size(), each.data(), each.size()) != 0;
    });
}

std::string format_request_head(const http_call& call) {
    std::string head = call.method + " " + call.target + " HTTP/1.1\r\n";
    if (find_header(call.headers, "host").empty()) {
        head += "host: " + to_string(call.peer) + "\r\n";
    }
    for (const http_header& header : call.headers) {
        if (!is_client_managed_header(header.name)) {
            head += header.name + ": " + header.value + "\r\n";
        }
    }
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
        head += "content-length: " + std::to_string(call.body.size()) + "\r\n";
    }
    head += "\r\n";
    return head;
}

/// Bytes of an answer that the kernel keeps while reading is paused; it doubles this for its own needs.
/// Without a limit it lets the buffer of a fast answer grow to the system's maximum, often 32 MB a
/// connection.
constexpr int receive_buffer_size = 64 << 10;

void limit_receive_buffer(h2o_socket_t& socket) {
    const int failed = ::setsockopt(h2o_socket_get_fd(&socket), SOL_SOCKET, SO_RCVBUF, &receive_buffer_size,
                                    sizeof(receive_buffer_size));
    if (failed != 0) {
        log_event(log_level::debug, "receive_buffer_not_limited", {{"errno", errno}});
    }
}

/// Limit of interim (1xx) responses before the final one; servers normally send one or two.
constexpr std::uint32_t max_interim_responses = 16;

enum class write_progress { not_started, in_progress, done, failed };

/// One call: connects or takes a pooled connection, writes the request and reads the response.
class client_call final : public std::enable_shared_from_this<client_call> {
public:
    client_call(loop& events, std::shared_ptr<connection_pool> pool, http_call call,
                http_call_events handlers)
        : events_(events), pool_(std::move(pool)), call_(std::move(call)), handlers_(std::move(handlers)) {}
    ~client_call() { cancel(); }
    client_call(const client_call&) = delete;
    client_call& operator=(const client_call&) = delete;

    void start();
    void cancel();
    [[nodiscard]] bool ends_at_close() const noexcept {
        return head_received_ && decoder_.may_end_at_close();
    }
    void set_read_enabled(bool wanted);
    [[nodiscard]] bool may_have_been_sent() const noexcept {
        return request_writing_ != write_progress::not_started;
    }

private:
    static client_call& from_socket(h2o_socket_t* socket) { return *static_cast<client_call*>(socket->data); }
    static void on_connect(h2o_socket_t* socket, const char* failure);
    static void on_written(h2o_socket_t* socket, const char* failure);
    static void on_read(h2o_socket_t* socket, const char* failure);

    void connect();
    void fail_later(errc code, step at, std::string detail);
    void write_request();
    void read_head();
    void read_body();
    /// The peer has ended its side of the connection, or has reset it while a write was in progress.
    void on_end_of_input();
    void on_peer_closed(bool clean);
    void complete();
    /// Runs a callback of the call's owner, and ends the call if it throws.
    template <typename Action>
    void notify(std::string_view callback, Action&& action);
    void fail(errc code, step at, std::string detail);
    void end(std::optional<error> failure);
    void on_timeout();
    /// For the whole call, given the part of the answer that has come.
    [[nodiscard]] duration time_limit() const;
    void on_connect_timeout();
    /// The limit that was exceeded, and how often the loop has looked at the sockets meanwhile: few polls in
    /// a long time show that this process was late, not its peer.
    [[nodiscard]] std::string describe_limit(duration limit) const;
    [[nodiscard]] bool is_active() const noexcept { return socket_ != nullptr && !ended_; }

    loop& events_;
    std::shared_ptr<connection_pool> pool_;
    http_call call_;
    http_call_events handlers_;
    std::string request_head_;
    time_point started_at_;
    std::size_t body_bytes_ = 0;
    timer_handle timeout_timer_;
    timer_handle connect_timer_;
    h2o_socket_t* socket_ = nullptr;
    response_head response_head_;
    body_decoder decoder_;
    std::size_t parsed_input_size_ = 0;
    std::uint32_t interim_responses_ = 0;
    std::uint64_t polls_at_start_ = events_.polls();
    bool read_enabled_ = true;
    bool connected_ = false;
    write_progress request_writing_ = write_progress::not_started;
    bool head_received_ = false;
    bool ended_ = false;
    /// The call itself, from its cancellation until the write of its request is reported.
    std::shared_ptr<client_call> cancelled_while_writing_;
};

void client_call::start() {
    started_at_ = events_.now();
    timeout_timer_ = events_.after(call_.timeout, [this] { on_timeout(); });
    if (!is_well_formed(call_)) {
        fail_later(errc::protocol_error, step::send, "the request has a malformed target or header");
        return;
    }
    request_head_ = format_request_head(call_);
    socket_ = call_.fresh_connection ? nullptr : pool_->take(call_.peer, call_.max_idle);
    if (socket_ != nullptr) {
        socket_->data = this;
        write_request();
        return;
    }
    connect();
}

void client_call::connect() {
    auto target = to_socket_address(call_.peer);
    if (target) {
        socket_ = h2o_socket_connect(events_.native(), target->get(), target->length, on_connect);
    }
    if (socket_ == nullptr) {
        fail_later(errc::connection_failed, step::connect, "no connection can be opened");
        return;
    }
    socket_->data = this;
    if (call_.connect_timeout > 0s) {
        connect_timer_ = events_.after(call_.connect_timeout, [this] { on_connect_timeout(); });
    }
}

void client_call::fail_later(errc code, step at, std::string detail) {
    events_.post([weak = weak_from_this(), code, at, detail = std::move(detail)] {
        if (const auto self = weak.lock()) {
            self->fail(code, at, detail);
        }
    });
}

void client_call::on_connect(h2o_socket_t* socket, const char* failure) {
    const auto self = from_socket(socket).shared_from_this();
    if (failure != nullptr) {
        self->fail(errc::connection_failed, step::connect, failure);
        return;
    }
    self->connect_timer_.reset();
    limit_receive_buffer(*socket);
    self->write_request();
}

void client_call::write_request() {
    connected_ = true;
    request_writing_ = write_progress::in_progress;
    std::array<h2o_iovec_t, 2> parts{h2o_iovec_init(request_head_.data(), request_head_.size()),
                                     h2o_iovec_init(call_.body.data(), call_.body.size())};
    h2o_socket_write(socket_, parts.data(), call_.body.empty() ? 1 : 2, on_written);
    h2o_socket_read_start(socket_, on_read);
}

void client_call::on_written(h2o_socket_t* socket, const char* failure) {
    client_call& call = from_socket(socket);
    // After a failed write a response of the peer may still be unread, so only the read side ends the call.
    call.request_writing_ = failure == nullptr ? write_progress::done : write_progress::failed;
    if (const auto cancelled = std::exchange(call.cancelled_while_writing_, nullptr)) {
        h2o_socket_close(std::exchange(call.socket_, nullptr));
        return;
    }
    update_polled_events(socket);
}

void client_call::set_read_enabled(bool wanted) {
    if (std::exchange(read_enabled_, wanted) == wanted || !is_active() || !may_have_been_sent()) {
        return;
    }
    if (wanted) {
        h2o_socket_read_start(socket_, on_read);
    } else {
        h2o_socket_read_stop(socket_);
    }
}

void client_call::on_read(h2o_socket_t* socket, const char* failure) {
    const auto self = from_socket(socket).shared_from_this();
    if (failure == h2o_socket_error_closed) {
        self->on_end_of_input();
        return;
    }
    if (failure != nullptr) {
        self->on_peer_closed(false);
        return;
    }
    self->events_.count_received(socket->bytes_read);
    if (!self->head_received_) {
        self->read_head();
    }
    if (self->is_active() && self->head_received_) {
        self->read_body();
    }
}

void client_call::read_head() {
    while (is_active() && !head_received_) {
        const std::string_view input{socket_->input->bytes, socket_->input->size};
        head_result parsed = parse_response_head(input, parsed_input_size_, call_.method == "HEAD");
        parsed_input_size_ = input.size();
        if (parsed.progress == parse_progress::incomplete) {
            return;
        }
        if (parsed.progress == parse_progress::malformed || parsed.head.status == 101) {
            fail(errc::protocol_error, step::receive, "the head of the response is malformed");
            return;
        }
        h2o_buffer_consume(&socket_->input, parsed.head.size);
        parsed_input_size_ = 0;
        // Interim (1xx) responses such as 100 Continue come before the final one.
        if (parsed.head.status >= 200) {
            head_received_ = true;
            response_head_ = std::move(parsed.head);
            decoder_ = body_decoder{response_head_.framing, response_head_.length};
            notify("response_head", [this] {
                if (handlers_.on_head) {
                    handlers_.on_head(response_head_.status, response_head_.headers);
                }
            });
        } else if (++interim_responses_ > max_interim_responses) {
            fail(errc::protocol_error, step::receive, "the response has too many interim heads");
        }
    }
}

void client_call::read_body() {
    const auto decoded = decoder_.decode(socket_->input->bytes, socket_->input->size);
    if (decoded.progress == parse_progress::malformed) {
        fail(errc::protocol_error, step::receive, "a chunk of the response is malformed");
        return;
    }
    body_bytes_ += decoded.data.size();
    if (!decoded.data.empty() && handlers_.on_data) {
        notify("response_data", [&] { handlers_.on_data(decoded.data); });
    }
    if (!is_active()) {
        return;
    }
    h2o_buffer_consume(&socket_->input, decoded.consumed);
    release_empty_input(socket_);
    if (decoded.progress == parse_progress::done) {
        complete();
    }
}

void client_call::on_end_of_input() {
    // A write that fails because of a reset consumes the socket's error, and the next read reports the end of
    // the input. The failure of the write is reported after that of the read.
    h2o_socket_read_stop(socket_);
    events_.post([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->is_active()) {
            self->on_peer_closed(self->request_writing_ != write_progress::failed);
        }
    });
}

void client_call::on_peer_closed(bool clean) {
    if (clean && ends_at_close()) {
        complete();
        return;
    }
    fail(errc::connection_closed, step::receive,
         head_received_ ? "the connection was closed before the end of the response"
                        : "the connection was closed before a response came");
}

void client_call::complete() {
    const bool reusable =
        response_head_.keep_alive && request_writing_ == write_progress::done && socket_->input->size == 0;
    if (reusable) {
        h2o_socket_read_stop(socket_);
        pool_->put(call_.peer, std::exchange(socket_, nullptr), response_head_.keep_alive_timeout);
    }
    end(std::nullopt);
}

void client_call::fail(errc code, step at, std::string detail) {
    end(make_error(code, at, to_string(call_.peer), std::move(detail)));
}

void client_call::end(std::optional<error> failure) {
    if (ended_) {
        return;
    }
    cancel();
    if (handlers_.on_end) {
        const auto action = std::move(handlers_.on_end);
        (void)run_guarded(
            "response_end", [this] { return to_string(call_.peer); }, [&] { action(std::move(failure)); });
    }
}

template <typename Action>
void client_call::notify(std::string_view callback, Action&& action) {
    const bool succeeded = run_guarded(
        callback, [this] { return to_string(call_.peer); }, std::forward<Action>(action));
    if (!succeeded && is_active()) {
        fail(errc::protocol_error, step::receive, "the response could not be processed");
    }
}

void client_call::cancel() {
    ended_ = true;
    timeout_timer_.reset();
    connect_timer_.reset();
    if (socket_ == nullptr || cancelled_while_writing_) {
        return;
    }
    if (request_writing_ != write_progress::in_progress) {
        h2o_socket_close(std::exchange(socket_, nullptr));
        return;
    }
    // h2o may already have listed the socket for `on_written`, and would use it after it has been freed. It
    // also refers to the bytes of the request until then. The shutdown ends a write that is blocked.
    cancelled_while_writing_ = shared_from_this();
    h2o_socket_read_stop(socket_);
    ::shutdown(h2o_socket_get_fd(socket_), SHUT_RDWR);
}

std::string client_call::describe_limit(duration limit) const {
    return std::to_string(milliseconds_in(limit)) + " ms, " +
           std::to_string(events_.polls() - polls_at_start_) + " polls";
}

duration client_call::time_limit() const {
    const double rate = call_.min_bytes_per_s;
    const std::chrono::duration<double> transfer{rate > 0 ? static_cast<double>(body_bytes_) / rate : 0.0};
    return call_.timeout + std::chrono::duration_cast<duration>(transfer);
}

void client_call::on_timeout() {
    const auto self = shared_from_this();
    const duration left = started_at_ + time_limit() - events_.now();
    if (left >= 1ms) {
        events_.dispose_later(std::move(timeout_timer_));
        timeout_timer_ = events_.after(left, [this] { on_timeout(); });
        return;
    }
    const std::string limit = describe_limit(time_limit());
    fail(errc::timeout, connected_ ? step::receive : step::connect,
         connected_ ? "no whole response within " + limit : "no connection within " + limit);
}

void client_call::on_connect_timeout() {
    const auto self = shared_from_this();
    fail(errc::timeout, step::connect, "no connection within " + describe_limit(call_.connect_timeout));
}

class exchange_handle final : public http_exchange {
public:
    explicit exchange_handle(std::shared_ptr<client_call> call) : call_(std::move(call)) {}
    ~exchange_handle() override { call_->cancel(); }
    exchange_handle(const exchange_handle&) = delete;
    exchange_handle& operator=(const exchange_handle&) = delete;

    [[nodiscard]] bool may_have_been_sent() const noexcept override { return call_->may_have_been_sent(); }
    [[nodiscard]] bool ends_at_close() const noexcept override { return call_->ends_at_close(); }
    void set_read_enabled(bool wanted) override { call_->set_read_enabled(wanted); }

private:
    std::shared_ptr<client_call> call_;
};

class h2o_client final : public http_client {
public:
    explicit h2o_client(loop& events) : events_(events), pool_(std::make_shared<connection_pool>(events)) {}

    std::unique_ptr<http_exchange> send(http_call call, http_call_events handlers) override {
        auto started = std::make_shared<client_call>(events_, pool_, std::move(call), std::move(handlers));
        started->start();
        return std::make_unique<exchange_handle>(std::move(started));
    }

private:
    loop& events_;
    std::shared_ptr<connection_pool> pool_;
};

/// Collects the response for `http_client::fetch`.
struct response_collector {
    fetched_response response;
    std::function<void(result<fetched_response>)> done;
    std::size_t max_bytes = 0;
    std::string peer;
};

/// Lets the callbacks of `fetch` cancel the exchange they belong to.
class collecting_exchange final : public http_exchange {
public:
    std::unique_ptr<http_exchange> inner;

    [[nodiscard]] bool may_have_been_sent() const noexcept override {
        return inner == nullptr || inner->may_have_been_sent();
    }
    [[nodiscard]] bool ends_at_close() const noexcept override {
        return inner != nullptr && inner->ends_at_close();
    }
    void set_read_enabled(bool wanted) override {
        if (inner != nullptr) {
            inner->set_read_enabled(wanted);
        }
    }
};

} // namespace

std::unique_ptr<http_client> http_client::create(loop& events) {
    return std::make_unique<h2o_client>(events);
}

std::unique_ptr<http_exchange> http_client::fetch(http_call call,
                                                  std::function<void(result<fetched_response>)> done,
                                                  std::size_t max_bytes) {
    auto collector = std::make_shared<response_collector>();
    collector->done = std::move(done);
    collector->max_bytes = max_bytes;
    collector->peer = to_string(call.peer);
    auto handle = std::make_unique<collecting_exchange>();
    http_call_events handlers;
    handlers.on_head = [collector](int code, const http_headers& headers) {
        collector->response.status = code;
        collector->response.headers = headers;
    };
    handlers.on_data = [collector, owner = handle.get()](std::string_view bytes) {
        if (collector->response.body.size() + bytes.size() <= collector->max_bytes) {
            collector->response.body += bytes;
            return;
        }
        owner->inner.reset();
        collector->done(
            make_error(errc::too_large, step::receive, collector->peer,
                       "the response is longer than " + std::to_string(collector->max_bytes) + " bytes"));
    };
    handlers.on_end = [collector](std::optional<error> failure) {
        if (failure) {
            collector->done(std::move(*failure));
        } else {
            collector->done(std::move(collector->response));
        }
    };
    handle->inner = send(std::move(call), std::move(handlers));
    return handle;
}

} // namespace samphiretray::net
