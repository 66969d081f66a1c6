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

enum class store_fault {
    none,
    refusing,
    silent,
    /// Writes are done and not answered.
    losing,
};

/// The platform's metadata store, as far as the processes use it: listings, watches, leases and writes.
class platform_store {
public:
    platform_store(net::loop& events, const net::address& listen);

    void set(store_fault fault) noexcept { fault_ = fault; }
    /// Drops the history; watches from before get 410.
    void compact();
    /// Writes of the operator and of servers.
    void write(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    [[nodiscard]] bool contains(const std::string& key) const { return items_.contains(key); }

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };
    struct change {
        std::string key;
        std::uint64_t revision = 0;
        bool removed = false;
        std::string value;
    };
    struct waiting_watch {
        std::string prefix;
        std::uint64_t after = 0;
        std::shared_ptr<net::http_response> response;
        time_point until;
    };

    void answer(const net::http_request& request, const std::shared_ptr<net::http_response>& response);
    void list(const net::http_request& request, net::http_response& response);
    void watch(const net::http_request& request, const std::shared_ptr<net::http_response>& response);
    void transact(const net::http_request& request, net::http_response& response);
    [[nodiscard]] std::string changes_after(const std::string& prefix, std::uint64_t after,
                                            bool& found) const;
    void on_change();
    void tick();

    net::loop& loop_;
    std::unique_ptr<net::http_server> server_;
    std::map<std::string, item> items_;
    std::map<std::uint64_t, std::pair<duration, time_point>> leases_;
    std::deque<change> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t dropped_until_ = 0;
    std::uint64_t next_lease_ = 1;
    store_fault fault_ = store_fault::none;
    std::vector<waiting_watch> watches_;
    std::vector<std::shared_ptr<net::http_response>> silent_;
    net::timer_handle timer_;
};

} // namespace samphiretray::soak
