#pragma once

#include "samphiretray/net/http.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <deque>
#include <string>

namespace samphiretray::standins {

/// The most recent requests that a stand-in received. Tests use it to check that no API key reaches an
/// endpoint.
class request_log {
public:
    /// Limits the memory of the log to a few megabytes.
    static constexpr std::size_t default_limit = 5'000;

    explicit request_log(std::size_t limit = default_limit) : limit_(limit) {}

    void add(const net::http_request& request) {
        const std::string target = request.query.empty() ? request.path : request.path + "?" + request.query;
        entries_.push_back({request.method, target, request.headers});
        if (entries_.size() > limit_) {
            entries_.pop_front();
        }
    }

    [[nodiscard]] nlohmann::json all() const {
        nlohmann::json requests = nlohmann::json::array();
        for (const entry& item : entries_) {
            nlohmann::json headers = nlohmann::json::array();
            for (const net::http_header& header : item.headers) {
                headers.push_back({header.name, header.value});
            }
            requests.push_back({{"method", item.method}, {"target", item.target}, {"headers", headers}});
        }
        return {{"requests", requests}};
    }

private:
    struct entry {
        std::string method;
        std::string target;
        net::http_headers headers;
    };

    std::size_t limit_;
    std::deque<entry> entries_;
};

} // namespace samphiretray::standins
