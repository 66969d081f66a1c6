#include "h2o_response.h"

#include "guarded_call.h"
#include "http_reason.h"
#include "socket_polling.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace samphiretray::net {

namespace {

// A client that has sent part of its next request keeps the socket readable, so a read event no longer
// indicates a disconnect. The connection is polled at this interval instead.
constexpr duration disconnect_check_interval = 200ms;
// The connection of an aborted response is closed after this time if the client does not read what is left.
constexpr duration abort_timeout = 2s;
/// Largest part of a response that is passed to h2o at once, so that the progress of a slow reader is seen.
constexpr std::size_t max_send_bytes = 256U << 10U;
constexpr int http_1_1 = 0x101;
constexpr int http_2 = 0x200;

bool equals_case_insensitive(std::string_view left, std::string_view right) {
    return h2o_lcstris(left.data(), left.size(), right.data(), right.size()) != 0;
}

/// Frees the memory that a string has kept from a larger content.
void release_unused(std::string& text) {
    if (text.capacity() > max_send_bytes && text.capacity() > 2 * text.size()) {
        text.shrink_to_fit();
    }
}

std::string to_lower_case(std::string text) {
    h2o_strtolower(text.data(), text.size());
    return text;
}

bool is_disconnected(int descriptor) {
    pollfd state{descriptor, POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace

h2o_response::h2o_response(server_connection& connection, h2o_req_t* request)
    : connection_(&connection), core_(connection.core), request_(request),
      is_head_request_(h2o_memis(request->input.method.base, request->input.method.len, H2O_STRLIT("HEAD")) !=
                       0) {
    if (request->version < http_2) {
        socket_ = connection.socket;
    }
    generator_.owner = this;
    generator_.base.proceed = [](h2o_generator_t* self, h2o_req_t*) {
        reinterpret_cast<generator*>(self)->owner->on_proceed();
    };
}

bool h2o_response::has_peer_disconnected() const {
    return socket_ != nullptr && is_disconnected(h2o_socket_get_fd(socket_));
}

void h2o_response::attach() {
    using reference = std::shared_ptr<h2o_response>;
    void* memory = h2o_mem_alloc_shared(&request_->pool, sizeof(reference), [](void* held) {
        auto* self = static_cast<reference*>(held);
        (*self)->on_disposed();
        self->~reference();
    });
    new (memory) reference(shared_from_this());
    ++connection_->active_requests;
    watch_for_disconnect();
}

void h2o_response::watch_for_disconnect() {
    if (socket_ == nullptr) {
        return;
    }
    connection_->current_response = this;
    // Bytes of the next request must stay in the kernel: reading them could reallocate the input buffer that
    // h2o's request points into.
    h2o_socket_dont_read(socket_, 1);
    h2o_socket_read_start(socket_, [](h2o_socket_t* socket, const char*) {
        h2o_response* current_response =
            static_cast<server_connection*>(socket->on_close.data)->current_response;
        if (current_response != nullptr) {
            current_response->shared_from_this()->on_readable();
        }
    });
}

void h2o_response::stop_watching() {
    disconnect_check_timer_.reset();
    if (socket_ != nullptr) {
        h2o_socket_read_stop(socket_);
        h2o_socket_dont_read(socket_, 0);
    }
}

void h2o_response::on_readable() {
    if (request_ == nullptr || socket_ == nullptr) {
        return;
    }
    if (has_peer_disconnected()) {
        terminate_connection();
        return;
    }
    h2o_socket_read_stop(socket_);
    disconnect_check_timer_ = core_->events().after(disconnect_check_interval, [this] {
        const auto self = shared_from_this();
        on_readable();
    });
}

void h2o_response::terminate_connection() {
    if (request_ == nullptr) {
        return;
    }
    const auto self = shared_from_this();
    if (socket_ != nullptr) {
        stop_watching();
        ::shutdown(h2o_socket_get_fd(socket_), SHUT_RDWR);
    }
    if (!ended_) {
        ended_ = true;
        notify_closed();
    }
    end_state_ = H2O_SEND_STATE_ERROR;
    started_ = true;
    flush();
}

void h2o_response::notify_closed() {
    on_drained_ = nullptr;
    if (const auto action = std::exchange(on_closed_, nullptr)) {
        (void)run_guarded("response_closed", action);
    }
}

void h2o_response::on_disposed() {
    stop_watching();
    abort_timer_.reset();
    request_ = nullptr;
    connection_->current_response = nullptr;
    --connection_->active_requests;
    connection_->idle_since = core_->events().now();
    connection_->unsent_bytes -= std::exchange(charged_unsent_, 0);
    connection_->request_bytes -= std::exchange(charged_request_, 0);
    connection_->update_account();
    core_->meter_later(connection_);
    connection_ = nullptr;
    if (!ended_) {
        ended_ = true;
        // The callback must not run here, while h2o is closing the connection.
        core_->events().post([self = shared_from_this()] { self->notify_closed(); });
    }
    core_.reset();
}

void h2o_response::start(int status, const http_headers& headers) {
    if (!is_open() || started_) {
        return;
    }
    started_ = true;
    request_->res.status = status;
    request_->res.reason = http_reason(status);
    for (const http_header& header : headers) {
        add_header(header);
    }
    // Callers that are refused come back on new connections, and the earlier ones pile up.
    const bool is_refusal = status == 429 || status == 503;
    if (is_refusal && core_->should_close()) {
        request_->http1_is_persistent = 0;
    }
    schedule_flush();
}

void h2o_response::add_header(const http_header& header) {
    if (equals_case_insensitive(header.name, "content-length")) {
        std::uint64_t length = 0;
        const char* end = header.value.data() + header.value.size();
        if (std::from_chars(header.value.data(), end, length).ptr == end) {
            content_length_ = length;
            request_->res.content_length = length;
        }
        return;
    }
    if (equals_case_insensitive(header.name, "connection") ||
        equals_case_insensitive(header.name, "transfer-encoding")) {
        if (equals_case_insensitive(header.value, "close")) {
            request_->http1_is_persistent = 0;
        }
        return;
    }
    const std::string name = to_lower_case(header.name);
    const auto copied_name = h2o_strdup(&request_->pool, name.data(), name.size());
    const auto copied_value = h2o_strdup(&request_->pool, header.value.data(), header.value.size());
    h2o_add_header_by_str(&request_->pool, &request_->res.headers, copied_name.base, copied_name.len, 1,
                          nullptr, copied_value.base, copied_value.len);
}

void h2o_response::write(std::string_view bytes) {
    if (!is_open() || !started_) {
        return;
    }
    body_bytes_written_ += bytes.size();
    if (!is_head_request_) {
        pending_ += bytes;
        charge_unsent();
        schedule_flush();
    }
}

void h2o_response::finish() {
    if (!is_open() || !started_) {
        return;
    }
    const bool complete = is_head_request_ || !content_length_ || *content_length_ == body_bytes_written_;
    end(complete ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_ERROR);
}

void h2o_response::abort() {
    if (!is_open()) {
        return;
    }
    if (!started_) {
        ended_ = true;
        terminate_connection();
        return;
    }
    const bool ends_with_connection = socket_ != nullptr && !content_length_ && request_->version < http_1_1;
    if (ends_with_connection) {
        // An HTTP/1.0 client would take a normal close for the end of the body, so the connection is reset.
        const linger reset{1, 0};
        ::setsockopt(h2o_socket_get_fd(socket_), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    abort_timer_ = core_->events().after(abort_timeout, [this] { terminate_connection(); });
    end(H2O_SEND_STATE_ERROR);
}

void h2o_response::end(h2o_send_state_t state) {
    ended_ = true;
    on_closed_ = nullptr;
    on_drained_ = nullptr;
    end_state_ = state;
    flush();
}

void h2o_response::charge_request(std::size_t bytes) {
    charged_request_ += bytes;
    connection_->request_bytes += bytes;
    connection_->update_account();
}

void h2o_response::charge_unsent() {
    const std::size_t unsent = pending_.size() + (in_flight_ || final_sent_ ? sending_.size() : 0);
    if (connection_->unsent_bytes == 0 && unsent > 0) {
        connection_->account.restart_progress(core_->events().now());
    }
    connection_->unsent_bytes += unsent;
    connection_->unsent_bytes -= std::exchange(charged_unsent_, unsent);
    connection_->update_account();
    core_->relieve_later();
}

std::size_t h2o_response::buffered_bytes() const noexcept {
    return pending_.size() + (in_flight_ ? sending_.size() : 0);
}

void h2o_response::schedule_flush() {
    if (!flush_scheduled_ && !in_flight_) {
        flush_scheduled_ = true;
        core_->flush_later(shared_from_this());
    }
}

void h2o_response::begin_h2o_response() {
    if (std::exchange(h2o_started_, true)) {
        return;
    }
    if (request_->res.status == 0) {
        request_->res.status = 502;
        request_->res.reason = http_reason(502);
    }
    if (core_->is_shutting_down() && socket_ != nullptr) {
        request_->http1_is_persistent = 0;
    }
    const int code = request_->res.status;
    const bool has_body = !is_head_request_ && code != 204 && code != 304;
    is_chunked_ = request_->version == http_1_1 && !content_length_ && has_body;
    if (is_chunked_) {
        h2o_add_header(&request_->pool, &request_->res.headers, H2O_TOKEN_TRANSFER_ENCODING, nullptr,
                       H2O_STRLIT("chunked"));
    }
    // Bypasses h2o's filters. The only one in use is the chunked encoder, which holds back the response
    // headers until the first byte of the body is available.
    h2o_add_prefilter(request_, sizeof(h2o_req_prefilter_t))->on_setup_ostream =
        [](h2o_req_prefilter_t*, h2o_req_t*, h2o_ostream_t**) {};
    h2o_start_response(request_, &generator_.base);
}

void h2o_response::flush() {
    flush_scheduled_ = false;
    if (request_ == nullptr || in_flight_ || !started_ || final_sent_) {
        return;
    }
    const bool nothing_new = h2o_started_ && pending_.empty() && !ended_;
    if (nothing_new) {
        return;
    }
    const auto self = shared_from_this();
    begin_h2o_response();
    const bool is_part = pending_.size() > max_send_bytes && end_state_ == H2O_SEND_STATE_FINAL;
    const bool is_last = ended_ && !is_part;
    sending_.clear();
    if (is_part) {
        sending_.assign(pending_, 0, max_send_bytes);
        pending_.erase(0, max_send_bytes);
        release_unused(pending_);
    } else {
        release_unused(sending_);
        sending_.swap(pending_);
    }
    in_flight_ = !is_last;
    final_sent_ = is_last;
    send_buffers(is_last ? end_state_ : H2O_SEND_STATE_IN_PROGRESS);
}

void h2o_response::send_buffers(h2o_send_state_t state) {
    std::array<h2o_iovec_t, 3> buffers{};
    std::size_t count = 0;
    if (is_chunked_ && !sending_.empty()) {
        const int size = std::snprintf(chunk_size_.data(), chunk_size_.size(), "%zx\r\n", sending_.size());
        buffers[count++] = h2o_iovec_init(chunk_size_.data(), static_cast<std::size_t>(size));
    }
    if (!sending_.empty()) {
        buffers[count++] = h2o_iovec_init(sending_.data(), sending_.size());
    }
    if (is_chunked_) {
        constexpr std::string_view end_of_chunk = "\r\n";
        constexpr std::string_view end_of_body = "\r\n0\r\n\r\n";
        std::string_view end = state == H2O_SEND_STATE_FINAL ? end_of_body : end_of_chunk;
        // Without data, there is no chunk to end: only the terminating chunk is sent.
        end.remove_prefix(sending_.empty() ? end_of_chunk.size() : 0);
        if (!end.empty()) {
            buffers[count++] = h2o_iovec_init(end.data(), end.size());
        }
    }
    h2o_send(request_, buffers.data(), count, state);
}

void h2o_response::on_proceed() {
    const auto self = shared_from_this();
    in_flight_ = false;
    if (connection_ != nullptr) {
        connection_->account.note_moved(sending_.size(), core_->events().now());
        charge_unsent();
    }
    flush();
    if (socket_ != nullptr && is_open() && !in_flight_) {
        update_polled_events(socket_);
    }
    if (is_open() && buffered_bytes() == 0 && on_drained_) {
        (void)run_guarded("response_drained", on_drained_);
    }
}

} // namespace samphiretray::net
