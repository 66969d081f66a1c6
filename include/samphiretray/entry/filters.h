#pragma once

#include "samphiretray/config/snapshot.h"
#include "samphiretray/control/contact_tracker.h"
#include "samphiretray/entry/claims_controller.h"
#include "samphiretray/entry/dispatcher.h"
#include "samphiretray/entry/filter_chain.h"
#include "samphiretray/entry/rate_controller.h"
#include "samphiretray/entry/request_context.h"

#include <concepts>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

/// The filters of a request, in the order in which they run. Each depends only on the interfaces it needs.
namespace samphiretray::entry {

/// Provides the configuration in force and the contact state, which tells how fresh it is.
template <typename Source>
concept configuration_source = requires(const Source& source) {
    { source.configuration() } -> std::convertible_to<std::shared_ptr<const config::snapshot>>;
    { source.state() } -> std::same_as<control::contact_state>;
};

/// Removes the caller's API key from the request and finds its organisation by the digest of the key.
template <configuration_source Source>
class authenticate_filter {
public:
    explicit authenticate_filter(const Source& source) : source_(&source) {}
    void handle(const request_pointer& request, const next_filter& next) const;

private:
    const Source* source_;
};

/// Resolves the service, adapter and version, and checks that the organisation may use them.
template <configuration_source Source>
class route_filter {
public:
    explicit route_filter(const Source& source) : source_(&source) {}
    void handle(const request_pointer& request, const next_filter& next) const;

private:
    const Source* source_;
};

/// Reserves the request's token bound against the organisation's token rate.
template <typename Reserver>
class admit_filter {
public:
    explicit admit_filter(Reserver& rates, net::loop& events) : rates_(&rates), loop_(&events) {}
    void handle(const request_pointer& request, const next_filter& next) const;

private:
    Reserver* rates_;
    net::loop* loop_;
};

/// Claims the idempotency key of a call that must not be repeated.
template <typename Claims>
class claim_filter {
public:
    explicit claim_filter(Claims& claims, net::loop& events) : claims_(&claims), loop_(&events) {}
    void handle(const request_pointer& request, const next_filter& next) const;

private:
    void on_answer(const request_pointer& request, const std::string& key, const orders::claim_answer& answer,
                   const next_filter& next) const;

    Claims* claims_;
    net::loop* loop_;
};

/// The last filter: hands the request to the dispatcher.
class dispatch_filter {
public:
    explicit dispatch_filter(dispatcher& target) : target_(&target) {}
    void handle(const request_pointer& request, const next_filter& /*next*/) const {
        target_->dispatch(request);
    }

private:
    dispatcher* target_;
};

/// Removes all credential headers and returns the API key: the text after "Bearer ", else the X-Api-Key
/// header, else nothing.
[[nodiscard]] std::optional<std::string> extract_key(net::http_headers& headers);

/// Fails with `errc::invalid_argument` if `key` appears in a part of the request that is sent to an endpoint.
[[nodiscard]] status check_key_absent(std::string_view key, const net::http_request& http);

/// Service and remaining path of "/services/<service>/<path>".
struct service_path {
    std::string service;
    std::string path;
};
/// Empty for paths of another form.
[[nodiscard]] std::optional<service_path> parse_service_path(std::string_view path);

/// Whether `path` is one of the completion endpoints of the API.
[[nodiscard]] bool is_completion_path(std::string_view path) noexcept;

/// The query without parameters that usually carry credentials, such as "api_key".
[[nodiscard]] std::string without_key_parameters(std::string_view query);

/// Resolves a completion request. Errors: `invalid_argument`, `not_found`, `forbidden`, `unauthorized`.
[[nodiscard]] status resolve_completion(request_context& request, const config::snapshot& configuration);
/// Resolves a call to a plain service. Errors as above.
[[nodiscard]] status resolve_service(request_context& request, const config::snapshot& configuration);

} // namespace samphiretray::entry

#include "samphiretray/entry/filters-inl.h"
