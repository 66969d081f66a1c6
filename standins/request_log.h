#pragma once

#include "samphiretray/net/http.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <deque>

namespace samphiretray::standins {

/// The last requests that a stand-in received, for tests that no key reaches an endpoint.
class request_log {
public:
    explicit request_log(std::size_t limit = 20'000) : limit_(limit) {}

    void add(const net::http_request& request) {
        nlohmann::json headers = nlohmann::json::array();
        for (const net::http_header& header : request.headers) {
            headers.push_back({header.name, header.value});
        }
        const std::string target = request.query.empty() ? request.path : request.path + "?" + request.query;
        entries_.push_back({{"method", request.method}, {"target", target}, {"headers", headers}});
        if (entries_.size() > limit_) {
            entries_.pop_front();
        }
    }

    [[nodiscard]] nlohmann::json all() const { return {{"requests", entries_}}; }

private:
    std::size_t limit_;
    std::deque<nlohmann::json> entries_;
};

} // namespace samphiretray::standins
