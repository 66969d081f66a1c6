#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::net {

struct http_header {
    std::string name;
    std::string value;
};

using http_headers = std::vector<http_header>;

/// The lower-case letter for an upper-case ASCII letter; any other character as it is.
[[nodiscard]] char to_lower(char c) noexcept;
/// Compares header names without case.
[[nodiscard]] bool is_same_header(std::string_view left, std::string_view right) noexcept;

/// The value of the first header called `name` (compared without case), or an empty view.
[[nodiscard]] std::string_view find_header(const http_headers& headers, std::string_view name) noexcept;

/// The value of `name` in a query string such as "a=1&b=2", percent-decoded; empty if absent.
[[nodiscard]] std::string find_query(std::string_view query, std::string_view name);

/// Percent-encodes everything but unreserved characters.
[[nodiscard]] std::string url_encode(std::string_view text);

struct http_request {
    std::string method;
    /// Path without the query string.
    std::string path;
    std::string query;
    /// Path and query string exactly as the caller sent them.
    std::string target = {};
    http_headers headers;
    std::string body;
    /// Numeric address of the peer.
    std::string peer;
};

} // namespace samphiretray::net
