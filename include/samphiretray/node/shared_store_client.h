#pragma once

#include "samphiretray/net/http_client.h"
#include "samphiretray/net/http_server.h"
#include "samphiretray/net/loop.h"
#include "samphiretray/node/first_success.h"
#include "samphiretray/node/prefix_replica.h"
#include "samphiretray/node/reader_selector.h"
#include "samphiretray/ports/call_set.h"
#include "samphiretray/ports/shared_store.h"

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace samphiretray::node {

/// These settings bound how late an entry learns of a change. If its reader has lost the store: `max_age` and
/// the duration of the entry's own call to the store that follows. If its reader has stalled: the age of the
/// reader's last answer, `max_peer_wait` and `answer_timeout`, and the duration of that call.
struct shared_store_client_settings {
    std::string vm;
    std::vector<std::string> prefixes;
    /// Longest time that a watch of a reader waits at the store, so that its data is never much older.
    duration reader_watch_limit = 1s;
    /// Older data is not used. Data from a watch that returns changes counts from the start of that watch,
    /// and the next watch may take as long again (twice `reader_watch_limit`); the rest is for scheduling
    /// delays.
    duration max_age = 2200ms;
    /// Longest time that a reader holds a peer's request while there are no changes.
    duration max_peer_wait = 600ms;
    /// Time allowed for a reader's answer beyond that wait before the store is asked as well; a peer in the
    /// same data centre answers within 1 ms.
    duration answer_timeout = 300ms;
    /// Time after which an answer is no longer waited for, beyond the wait of the query. What callers send
    /// can hold up answers for half a second on a thin link; a query that is given up sooner teaches nothing
    /// for as long as that lasts.
    duration max_answer_time = 700ms;
};

/// Changes, or all keys, of a replica as sent to a peer: JSON with values in base64.
struct replica_update {
    ports::store_changes changes;
    /// Time since the data was known to be current in the store.
    duration age{0};
};
[[nodiscard]] std::string encode(const replica_update& update);
/// Fails with `protocol_error` if `text` is not a valid update.
[[nodiscard]] result<replica_update> decode_replica_update(std::string_view text, std::string_view peer);

/// Reduces the load on the store: in each data centre, only a few entries (the readers) watch the shared
/// prefixes in the store, and the other entries query the readers over HTTP. A call that gets no fresh data
/// from a reader falls back to the store. A call that fails at the store is repeated there beside queries to
/// other entries: the store may turn away a whole data centre while it serves others.
template <ports::watched_store Store>
class shared_store_client {
public:
    /// HTTP path that peers query, on an entry's address for peers.
    static constexpr std::string_view path = "/replica";
    /// Entries that are queried after one call has failed at the store.
    static constexpr std::size_t max_fallbacks = 8;
    /// Entries that are queried at the same time, so that one that has stopped does not hold up the search.
    static constexpr std::size_t parallel_fallbacks = 3;

    shared_store_client(net::loop& events, net::http_client& http, Store& store,
                        shared_store_client_settings settings);
    shared_store_client(const shared_store_client&) = delete;
    shared_store_client& operator=(const shared_store_client&) = delete;
    ~shared_store_client() = default;

    // Interface of `ports::watched_store`.
    void list(const std::string& prefix, ports::completion<ports::store_listing> done);
    void watch(const std::string& prefix, std::uint64_t after, duration limit,
               ports::completion<ports::store_changes> done);

    /// The other registered entries: those of the data centre and those of others.
    void set_members(std::vector<reader_selector::member> others,
                     std::vector<reader_selector::member> remote = {});
    /// Answers a peer's query.
    void answer(const net::http_request& request, const std::shared_ptr<net::http_response>& response);

private:
    struct pending_watch {
        std::string prefix;
        std::uint64_t after = 0;
        std::uint64_t era = 0;
        std::shared_ptr<net::http_response> response;
        net::timer_handle timer;
    };

    void query_peer(const reader_selector::member& reader, const std::string& prefix, std::uint64_t after,
                    duration limit, ports::completion<replica_update> done);
    void watch_store(const std::string& prefix, std::uint64_t after, duration limit,
                     ports::completion<ports::store_changes> done);
    /// Queries a reader, and asks the store as well if the answer is late or has no fresh data.
    void watch_reader(const reader_selector::member& reader, const std::string& prefix, std::uint64_t after,
                      duration limit, ports::completion<ports::store_changes> done);
    void watch_store_or_others(const std::string& prefix, std::uint64_t after, duration limit,
                               ports::completion<ports::store_changes> done);
    /// Watches the store without a wait and searches the other entries at the same time: the store may serve
    /// this process again while the others do not answer.
    void watch_store_and_others(const std::string& prefix, std::uint64_t after,
                                ports::completion<ports::store_changes> done);
    void list_store_and_others(const std::string& prefix, ports::completion<ports::store_listing> done);
    void list_store(const std::string& prefix, ports::completion<ports::store_listing> done);
    /// Queries up to `attempts` other entries. Fails with `stale_revision` if one has fresh data and lacks
    /// the changes after `after`, with `unavailable` if none has fresh data.
    void search_others(const std::string& prefix, std::uint64_t after, std::size_t attempts,
                       ports::completion<replica_update> done);
    void watch_peer(const reader_selector::member& peer, const std::string& prefix, std::uint64_t after,
                    duration limit, ports::completion<ports::store_changes> done);
    [[nodiscard]] static ports::store_listing to_listing(ports::store_changes changes);
    [[nodiscard]] prefix_replica* find_replica(const std::string& prefix);
    /// Peers that wait for changes have to look elsewhere.
    void on_store_refused(const std::string& prefix);
    static void send_refusal(net::http_response& response);
    void on_reader_failed(const std::string& vm, const std::string& prefix, const error& failure);
    void answer_pending_watches(const std::string& prefix);
    /// `era` is the era of the revision `after`.
    void send_update(const prefix_replica& from, std::uint64_t after, std::uint64_t era,
                     net::http_response& response) const;

    net::loop& loop_;
    net::http_client& http_;
    Store& store_;
    shared_store_client_settings settings_;
    reader_selector reader_selector_;
    std::map<std::string, prefix_replica> replicas_;
    std::list<pending_watch> pending_watches_;
    /// Prefixes whose last call to the store failed.
    std::set<std::string> refused_prefixes_;
    /// Last query of a peer. Others than readers are queried only if the store refuses calls.
    std::optional<time_point> queried_at_;
    ports::call_set calls_;
    /// For each query of a reader without an answer yet.
    std::map<std::uint64_t, net::timer_handle> hedge_timers_;
    std::uint64_t next_hedge_id_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace samphiretray::node
