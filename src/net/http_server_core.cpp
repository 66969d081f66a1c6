#include "http_server_core.h"

#include "samphiretray/base/log.h"
#include "samphiretray/base/text.h"

#include "guarded_call.h"
#include "h2o_response.h"
#include "input_buffer.h"
#include "lingering_close.h"
#include "socket_address.h"

#include <h2o/http1.h>
#include <h2o/http2.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace samphiretray::net {

namespace {

constexpr int http_2 = 0x200;
/// Copies of a body beside the one in h2o's buffer: that of the handler and that of the call that forwards
/// it.
constexpr std::size_t body_copies = 2;
/// A connection that does not read yet is looked at again after this time. An interim response is usually
/// sent within one iteration of the loop.
constexpr duration meter_retry_interval = 5ms;

std::string to_text(h2o_iovec_t bytes) {
    return {bytes.base, bytes.len};
}

std::string peer_host(h2o_req_t* request) {
    socket_address peer;
    request->conn->callbacks->get_peername(request->conn, peer.get());
    return from_socket_address(peer.get()).host;
}

http_headers copy_headers(const h2o_req_t& request) {
    http_headers headers;
    headers.reserve(request.headers.size + 1);
    headers.push_back({"host", to_text(request.input.authority)});
    for (std::size_t i = 0; i < request.headers.size; ++i) {
        const h2o_header_t& header = request.headers.entries[i];
        headers.push_back({to_text(*header.name), to_text(header.value)});
    }
    return headers;
}

http_request to_http_request(h2o_req_t* request) {
    const std::string_view target{request->input.path.base, request->input.path.len};
    const std::size_t query_at = request->input.query_at;
    http_request converted;
    converted.target = target;
    converted.method = to_text(request->input.method);
    converted.path = target.substr(0, query_at);
    if (query_at < target.size()) {
        converted.query = target.substr(query_at + 1);
    }
    converted.headers = copy_headers(*request);
    converted.body = to_text(request->entity);
    converted.peer = peer_host(request);
    return converted;
}

/// Whether the request headers give the body length more than once, by Content-Length or Transfer-Encoding.
/// RFC 9112 section 6.3 treats such a request as a request smuggling attempt; h2o would use the last one.
bool has_ambiguous_length(std::string_view head) {
    std::size_t length_headers = 0;
    while (!head.empty()) {
        const std::size_t end = head.find('\n');
        const std::string_view line = head.substr(0, end);
        head = end == std::string_view::npos ? std::string_view{} : head.substr(end + 1);
        if (line.empty() || line == "\r") {
            break;
        }
        const std::string_view name = trim(line.substr(0, line.find(':')));
        const auto has_name = [name](std::string_view other) {
            return h2o_lcstris(name.data(), name.size(), other.data(), other.size()) != 0;
        };
        length_headers += has_name("content-length") || has_name("transfer-encoding") ? 1 : 0;
    }
    return length_headers > 1;
}

bool has_unread_input(h2o_socket_t* socket) {
    pollfd state{h2o_socket_get_fd(socket), POLLIN, 0};
    return socket->input->size != 0 || ::poll(&state, 1, 0) > 0;
}

/// The response to a request that has not been read to its end.
std::string overload_response(const http_headers& headers) {
    std::string text = "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n";
    for (const http_header& each : headers) {
        text += each.name + ": " + each.value + "\r\n";
    }
    return text + "\r\n";
}

} // namespace

void server_connection::update_account() noexcept {
    const buffer_use use = unsent_bytes > account.limits().small_bytes ? buffer_use::sending
                           : active_requests > 0                       ? buffer_use::waiting
                                                                       : buffer_use::receiving;
    account.set(socket->input->size + request_bytes + unsent_bytes, use);
}

http_server_core::http_server_core(loop& events, http_server_options options, http_handler handler)
    : events_(events), options_(std::move(options)), handler_(std::move(handler)) {
    if (!options_.buffers) {
        options_.buffers = std::make_shared<buffer_budget>(buffer_limits{});
    }
    configure();
    h2o_context_init(&context_, events_.native(), &config_);
    accept_context_.ctx = &context_;
    accept_context_.hosts = config_.hosts;
}

http_server_core::~http_server_core() {
    // A graceful shutdown arms this timer for HTTP/2; h2o aborts if its context is disposed of while the
    // timer is linked.
    if (h2o_timeout_is_linked(&context_.http2._graceful_shutdown_timeout) != 0) {
        h2o_timeout_unlink(&context_.http2._graceful_shutdown_timeout);
    }
    h2o_context_dispose(&context_);
    // h2o 2.2.5 closes the queue but does not free its memory.
    std::free(context_.queue);
    h2o_config_dispose(&config_);
}

void http_server_core::set_limits(std::size_t max_body_bytes, duration idle_timeout) {
    const auto idle = static_cast<std::uint64_t>(std::max<std::int64_t>(1, milliseconds_in(idle_timeout)));
    config_.max_request_entity_size = max_body_bytes;
    config_.http1.req_timeout = idle;
    config_.http2.idle_timeout = idle;
    // h2o keeps copies of the timeouts in its context. Changing them also applies to connections that are
    // already waiting.
    context_.http1.req_timeout.timeout = idle;
    context_.http2.idle_timeout.timeout = idle;
}

void http_server_core::configure() {
    h2o_config_init(&config_);
    config_.server_name = h2o_iovec_init(H2O_STRLIT("samphiretray"));
    config_.max_request_entity_size = options_.max_body_bytes;
    // The bodies of HTTP/2 streams are not in the buffer of the socket, which is what is charged.
    config_.http1.upgrade_to_http2 = 0;
    const auto idle =
        static_cast<std::uint64_t>(std::max<std::int64_t>(1, milliseconds_in(options_.idle_timeout)));
    config_.http1.req_timeout = idle;
    config_.http2.idle_timeout = idle;
    h2o_hostconf_t* host = h2o_config_register_host(&config_, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
    auto* handler = reinterpret_cast<request_handler*>(h2o_create_handler(path, sizeof(request_handler)));
    handler->core = this;
    handler->base.on_req = [](h2o_handler_t* self, h2o_req_t* request) {
        reinterpret_cast<request_handler*>(self)->core->on_request(request);
        return 0;
    };
    // h2o assigns the requests that it rejects itself to the fallback path.
    auto* logger =
        reinterpret_cast<request_logger*>(h2o_create_logger(&host->fallback_path, sizeof(request_logger)));
    logger->core = this;
    logger->base.log_access = [](h2o_logger_t* self, h2o_req_t* request) {
        reinterpret_cast<request_logger*>(self)->core->on_request_disposed(request);
    };
}

status http_server_core::load_certificates() {
    if (options_.certificate_file.empty() && options_.private_key_file.empty()) {
        return success();
    }
    auto loaded = load_tls_context(options_.certificate_file, options_.private_key_file);
    if (!loaded) {
        return loaded.error();
    }
    tls_ = std::move(loaded).value();
    accept_context_.ssl_ctx = tls_.get();
    return success();
}

duration http_server_core::wait_before_accept() {
    const time_point now = events_.now();
    pacer_.on_received(events_.received_bytes(), now);
    const duration wait = pacer_.wait(now);
    accept_pauses_ += wait > duration::zero() ? 1 : 0;
    return wait;
}

void http_server_core::add_connection(h2o_socket_t* socket) {
    pacer_.on_accepted(events_.now());
    if (options_.max_connections > 0 && connections_.size() >= options_.max_connections) {
        ++displaced_connections_;
        if (!displace_connection()) {
            h2o_socket_close(socket);
            return;
        }
    }
    auto* connection = new server_connection{shared_from_this(), socket, options_.buffers, events_.now()};
    connections_.insert(connection);
    pacer_.on_receiving(connection, events_.now());
    socket->on_close.data = connection;
    socket->on_close.cb = [](void* data) {
        auto* closed = static_cast<server_connection*>(data);
        closed->core->remove_connection(closed);
    };
    h2o_accept(&accept_context_, socket);
    if (connections_.contains(connection)) {
        meter(*connection);
    }
}

void http_server_core::remove_connection(server_connection* connection) {
    connections_.erase(connection);
    pacer_.on_not_receiving(connection);
    if (connection->was_closed != nullptr) {
        *connection->was_closed = true;
    }
    // If this is the last connection, h2o still uses the context that the core owns.
    events_.dispose_later(std::move(connection->core));
    delete connection;
}

void http_server_core::on_request(h2o_req_t* request) {
    h2o_socket_t* socket = request->conn->callbacks->get_socket(request->conn);
    auto& connection = *static_cast<server_connection*>(socket->on_close.data);
    pacer_.on_request(&connection);
    const auto response = std::make_shared<h2o_response>(connection, request);
    response->attach();
    if (connection.is_refused) {
        // h2o had not been reading, and takes up a body behind its interim response.
        response->abort();
        return;
    }
    if (response->has_peer_disconnected()) {
        // The request has waited in the queue of the listening socket or for this loop, and its client's
        // close stands behind it.
        ++abandoned_requests_;
        response->abort();
        return;
    }
    const std::string_view input{socket->input->bytes, socket->input->size};
    if (request->version < http_2 && has_ambiguous_length(input)) {
        ++refused_requests_;
        response->send(400, {{"connection", "close"}}, "the length of the body is stated more than once\n");
        return;
    }
    if (handler_ && !admit(connection, *response, request->entity.len)) {
        ++refused_requests_;
        response->send(503, options_.overload_headers, "too many bytes are held for other requests\n");
        return;
    }
    if (handler_) {
        http_request converted = to_http_request(request);
        // The request may be gone when its handler throws.
        const std::string peer = converted.peer;
        const bool handled = run_guarded(
            "request", [&peer] { return std::string_view{peer}; },
            [&] { handler_(std::move(converted), response); });
        if (!handled) {
            response->send(500, {}, "internal error\n");
        }
    } else {
        response->abort();
    }
}

void http_server_core::on_request_disposed(h2o_req_t* request) {
    const bool refused = request->res.status == 400 || request->res.status == 413;
    refused_requests_ += refused ? 1 : 0;
    if (refused && request->version < http_2 && request->http1_is_persistent == 0) {
        h2o_socket_t* socket = request->conn->callbacks->get_socket(request->conn);
        linger_before_close(events_, h2o_socket_get_fd(socket));
    }
}

void http_server_core::meter(server_connection& connection) const {
    h2o_socket_t* socket = connection.socket;
    // The handshake of TLS replaces the callback several times, and a response watches its connection itself.
    const bool is_reading = h2o_socket_is_reading(socket) != 0 && socket->_cb.read != on_read;
    if (is_reading && connection.current_response == nullptr && socket->ssl == nullptr) {
        connection.read_callback = std::exchange(socket->_cb.read, on_read);
    }
}

void http_server_core::meter_later(server_connection* connection) {
    if (unmetered_.empty()) {
        events_.post([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->meter_pending();
            }
        });
    }
    unmetered_.push_back(connection);
}

void http_server_core::meter_pending() {
    for (server_connection* each : std::exchange(unmetered_, {})) {
        if (connections_.contains(each)) {
            meter(*each);
            const bool is_waiting = each->current_response == nullptr && each->socket->ssl == nullptr &&
                                    h2o_socket_is_reading(each->socket) == 0;
            if (is_waiting) {
                unmetered_.push_back(each);
            }
            if (each->active_requests == 0) {
                release_empty_input(each->socket);
            }
            each->update_account();
        }
    }
    if (!unmetered_.empty()) {
        meter_timer_ = events_.after(meter_retry_interval, [this] {
            const timer_handle running_timer = std::move(meter_timer_);
            meter_pending();
        });
    }
}

void http_server_core::on_read(h2o_socket_t* socket, const char* failure) {
    auto& connection = *static_cast<server_connection*>(socket->on_close.data);
    const auto core = connection.core;
    core->events_.count_received(failure == nullptr ? socket->bytes_read : 0);
    bool was_closed = false;
    connection.was_closed = &was_closed;
    const std::size_t read_before = connection.account.bytes();
    connection.read_callback(socket, failure);
    if (was_closed) {
        return;
    }
    connection.was_closed = nullptr;
    if (connection.current_response != nullptr) {
        return;
    }
    if (socket->input->size > 0) {
        core->pacer_.on_receiving(&connection, core->events_.now());
    } else {
        core->pacer_.on_not_receiving(&connection);
    }
    if (socket->_cb.read != on_read || h2o_socket_is_reading(socket) == 0) {
        // h2o sends an interim response, and reads on with its own callback.
        core->meter_later(&connection);
    }
    connection.update_account();
    const std::size_t held = connection.account.bytes();
    connection.account.note_moved(held - std::min(held, read_before), core->events_.now());
    if (core->options_.buffers->is_exceeded()) {
        core->relieve(0);
    }
}

bool http_server_core::admit(server_connection& connection, h2o_response& response, std::size_t body_bytes) {
    const std::size_t more = body_bytes * body_copies;
    connection.update_account();
    buffer_budget& buffers = *options_.buffers;
    if (!buffers.admits(connection.account, more)) {
        relieve(more);
    }
    if (!buffers.admits(connection.account, more)) {
        buffers.count_refused();
        log_event(log_level::warning, "request_overload",
                  {{"bytes", body_bytes}, {"held", buffers.held()}, {"limit", buffers.limits().max_bytes}});
        return false;
    }
    response.charge_request(more);
    return true;
}

void http_server_core::relieve_later() {
    if (options_.buffers->is_exceeded() && !std::exchange(relief_scheduled_, true)) {
        events_.post([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->relief_scheduled_ = false;
                self->relieve(0);
            }
        });
    }
}

void http_server_core::relieve(std::size_t needed) {
    // Each round closes a connection or empties its account.
    while (const buffer_account* victim = options_.buffers->victim(needed, events_.now())) {
        auto& connection = *static_cast<server_connection*>(victim->owner());
        // The budget may be shared with other servers.
        const auto core = connection.core;
        core->close_victim(connection);
    }
}

void http_server_core::close_victim(server_connection& connection) {
    const buffer_account& account = connection.account;
    options_.buffers->count_closed(account.use());
    log_event(log_level::warning, "connection_overload",
              {{"use", name_of(account.use())},
               {"bytes", account.bytes()},
               {"idle_ms", milliseconds_in(account.idle_time(events_.now()))},
               {"held", options_.buffers->held()},
               {"limit", options_.buffers->limits().max_bytes}});
    close_connection(connection);
}

void http_server_core::close_connection(server_connection& connection) {
    if (connection.current_response != nullptr) {
        connection.account.set(0, buffer_use::sending);
        connection.current_response->shared_from_this()->terminate_connection();
    } else if (connection.active_requests > 0 || connection.socket->ssl != nullptr) {
        connection.account.set(0, buffer_use::sending);
        ::shutdown(h2o_socket_get_fd(connection.socket), SHUT_RDWR);
    } else {
        close_receiving(connection);
    }
}

void http_server_core::close_receiving(server_connection& connection) {
    connection.is_refused = true;
    h2o_socket_t* socket = connection.socket;
    const int descriptor = h2o_socket_get_fd(socket);
    if (socket->input->size > 0) {
        const std::string text = overload_response(options_.overload_headers);
        // The connection is closed whether or not the client takes the response.
        (void)::send(descriptor, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        linger_before_close(events_, descriptor);
    }
    const h2o_socket_cb read = socket->_cb.read == on_read ? connection.read_callback : socket->_cb.read;
    if (read != nullptr) {
        read(socket, h2o_socket_error_closed);
    } else {
        connection.account.set(0, buffer_use::receiving);
        ::shutdown(descriptor, SHUT_RDWR);
    }
}

bool http_server_core::displace_connection() {
    std::vector<displacement_candidate> candidates;
    candidates.reserve(connections_.size());
    for (const server_connection* each : connections_) {
        const bool is_idle = each->active_requests == 0 && each->socket->input->size == 0;
        candidates.push_back(
            {&each->account, is_idle, each->active_requests, each->unsent_bytes, each->idle_since});
    }
    const buffer_account* chosen = choose_displaced(candidates, events_.now());
    if (chosen != nullptr) {
        close_connection(*static_cast<server_connection*>(chosen->owner()));
    }
    return chosen != nullptr;
}

void http_server_core::begin_graceful_shutdown() {
    h2o_context_request_shutdown(&context_);
    idle_check_timer_ =
        events_.every(options_.shutdown_idle_timeout / 4, [this] { close_idle_connections(); });
}

void http_server_core::close_idle_connections() {
    const time_point idle_cutoff = events_.now() - options_.shutdown_idle_timeout;
    for (server_connection* connection : connections_) {
        const bool idle = connection->active_requests == 0 && connection->idle_since <= idle_cutoff;
        if (idle && !has_unread_input(connection->socket)) {
            // A request that comes before the shutdown takes effect is still read.
            connection->is_refused = true;
            ::shutdown(h2o_socket_get_fd(connection->socket), SHUT_RDWR);
        }
    }
}

void http_server_core::close() {
    handler_ = nullptr;
    idle_check_timer_.reset();
    meter_timer_.reset();
    unmetered_.clear();
    const auto connections = connections_;
    for (server_connection* connection : connections) {
        if (!connections_.contains(connection)) {
            continue;
        }
        ::shutdown(h2o_socket_get_fd(connection->socket), SHUT_RDWR);
        if (connection->current_response != nullptr) {
            connection->current_response->shared_from_this()->terminate_connection();
        }
    }
}

void http_server_core::flush_later(std::shared_ptr<h2o_response> response) {
    if (unflushed_.empty()) {
        events_.post([self = shared_from_this()] { self->flush_pending(); });
    }
    unflushed_.push_back(std::move(response));
}

void http_server_core::flush_pending() {
    const auto responses = std::exchange(unflushed_, {});
    for (const auto& response : responses) {
        response->flush();
    }
}

} // namespace samphiretray::net
