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
    /// Drops the change history; a watch from an earlier revision is answered with 410.
    void compact();
    /// Writes a key on behalf of the operator or a server, without a request.
    void write(const std::string& key, const std::string& value);
    /// Removes a key and records the removal as a change.
    void remove(const std::string& key);
    [[nodiscard]] bool contains(const std::string& key) const { return items_.contains(key); }

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
    struct pending_watch {
        std::string prefix;
        std::uint64_t after_revision = 0;
        std::shared_ptr<net::http_response> response;
        time_point deadline;
    };

    void handle_request(const net::http_request& request,
                        const std::shared_ptr<net::http_response>& response);
    void list(const net::http_request& request, net::http_response& response);
    void watch(const net::http_request& request, const std::shared_ptr<net::http_response>& response);
    void transact(const net::http_request& request, net::http_response& response);
    /// The answer to a watch as JSON; sets `has_changes` if it holds a change.
    [[nodiscard]] std::string changes_after(const std::string& prefix, std::uint64_t after_revision,
                                            bool& has_changes) const;
    /// Answers each watch that has changes, has reached its time limit or starts before the last compacted
    /// revision.
    void answer_watches();
    void tick();

    net::loop& loop_;
    std::unique_ptr<net::http_server> server_;
    std::map<std::string, item> items_;
    /// Time to live and expiry time by lease number.
    std::map<std::uint64_t, std::pair<duration, time_point>> leases_;
    std::deque<change> history_;
    std::uint64_t revision_ = 1;
    /// Changes up to this revision are no longer in the history.
    std::uint64_t compacted_revision_ = 0;
    std::uint64_t next_lease_id_ = 1;
    store_fault fault_ = store_fault::none;
    std::vector<pending_watch> watches_;
    /// Requests received while the store was silent.
    std::vector<std::shared_ptr<net::http_response>> unanswered_;
    net::timer_handle timer_;
};

} // namespace samphiretray::soak
