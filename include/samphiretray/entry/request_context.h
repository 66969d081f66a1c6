#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/entry/completion_request.h"
#include "samphiretray/entry/error_response.h"
#include "samphiretray/net/http_server.h"
#include "samphiretray/net/loop.h"
#include "samphiretray/ports/engine.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::entry {

/// How a request ended, as passed to the handlers registered with `request_context::on_end`.
struct request_summary {
    /// HTTP status sent to the caller; 0 if the caller disconnected first.
    int status = 0;
    /// True if the caller got a complete answer from an endpoint.
    bool answered = false;
    /// Whether an endpoint may have run the request. Not meaningful if `answered`.
    outcome result = outcome::not_run;
    /// Tokens used, if an endpoint reported them.
    std::optional<std::uint32_t> tokens;
    /// Body of a complete answer that was not streamed.
    std::string_view content_type;
    std::string_view body;
    std::string_view code = "ok";
};

/// One request of a caller, from arrival until its end.
class request_context : public std::enable_shared_from_this<request_context> {
public:
    request_context(std::uint64_t number, net::http_request received,
                    std::shared_ptr<net::http_response> response, time_point now);

    std::uint64_t id;
    /// Random id, unique across all entries; sent as X-Request-Id.
    std::string request_id;
    net::http_request http;
    std::shared_ptr<net::http_response> response;
    time_point arrived;
    time_point deadline;
    std::optional<time_point> first_byte;

    /// SHA-256 of the API key, which is erased itself; empty if the request has no key.
    std::string key_digest;
    std::string organisation;
    bool priority = false;
    std::string service;
    /// Name of the pool of endpoints that can serve the request: a base model or a plain service.
    std::string pool;
    bool idempotent = true;
    std::optional<completion_request> completion;
    ports::adapter_version adapter;
    std::uint32_t token_bound = 0;
    /// Path and, for a plain service, query to request from the endpoint.
    std::string target;

    /// True once the request may have reached an endpoint, until an agent confirms that it has not.
    bool may_have_run = false;
    bool event_stream = false;

    [[nodiscard]] bool ended() const noexcept { return ended_; }

    /// Registers a handler for the end of the request. The handlers run in reverse order of registration.
    void on_end(std::function<void(const request_summary&)> action);

    /// Ends the request with an error. A response that has been started is aborted, so that the caller cannot
    /// take it for a complete one.
    void refuse(const caller_error& value);
    /// Ends the request with an error and the outcome that follows from `may_have_run`.
    void fail(error cause, std::optional<duration> retry_after = std::nullopt);
    /// Ends the request after a complete answer.
    void complete(request_summary summary);
    /// Ends the request because the caller has disconnected.
    void abandon();

private:
    void end(const request_summary& summary);

    bool ended_ = false;
    std::vector<std::function<void(const request_summary&)>> end_handlers_;
};

using request_pointer = std::shared_ptr<request_context>;

} // namespace samphiretray::entry
