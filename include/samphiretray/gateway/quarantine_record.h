#pragma once

#include "samphiretray/net/loop.h"
#include "samphiretray/ports/shared_store.h"
#include "samphiretray/routing/crash_quarantine.h"

#include <memory>
#include <string>
#include <string_view>

namespace samphiretray::gateway {

/// Keeps the evidence for the quarantined prompt parts in the store, so that a quarantine outlives a restart
/// of all entries and agents at one moment. Each writer has a key of its own; a starting entry reads them
/// all.
template <typename Store>
    requires ports::watched_store<Store> && ports::leased_store<Store>
class quarantine_record {
public:
    quarantine_record(net::loop& events, Store& store, const std::string& vm,
                      routing::crash_quarantine& quarantine)
        : loop_(events), store_(store), key_(std::string{prefix} + vm), quarantine_(quarantine) {}
    quarantine_record(const quarantine_record&) = delete;
    quarantine_record& operator=(const quarantine_record&) = delete;
    ~quarantine_record() = default;

    /// Reads what any entry has written; tries again until the store answers.
    void read();
    /// Writes the evidence for what is quarantined now. Does nothing while the write before has not ended.
    void write();

private:
    static constexpr std::string_view prefix = "quarantine/";
    /// The store removes a record that is not written again. Readers go by the ages in it.
    static constexpr duration lease_duration = 10min;
    static constexpr duration retry_delay = 500ms;

    void on_listing(const ports::store_listing& listing);
    void on_written(const result<std::uint64_t>& outcome);

    net::loop& loop_;
    Store& store_;
    std::string key_;
    routing::crash_quarantine& quarantine_;
    bool is_writing_ = false;
    net::timer_handle timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace samphiretray::gateway
