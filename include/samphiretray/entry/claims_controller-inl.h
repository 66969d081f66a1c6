#pragma once

#include "samphiretray/entry/claims_controller.h"

#include <algorithm>
#include <chrono>
#include <ranges>
#include <utility>

namespace samphiretray::entry {

/// Claims are stamped with the wall-clock time, because they outlive processes and VMs.
[[nodiscard]] inline std::int64_t wall_clock_seconds() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(since_epoch).count();
}

template <ports::key_value_service KeyValue>
claims_controller<KeyValue>::claims_controller(net::loop& events, KeyValue& service, std::uint32_t shards)
    : loop_(events), service_(service), shard_count_(shards) {}

template <ports::key_value_service KeyValue>
claims_controller<KeyValue>::~claims_controller() {
    *alive_ = false;
}

template <ports::key_value_service KeyValue>
auto claims_controller<KeyValue>::batcher_for(const std::string& key) -> batcher_pointer {
    const std::uint32_t shard = orders::claim_shard(key, shard_count_);
    auto& found = batchers_[shard];
    if (!found) {
        found = std::make_shared<orders::claim_batcher>(shard);
    }
    return found;
}

template <ports::key_value_service KeyValue>
void claims_controller<KeyValue>::claim(const orders::claim_request& request, claim_callback done) {
    pending_callbacks_[request.request_id] = std::move(done);
    const auto shard = batcher_for(request.key);
    shard->request_claim(request, loop_.now());
    process_shard(shard);
}

template <ports::key_value_service KeyValue>
void claims_controller<KeyValue>::record_done(const std::string& key, const std::string& request,
                                              orders::outcome answer) {
    const auto shard = batcher_for(key);
    shard->record_done(key, request, std::move(answer), loop_.now());
    process_shard(shard);
}

template <ports::key_value_service KeyValue>
void claims_controller<KeyValue>::record_not_run(const std::string& key, const std::string& request) {
    const auto shard = batcher_for(key);
    shard->record_not_run(key, request, loop_.now());
    process_shard(shard);
}

template <ports::key_value_service KeyValue>
void claims_controller<KeyValue>::on_tick() {
    std::ranges::for_each(batchers_ | std::views::values,
                          [this](const batcher_pointer& shard) { process_shard(shard); });
}

template <ports::key_value_service KeyValue>
void claims_controller<KeyValue>::flush() {
    for (const batcher_pointer& shard : batchers_ | std::views::values) {
        shard->flush();
        process_shard(shard);
    }
}

template <ports::key_value_service KeyValue>
bool claims_controller<KeyValue>::idle() const {
    return std::ranges::all_of(batchers_ | std::views::values,
                               [](const batcher_pointer& shard) { return shard->idle(); });
}

template <ports::key_value_service KeyValue>
void claims_controller<KeyValue>::process_shard(const batcher_pointer& shard) {
    for (const orders::claim_answer& answer : shard->take_answers(loop_.now())) {
        if (auto callback = pending_callbacks_.extract(answer.request_id)) {
            callback.mapped()(answer);
        }
    }
    auto call = shard->next_call(loop_.now(), wall_clock_seconds());
    if (!call) {
        return;
    }
    if (auto* read = std::get_if<orders::read_claims>(&*call)) {
        service_.read(std::move(read->key), [this, shard, number = read->call,
                                             alive = alive_](const result<ports::versioned_value>& found) {
            if (*alive) {
                shard->on_read(number, found, loop_.now());
                process_shard(shard);
            }
        });
        return;
    }
    auto& write = std::get<orders::write_claims>(*call);
    service_.compare_and_swap(std::move(write.swap), [this, shard, number = write.call,
                                                      alive = alive_](const result<std::uint64_t>& written) {
        if (*alive) {
            shard->on_written(number, written, loop_.now());
            process_shard(shard);
        }
    });
}

} // namespace samphiretray::entry
