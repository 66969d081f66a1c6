#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/net/address.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphiretray::node {

/// Selects the entries of a data centre that read from the store (the readers), and the reader that each
/// other entry queries.
///
/// The readers are the first registered entries in order of the hash of their names, which each process
/// computes on its own. No agreement is needed: processes with different member lists may select different
/// readers or query an entry that is none. A process whose reader has no fresh data reads from the store
/// itself.
class reader_selector {
public:
    /// Readers of one data centre; two, so that one remains if the other ends or stalls.
    static constexpr std::size_t reader_count = 2;
    /// Time without queries to a reader that did not answer or had no fresh data.
    static constexpr duration failure_backoff = 2s;

    struct member {
        std::string vm;
        net::address address;
    };

    /// `vm` is this process.
    explicit reader_selector(std::string vm) : vm_(std::move(vm)) {}

    /// The other registered entries: those of the data centre and those of others.
    void set_members(std::vector<member> others, std::vector<member> remote = {});
    /// The reader to query; empty if this process reads from the store itself, because it is a reader or
    /// every reader has failed recently.
    [[nodiscard]] std::optional<member> assigned_reader(time_point now) const;
    /// The entries to query at the same time while the store fails calls of this process: the last one that
    /// had fresh data, or else up to `count` of those that have not failed recently, readers first. Any entry
    /// is queried, since the store may serve that one only.
    [[nodiscard]] std::vector<member> fallbacks(time_point now, std::size_t count) const;
    /// Whether `vm` had fresh data when it was last queried as a fallback.
    [[nodiscard]] bool is_fresh(const std::string& vm) const { return vm == fresh_vm_; }
    /// Whether this process is one of the readers.
    [[nodiscard]] bool is_reader() const;
    /// Whether this process is one of the readers and there are entries that query it.
    [[nodiscard]] bool serves_peers() const;
    /// Records that `vm` did not answer or had no fresh data. One that had fresh data before is queried again
    /// after the others, without a backoff: a single answer may be late.
    void mark_failed(const std::string& vm, time_point now);
    /// Records that `vm` had fresh data: it is queried before all others.
    void mark_fresh(const std::string& vm) { fresh_vm_ = vm; }

private:
    /// Failures are remembered for so long after the backoff, so that all others are queried before one is
    /// queried again.
    static constexpr duration failure_memory = 30s;

    /// The end of the last backoff of `vm`, if it is remembered.
    [[nodiscard]] time_point last_backoff(const std::string& vm) const;
    [[nodiscard]] std::optional<member> usable_reader(time_point now) const;
    [[nodiscard]] bool is_usable(const std::string& vm, time_point now) const {
        return last_backoff(vm) <= now;
    }

    std::string vm_;
    /// The readers other than this process, in the order in which this process queries them.
    std::vector<member> other_readers_;
    /// All other entries, those of the data centre first.
    std::vector<member> non_readers_;
    std::string fresh_vm_;
    bool is_reader_ = true;
    std::size_t member_count_ = 1;
    std::map<std::string, time_point> backoff_until_;
};

} // namespace samphiretray::node
