#pragma once

#include "samphiretray/net/http_client.h"
#include "samphiretray/net/http_server.h"
#include "samphiretray/net/loop.h"
#include "samphiretray/node/prefix_replica.h"
#include "samphiretray/node/reader_choice.h"
#include "samphiretray/ports/call_set.h"
#include "samphiretray/ports/shared_store.h"

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace samphiretray::node {

/// How long a change may stay unseen behind a reader that is cut off from the store: `max_age`, and the call
/// to the store that follows. Behind a reader that has stalled: what its last answer was old, `wait` and
/// `answer_limit`.
struct shared_reading_settings {
    std::string vm;
    std::vector<std::string> prefixes;
    /// Watches of a reader end after this time, so that what it knows is never much older.
    duration reader_watch = 1s;
    /// A reading that is older is not used. An answer with changes may have been on its way since the watch
    /// began, and the next one takes as long; the rest is for a busy machine.
    duration max_age = 2200ms;
    /// Time that a reader lets a peer wait for changes.
    duration wait = 600ms;
    /// Time for the answer itself; a peer in the same data centre answers within a millisecond.
    duration answer_limit = 300ms;
};

/// A page of a replica on its way to a peer. JSON with base64 values.
struct replica_page {
    ports::store_changes changes;
    duration age{0};
};
[[nodiscard]] std::string encode(const replica_page& page);
/// Fails with `protocol_error` if `text` is no page.
[[nodiscard]] result<replica_page> decode_replica_page(std::string_view text, std::string_view peer);

/// A store as an entry sees it: a few entries of each data centre watch the shared prefixes in the store, the
/// others ask them, over HTTP. Whoever gets nothing fresh from a reader asks the store in the same call, and
/// whoever the store turns away asks a reader.
template <ports::watched_store Store>
class shared_reading {
public:
    /// Where peers ask, below the address of an entry for its peers.
    static constexpr std::string_view path = "/replica";

    shared_reading(net::loop& events, net::http_client& http, Store& store, shared_reading_settings settings);
    shared_reading(const shared_reading&) = delete;
    shared_reading& operator=(const shared_reading&) = delete;
    ~shared_reading() = default;

    // As a store.
    void list(const std::string& prefix, ports::completion<ports::store_listing> done);
    void watch(const std::string& prefix, std::uint64_t after, duration limit,
               ports::completion<ports::store_changes> done);

    /// The other registered entries of the data centre.
    void set_members(std::vector<reader_choice::member> others);
    /// A peer's question.
    void answer(const net::http_request& request, const std::shared_ptr<net::http_response>& response);

private:
    struct waiting_peer {
        std::string prefix;
        std::uint64_t after = 0;
        std::shared_ptr<net::http_response> response;
        net::timer_handle limit;
    };

    void ask(const reader_choice::member& reader, const std::string& prefix, std::uint64_t after,
             duration limit, ports::completion<replica_page> done);
    void watch_store(const std::string& prefix, std::uint64_t after, duration limit,
                     ports::completion<ports::store_changes> done);
    void watch_peer(const reader_choice::member& peer, const std::string& prefix, std::uint64_t after,
                    duration limit, ports::completion<ports::store_changes> done);
    [[nodiscard]] static ports::store_listing listing_of(ports::store_changes changes);
    [[nodiscard]] prefix_replica* replica_of(const std::string& prefix);
    void reader_failed(const std::string& vm, const std::string& prefix, const error& failure);
    void answer_waiting(const std::string& prefix);
    void send_page(const prefix_replica& from, std::uint64_t after, net::http_response& response) const;

    net::loop& loop_;
    net::http_client& http_;
    Store& store_;
    shared_reading_settings settings_;
    reader_choice choice_;
    std::map<std::string, prefix_replica> replicas_;
    std::list<waiting_peer> waiting_;
    ports::call_set calls_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace samphiretray::node
