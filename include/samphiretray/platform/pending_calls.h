#pragma once

#include "samphiretray/net/http_client.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace samphiretray::platform {

/// Keeps the handles of calls whose caller only waits for the completion.
class pending_calls {
public:
    explicit pending_calls(net::http_client& client) : client_(&client) {}

    /// Like `http_client::fetch`. `done` is not called after this object has gone.
    void fetch(net::http_call call, std::function<void(result<net::http_answer>)> done) {
        const std::size_t id = next_++;
        calls_[id] = client_->fetch(std::move(call),
                                    [this, id, done = std::move(done)](result<net::http_answer> answer) {
                                        // The handle owns this function object, so it lives until the end.
                                        const auto kept = calls_.extract(id);
                                        done(std::move(answer));
                                    });
    }

private:
    net::http_client* client_;
    std::map<std::size_t, std::unique_ptr<net::http_exchange>> calls_;
    std::size_t next_ = 0;
};

} // namespace samphiretray::platform
