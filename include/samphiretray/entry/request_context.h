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

/// How a request ended, for those who hold something on its behalf.
struct request_end {
    /// Status that the caller saw; 0 if the caller left first.
    int status = 0;
    /// True if the caller got a whole answer of an endpoint.
    bool answered = false;
    /// Whether an endpoint may have run it. Meaningless if `answered`.
    outcome result = outcome::not_run;
    /// Tokens used, if an endpoint reported them.
    std::optional<std::uint32_t> tokens;
    /// Body of a whole answer that was not streamed.
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
    /// Unique over all entries.
    std::string id_text;
    net::http_request http;
    std::shared_ptr<net::http_response> response;
    time_point arrived;
    time_point deadline;
    std::optional<time_point> first_byte;

    /// Empty on routes open to all. The key itself is erased after it was digested.
    std::string key_digest;
    std::string organisation;
    bool priority = false;
    std::string service;
    /// Endpoints that can serve it: a base model or a plain service.
    std::string pool;
    bool idempotent = true;
    std::optional<completion_request> completion;
    ports::adapter_version adapter;
    std::uint32_t token_bound = 0;
    /// Path and query at a plain service.
    std::string target;

    /// True from the moment at which a byte may have gone to an endpoint, until an agent certifies otherwise.
    bool may_have_run = false;
    bool event_stream = false;

    [[nodiscard]] bool ended() const noexcept { return ended_; }

    /// Registers an action for the end. The actions run in reverse order.
    void on_end(std::function<void(const request_end&)> action);

    /// Ends the request with an error. A response that has been started is cut so that it does not look
    /// whole.
    void refuse(const refusal& value);
    /// Refuses with the outcome that `may_have_run` implies.
    void fail(error cause, std::optional<duration> retry_after = std::nullopt);
    /// Ends the request after a whole answer.
    void complete(request_end end);
    /// The caller has gone.
    void abandon();

private:
    void end(const request_end& how);

    bool ended_ = false;
    std::vector<std::function<void(const request_end&)>> end_actions_;
};

using request_pointer = std::shared_ptr<request_context>;

} // namespace samphiretray::entry
