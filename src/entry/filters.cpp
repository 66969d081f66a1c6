#include "samphiretray/entry/filters.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <ranges>

namespace samphiretray::entry {

namespace {

constexpr std::string_view bearer = "Bearer ";
constexpr std::string_view services_prefix = "/services/";
/// Headers that carry credentials. They are removed even if they are not used.
constexpr std::array<std::string_view, 4> credential_headers{"authorization", "cookie", "x-api-key",
                                                             "proxy-authorization"};
constexpr std::array<std::string_view, 5> credential_parameters{"api_key", "apikey", "key", "access_token",
                                                                "token"};
/// Shorter texts are no valid API keys and would match by chance.
constexpr std::size_t min_key_length = 8;

bool equal_without_case(std::string_view left, std::string_view right) {
    return std::ranges::equal(
        left, right, [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

error route_error(errc code, std::string detail) {
    return make_error(code, step::route, "caller", std::move(detail));
}

/// A request without a key may use open services only, and gets the same error for all others, whether they
/// exist or not.
status check_access(request_context& request, const config::service* service,
                    const config::organisation* owner) {
    const bool open = service != nullptr && service->open;
    if (request.key_digest.empty() && !open) {
        return make_error(errc::unauthorized, step::authenticate, "caller", "a key is required");
    }
    if (service == nullptr) {
        return route_error(errc::not_found, "no such adapter, version or service");
    }
    const bool is_foreign = owner != nullptr && owner->name != request.organisation;
    if (is_foreign && !open) {
        return route_error(errc::forbidden, "the adapter belongs to another organisation");
    }
    if (request.organisation.empty() && owner != nullptr) {
        request.organisation = owner->name;
    }
    return success();
}

} // namespace

std::optional<std::string> extract_key(net::http_headers& headers) {
    const std::string_view authorization = net::find_header(headers, "authorization");
    std::optional<std::string> key;
    if (authorization.size() > bearer.size() &&
        equal_without_case(authorization.substr(0, bearer.size()), bearer)) {
        key = authorization.substr(bearer.size());
    } else if (const std::string_view api_key = net::find_header(headers, "x-api-key"); !api_key.empty()) {
        key = api_key;
    }
    std::erase_if(headers, [](const net::http_header& header) {
        return std::ranges::any_of(credential_headers, [&header](std::string_view name) {
            return equal_without_case(header.name, name);
        });
    });
    return key;
}

status check_key_absent(std::string_view key, const net::http_request& http) {
    if (key.size() < min_key_length) {
        return success();
    }
    const auto contains_key = [key](std::string_view text) {
        return text.find(key) != std::string_view::npos;
    };
    const bool is_exposed = contains_key(http.body) || contains_key(http.path) || contains_key(http.query) ||
                            contains_key(net::find_header(http.headers, "content-type"));
    if (is_exposed) {
        return make_error(errc::invalid_argument, step::authenticate, "caller",
                          "the key must come in the Authorization header only");
    }
    return success();
}

std::optional<service_path> parse_service_path(std::string_view path) {
    if (!path.starts_with(services_prefix)) {
        return std::nullopt;
    }
    path.remove_prefix(services_prefix.size());
    const std::size_t end = path.find('/');
    const std::string_view service = path.substr(0, end);
    if (service.empty()) {
        return std::nullopt;
    }
    const std::string_view rest = end == std::string_view::npos ? "/" : path.substr(end);
    return service_path{std::string{service}, std::string{rest}};
}

bool is_completion_path(std::string_view path) noexcept {
    return path == "/v1/completions" || path == "/v1/chat/completions";
}

std::string without_key_parameters(std::string_view query) {
    std::string filtered;
    for (const auto part : std::views::split(query, '&')) {
        const std::string_view parameter{part.begin(), part.end()};
        const std::string_view name = parameter.substr(0, parameter.find('='));
        const bool is_key = std::ranges::any_of(credential_parameters, [name](std::string_view known) {
            return equal_without_case(name, known);
        });
        if (!is_key && !parameter.empty()) {
            filtered += filtered.empty() ? "" : "&";
            filtered += parameter;
        }
    }
    return filtered;
}

status resolve_completion(request_context& request, const config::snapshot& configuration) {
    if (request.http.method != "POST") {
        return route_error(errc::invalid_argument, "completions are requested by POST");
    }
    auto completion = parse_completion(request.http.body);
    if (!completion) {
        return completion.error();
    }
    const auto found = configuration.find_adapter(completion->adapter, completion->version);
    auto access =
        check_access(request, found ? found->service : nullptr, found ? found->organisation : nullptr);
    if (!access) {
        return access;
    }
    request.service = found->service->name;
    request.pool = found->service->base_model;
    request.adapter = {std::string{found->adapter}, std::string{found->version}};
    request.token_bound = completion->token_bound;
    request.target = request.http.path;
    request.completion = std::move(*completion);
    return success();
}

status resolve_service(request_context& request, const config::snapshot& configuration) {
    const auto path = parse_service_path(request.http.path);
    const auto* service = path ? configuration.find_service(path->service) : nullptr;
    if (service != nullptr && service->kind != config::service_kind::plain) {
        service = nullptr;
    }
    if (auto access = check_access(request, service, nullptr); !access) {
        return access;
    }
    const std::string query = without_key_parameters(request.http.query);
    request.service = service->name;
    request.pool = service->name;
    request.idempotent = service->repeatable;
    request.target = query.empty() ? path->path : path->path + "?" + query;
    return success();
}

} // namespace samphiretray::entry
