#include "http_reason.h"

#include <algorithm>
#include <array>
#include <utility>

namespace samphiretray::net {

namespace {

constexpr auto reasons = std::to_array<std::pair<int, const char*>>({
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {304, "Not Modified"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {409, "Conflict"},
    {413, "Content Too Large"},
    {422, "Unprocessable Content"},
    {429, "Too Many Requests"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
    {507, "Insufficient Storage"},
});

} // namespace

const char* http_reason(int status) noexcept {
    const auto* const found = std::ranges::find(reasons, status, &std::pair<int, const char*>::first);
    return found == reasons.end() ? "Status" : found->second;
}

} // namespace samphiretray::net
