#include "tests/support/scripted_server.h"

#include "samphiretray/base/text.h"

#include "src/net/socket_address.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <optional>
#include <stdexcept>

namespace samphiretray::net::testing {

namespace {

constexpr duration poll_interval = 1ms;
constexpr std::string_view end_of_head = "\r\n\r\n";

/// Parses the head of a request; the clients under test send well-formed ones.
http_request parse_head(std::string_view head) {
    http_request request;
    const std::string_view first = head.substr(0, head.find("\r\n"));
    const auto words = split(first, ' ');
    request.method = words.at(0);
    request.target = words.at(1);
    request.path = request.target.substr(0, request.target.find('?'));
    head.remove_prefix(std::min(head.size(), first.size() + 2));
    for (std::string_view line : split(head, '\n')) {
        line.remove_suffix(line.ends_with('\r') ? 1 : 0);
        const auto colon = line.find(':');
        if (colon != std::string_view::npos) {
            request.headers.push_back(
                {std::string{line.substr(0, colon)}, std::string{trim(line.substr(colon + 1))}});
        }
    }
    return request;
}

} // namespace

std::string format_answer(answer_framing framing, const http_headers& headers, std::string_view body,
                          int status) {
    std::string bytes = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const http_header& each : headers) {
        bytes += each.name + ": " + each.value + "\r\n";
    }
    if (framing == answer_framing::length) {
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        return bytes.append(body);
    }
    if (framing == answer_framing::until_close) {
        bytes += "Connection: close\r\n\r\n";
        return bytes.append(body);
    }
    bytes += "Transfer-Encoding: chunked\r\n\r\n";
    if (!body.empty()) {
        std::array<char, 24> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
        bytes.append(size.data()).append(body).append("\r\n");
    }
    return bytes + "0\r\n\r\n";
}

struct scripted_server::connection {
    explicit connection(int accepted) : descriptor(accepted) {}
    ~connection() { ::close(descriptor); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    int descriptor;
    std::string input;
    std::optional<scripted_answer> answer;
    std::size_t written = 0;
    std::optional<time_point> ends_at;
    bool closed = false;
};

scripted_server::scripted_server(loop& events, handler answer)
    : events_(events), answer_(std::move(answer)),
      descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
    const auto any_port = to_socket_address({"127.0.0.1", 0});
    if (descriptor_ < 0 || ::bind(descriptor_, any_port->get(), any_port->length) != 0 ||
        ::listen(descriptor_, 256) != 0) {
        throw std::runtime_error("cannot listen on a loopback address");
    }
    poll_timer_ = events_.every(poll_interval, [this] { poll(); });
}

scripted_server::~scripted_server() {
    ::close(descriptor_);
}

address scripted_server::local_address() const {
    socket_address local;
    local.length = sizeof(local.bytes);
    ::getsockname(descriptor_, local.get(), &local.length);
    return from_socket_address(local.get());
}

void scripted_server::ignore_bodies() {
    constexpr int receive_buffer_size = 4096;
    ignores_bodies_ = true;
    ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_size, sizeof(receive_buffer_size));
}

void scripted_server::poll() {
    for (int accepted = 0; accepted >= 0;) {
        accepted = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (accepted >= 0) {
            connections_.push_back(std::make_unique<connection>(accepted));
        }
    }
    for (const auto& each : connections_) {
        read(*each);
        if (!each->answer) {
            begin_answer(*each);
        }
        if (each->answer) {
            write(*each);
        }
    }
    std::erase_if(connections_, [](const auto& each) { return each->closed; });
}

void scripted_server::read(connection& from) {
    if (from.answer && ignores_bodies_) {
        return;
    }
    // Reads no more than the head at once, so that an ignored body stays in the kernel.
    std::array<char, 4096> buffer{};
    const std::size_t limit = ignores_bodies_ ? 1 : buffer.size();
    for (ssize_t count = 1; count > 0;) {
        if (ignores_bodies_ && from.input.ends_with(end_of_head)) {
            return;
        }
        count = ::recv(from.descriptor, buffer.data(), limit, 0);
        if (count > 0) {
            from.input.append(buffer.data(), static_cast<std::size_t>(count));
        }
        from.closed = from.closed || count == 0 || (count < 0 && errno != EAGAIN);
    }
}

void scripted_server::begin_answer(connection& to) {
    const auto head_size = to.input.find(end_of_head);
    if (head_size == std::string::npos) {
        return;
    }
    http_request request = parse_head(std::string_view{to.input}.substr(0, head_size));
    const auto length = parse_number<std::size_t>(find_header(request.headers, "content-length"));
    const std::size_t body_size = ignores_bodies_ ? 0 : length.value_or(0);
    const std::size_t body_start = head_size + end_of_head.size();
    if (to.input.size() < body_start + body_size) {
        return;
    }
    request.body = to.input.substr(body_start, body_size);
    to.input.erase(0, body_start + body_size);
    to.answer = answer_(request);
    to.written = 0;
}

void scripted_server::write(connection& to) {
    const std::string& bytes = to.answer->bytes;
    const std::size_t part_end = to.written + std::min(bytes.size() - to.written, to.answer->max_part);
    while (to.written < part_end) {
        const auto sent = ::send(to.descriptor, bytes.data() + to.written, part_end - to.written,
                                 MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent < 0) {
            to.closed = to.closed || errno != EAGAIN;
            return;
        }
        to.written += static_cast<std::size_t>(sent);
    }
    if (to.written == bytes.size()) {
        finish_answer(to);
    }
}

void scripted_server::finish_answer(connection& to) {
    if (to.answer->ending == answer_ending::keep_open) {
        to.answer.reset();
        return;
    }
    if (to.answer->ending == answer_ending::close) {
        to.closed = true;
        return;
    }
    if (to.answer->ending == answer_ending::half_close) {
        ::shutdown(to.descriptor, SHUT_WR);
        return;
    }
    if (!to.ends_at) {
        to.ends_at = events_.now() + to.answer->pause_before_ending;
    }
    if (events_.now() >= *to.ends_at) {
        const linger reset_on_close{1, 0};
        ::setsockopt(to.descriptor, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
        to.closed = true;
    }
}

} // namespace samphiretray::net::testing
