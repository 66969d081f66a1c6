#include "samphiretray/net/address.h"

#include "socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <charconv>
#include <cstring>

namespace samphiretray::net {

namespace {

error invalid_address_error(std::string_view text) {
    return make_error(errc::invalid_argument, step::parse, "",
                      "\"" + std::string{text} + "\" is not a numeric address with a port, such as " +
                          "10.0.0.1:80 or [::1]:80");
}

std::optional<std::uint16_t> parse_port(std::string_view text) {
    std::uint16_t port = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (failure != std::errc{} || end != text.data() + text.size() || text.empty()) {
        return std::nullopt;
    }
    return port;
}

} // namespace

std::optional<socket_address> to_socket_address(const address& value) {
    socket_address converted;
    auto* v4 = reinterpret_cast<sockaddr_in*>(&converted.bytes);
    if (::inet_pton(AF_INET, value.host.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(value.port);
        converted.length = sizeof(sockaddr_in);
        return converted;
    }
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&converted.bytes);
    if (::inet_pton(AF_INET6, value.host.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(value.port);
        converted.length = sizeof(sockaddr_in6);
        return converted;
    }
    return std::nullopt;
}

address from_socket_address(const sockaddr* value) {
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (value->sa_family == AF_INET) {
        const auto* v4 = reinterpret_cast<const sockaddr_in*>(value);
        ::inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
        return {text.data(), ntohs(v4->sin_port)};
    }
    if (value->sa_family == AF_INET6) {
        const auto* v6 = reinterpret_cast<const sockaddr_in6*>(value);
        ::inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
        return {text.data(), ntohs(v6->sin6_port)};
    }
    return {};
}

result<address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return invalid_address_error(text);
    }
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    const auto port = parse_port(text.substr(colon + 1));
    address parsed{std::string{host}, port.value_or(0)};
    // Without brackets, an IPv6 address followed by a port could be read as a longer IPv6 address.
    const bool is_v6 = host.find(':') != std::string_view::npos;
    if (!port || is_v6 != bracketed || !to_socket_address(parsed)) {
        return invalid_address_error(text);
    }
    return parsed;
}

std::string to_string(const address& value) {
    const bool is_v6 = value.host.find(':') != std::string::npos;
    const std::string host = is_v6 ? "[" + value.host + "]" : value.host;
    return host + ":" + std::to_string(value.port);
}

} // namespace samphiretray::net
