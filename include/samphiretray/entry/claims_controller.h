#pragma once

#include "samphiretray/net/loop.h"
#include "samphiretray/orders/claim_batcher.h"
#include "samphiretray/ports/key_value.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace samphiretray::entry {

/// Claims idempotency keys for one entry in the key-value service, batched by shard.
template <ports::key_value_service KeyValue>
class claims_controller {
public:
    claims_controller(net::loop& events, KeyValue& service, std::uint32_t shards);
    ~claims_controller();
    claims_controller(const claims_controller&) = delete;
    claims_controller& operator=(const claims_controller&) = delete;

    using claim_callback = std::function<void(const orders::claim_answer&)>;
    void claim(const orders::claim_request& request, claim_callback done);
    void record_done(const std::string& key, const std::string& request, orders::outcome answer);
    void record_not_run(const std::string& key, const std::string& request);

    void on_tick();
    /// Writes outcomes without the batching delay from now on, for a graceful shutdown.
    void flush();
    /// True if nothing is pending, so that the entry can stop without losing an outcome.
    [[nodiscard]] bool idle() const;

private:
    using batcher_pointer = std::shared_ptr<orders::claim_batcher>;

    [[nodiscard]] batcher_pointer batcher_for(const std::string& key);
    void process_shard(const batcher_pointer& shard);

    net::loop& loop_;
    KeyValue& service_;
    std::uint32_t shard_count_;
    std::map<std::uint32_t, batcher_pointer> batchers_;
    std::unordered_map<std::string, claim_callback> pending_callbacks_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace samphiretray::entry

#include "samphiretray/entry/claims_controller-inl.h"
