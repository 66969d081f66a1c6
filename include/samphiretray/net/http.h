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

/// Converts an upper-case ASCII letter to lower case; returns any other character unchanged.
[[nodiscard]] char to_lower(char c) noexcept;
/// Compares header names, or header values that are keywords, ignoring ASCII case.
[[nodiscard]] bool equals_ignore_case(std::string_view left, std::string_view right) noexcept;

/// The value of the first header called `name` (ignoring case), or an empty view.
[[nodiscard]] std::string_view find_header(const http_headers& headers, std::string_view name) noexcept;

/// The percent-decoded value of the parameter `name` in a query string such as "a=1&b=2"; empty if absent.
[[nodiscard]] std::string find_query_parameter(std::string_view query, std::string_view name);

/// Percent-encodes all bytes except the unreserved characters of RFC 3986.
[[nodiscard]] std::string url_encode(std::string_view text);

struct http_request {
    std::string method;
    /// Path without the query string.
    std::string path;
    std::string query;
    /// Request target (path and query string) exactly as the client sent it.
    std::string target = {};
    http_headers headers;
    std::string body;
    /// IP address of the client, without the port.
    std::string peer;
};

} // namespace samphiretray::net
