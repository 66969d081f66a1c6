#pragma once

#include "samphiretray/net/loop.h"
#include "samphiretray/ports/shared_store.h"
#include "samphiretray/routing/crash_quarantine.h"
#include "samphiretray/routing/request_quarantine.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace samphiretray::gateway {

/// Keeps the evidence for the quarantined prompt parts and requests in the store, so that a quarantine
/// outlives a restart of all entries and agents at one moment. Each writer has a key of its own; a starting
/// entry reads them all, and so does one that is cut off from others.
///
/// While servers close connections in large numbers, every entry has evidence about thousands of requests.
/// Records are therefore bounded, and taken up one in each iteration of the loop, so that callers, peers and
/// answers of the store do not wait for all of them.
template <typename Store>
    requires ports::watched_store<Store> && ports::leased_store<Store>
class quarantine_record {
public:
    quarantine_record(net::loop& events, Store& store, const std::string& vm,
                      routing::crash_quarantine& quarantine, routing::request_quarantine& requests)
        : loop_(events), store_(store), key_(std::string{prefix} + vm), quarantine_(quarantine),
          requests_(requests) {}
    quarantine_record(const quarantine_record&) = delete;
    quarantine_record& operator=(const quarantine_record&) = delete;
    ~quarantine_record() = default;

    /// Reads what any entry has written; tries again until the store answers. Does nothing while an earlier
    /// read has not ended, and for a time after it that grows with what it took.
    void read();
    /// Writes the evidence for what is quarantined now, and tries again until the store takes it. While a
    /// write has not ended, another one follows it.
    void write();

private:
    static constexpr std::string_view prefix = "quarantine/";
    /// The store removes a record that is not written again. Readers go by the ages in it.
    static constexpr duration lease_duration = 10min;
    static constexpr duration retry_delay = 500ms;
    static constexpr duration write_retry_delay = 1s;
    /// Reads take up at most a tenth of the time, of this process or of its link, however many records there
    /// are.
    static constexpr int rest_factor = 9;
    static constexpr duration max_rest = 30s;

    void list();
    void on_listing(const ports::store_listing& listing);
    void take_up_next();
    void take_up(const ports::stored_item& item);
    void on_read_ended();
    void on_written(const result<std::uint64_t>& outcome);

    net::loop& loop_;
    Store& store_;
    std::string key_;
    routing::crash_quarantine& quarantine_;
    routing::request_quarantine& requests_;
    bool is_reading_ = false;
    time_point read_began_at_;
    /// No read begins before.
    time_point rests_until_;
    /// Records that have been read and not been taken up yet.
    std::deque<ports::stored_item> pending_records_;
    /// Revision of each record, in `era_`, that is known here.
    std::map<std::string, std::uint64_t> known_revisions_;
    std::uint64_t era_ = 0;
    bool is_writing_ = false;
    /// Something may have changed since the write in progress has begun.
    bool is_outdated_ = false;
    net::timer_handle timer_;
    net::timer_handle write_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace samphiretray::gateway
