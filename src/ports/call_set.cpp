#include "samphiretray/ports/call_set.h"

#include <utility>

namespace samphiretray::ports {

void call_set::fetch(net::http_client& client, net::http_call call, std::size_t max_bytes,
                     completion<net::fetched_response> done) {
    const std::uint64_t id = next_id_++;
    auto finish = [this, id, done = std::move(done)](result<net::fetched_response> response) {
        // Keeps the exchange alive until `done` returns; `done` may destroy this set.
        const auto finished = calls_.extract(id);
        done(std::move(response));
    };
    calls_[id] = client.fetch(std::move(call), std::move(finish), max_bytes);
}

} // namespace samphiretray::ports
