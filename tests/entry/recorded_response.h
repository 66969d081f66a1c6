#pragma once

#include "samphiretray/net/http_server.h"

#include <functional>
#include <string>
#include <utility>

namespace samphiretray::tests {

/// Response that records what would be sent to the caller.
class recorded_response final : public net::http_response {
public:
    void start(int value, const net::http_headers& sent) override {
        started = true;
        status = value;
        headers = sent;
    }
    void write(std::string_view bytes) override { body += bytes; }
    void finish() override { finished = true; }
    void abort() override { aborted = true; }
    [[nodiscard]] bool is_open() const noexcept override { return !finished && !aborted; }
    [[nodiscard]] bool is_started() const noexcept override { return started; }
    [[nodiscard]] std::size_t buffered_bytes() const noexcept override { return 0; }
    void on_closed(std::function<void()> action) override { closed = std::move(action); }
    void on_drained(std::function<void()> action) override { drained = std::move(action); }

    bool started = false;
    bool finished = false;
    bool aborted = false;
    int status = 0;
    net::http_headers headers;
    std::string body;
    std::function<void()> closed;
    std::function<void()> drained;
};

} // namespace samphiretray::tests
