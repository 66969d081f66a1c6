#pragma once

#include "samphiretray/net/http_server.h"
#include "samphiretray/net/loop.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace samphiretray::soak {

/// Leases do not expire while the store refuses requests or is silent.
enum class store_fault {
    none,
    /// Every request is answered with 503.
    refusing,
    /// Requests get no answer.
    silent,
    /// Writes are applied, but the connection is closed instead of answering them.
    lost_replies,
};

/// Stand-in for the platform's metadata store: the prefix reads, watches, leases and transactions that the
/// processes under test use.
class platform_store {
public:
    platform_store(net::loop& events, const net::address& listen);

    void set_fault(store_fault fault) noexcept { fault_ = fault; }
    /// Replaces `what` in the values of the keys below `prefix` that processes write, as address translation
    /// in front of them would.
    void translate(const std::string& prefix, const std::string& what, const std::string& by) {
        translations_.push_back({prefix, what, by});
    }
    /// Drops the change history; a watch from an earlier revision is answered with 410.
    void compact();
    /// Keeps a copy of all keys, leases and revisions.
    void take_copy() { copy_ = content_; }
    /// Comes back from the copy: what was written since is gone, and revisions are given out again.
    void restore();
    [[nodiscard]] std::vector<std::string> keys(const std::string& prefix) const;
    /// Writes a key on behalf of the operator or a server, without a request.
    void write(const std::string& key, const std::string& value);
    /// Removes a key and records the removal as a change.
    void remove(const std::string& key);
    [[nodiscard]] bool contains(const std::string& key) const { return content_.items.contains(key); }

private:
    struct item {
        /// In base64, as on the wire.
        std::string value;
        std::uint64_t revision = 0;
        /// 0 if the key is under no lease.
        std::uint64_t lease = 0;
    };
    struct change {
        std::string key;
        std::uint64_t revision = 0;
        bool removed = false;
        std::string value;
    };
    struct translation {
        std::string prefix;
        std::string what;
        std::string by;
    };
    struct pending_watch {
        std::string prefix;
        std::uint64_t after_revision = 0;
        std::shared_ptr<net::http_response> response;
        time_point deadline;
    };

    /// What a copy of the store holds.
    struct content {
        std::map<std::string, item> items;
        /// Time to live and expiry time by lease number.
        std::map<std::uint64_t, std::pair<duration, time_point>> leases;
        std::deque<change> history;
        std::uint64_t revision = 1;
        /// Changes up to this revision are no longer in the history.
        std::uint64_t compacted_revision = 0;
        std::uint64_t next_lease_id = 1;
    };

    void reply(net::http_response& response, int status, const std::string& body) const;
    void handle_request(const net::http_request& request,
                        const std::shared_ptr<net::http_response>& response);
    void list(const net::http_request& request, net::http_response& response);
    void watch(const net::http_request& request, const std::shared_ptr<net::http_response>& response);
    void transact(const net::http_request& request, net::http_response& response);
    /// The value, in base64, with all translations of its key.
    [[nodiscard]] std::string translated(const std::string& key, const std::string& value) const;
    /// The answer to a watch as JSON; sets `has_changes` if it holds a change.
    [[nodiscard]] std::string changes_after(const std::string& prefix, std::uint64_t after_revision,
                                            bool& has_changes) const;
    /// Answers each watch that has changes, has reached its time limit or starts before the last compacted
    /// revision.
    void answer_watches();
    void tick();

    net::loop& loop_;
    std::unique_ptr<net::http_server> server_;
    content content_;
    content copy_;
    std::uint64_t era_ = 1;
    store_fault fault_ = store_fault::none;
    std::vector<translation> translations_;
    std::vector<pending_watch> watches_;
    /// Requests received while the store was silent.
    std::vector<std::shared_ptr<net::http_response>> unanswered_;
    net::timer_handle timer_;
};

} // namespace samphiretray::soak
