#pragma once

#include "samphiretray/net/http_client.h"
#include "samphiretray/net/loop.h"

#include "soak/invariant_checker.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace samphiretray::soak {

/// Events of a resumable stream, each of which names the software version of the server that writes it.
inline constexpr std::size_t resumable_event_count = 12;
inline constexpr std::string_view resumable_prefix = "/r/";

/// Callers of resumable streams. They take up a stream that has broken off, at any entry, and check that all
/// of its events come once, in order, and from one software version.
class stream_callers {
public:
    struct counts {
        std::size_t begun = 0;
        std::size_t whole = 0;
        std::size_t taken_up = 0;
        /// Taken up, and brought an event.
        std::size_t went_on = 0;
        /// Taken up without bringing an event, by status and cause; status 0 if no answer came.
        std::map<std::string, std::size_t> not_continued;
    };

    /// `pick_entry` returns the address of an entry for each attempt.
    stream_callers(net::loop& events, net::http_client& http, invariant_checker& checker,
                   std::function<net::address()> pick_entry, std::string name)
        : loop_(events), http_(http), checker_(checker), pick_entry_(std::move(pick_entry)),
          name_(std::move(name)) {}

    void begin(const std::string& key, const std::string& organisation);
    [[nodiscard]] const counts& totals() const noexcept { return counts_; }

private:
    struct stream {
        std::string key;
        std::string organisation;
        std::string first_attempt;
        std::string attempt;
        std::size_t attempts = 0;
        std::size_t last_event = 0;
        /// Events that the current attempt has brought.
        std::size_t events_in_attempt = 0;
        std::set<std::string> versions;
        int status = 0;
        std::string unread;
        std::unique_ptr<net::http_exchange> exchange;
        net::timer_handle pause;
    };

    void send(std::uint64_t id);
    void read_events(stream& of);
    void on_event(stream& of, std::string_view event);
    void on_end(std::uint64_t id, bool failed);

    net::loop& loop_;
    net::http_client& http_;
    invariant_checker& checker_;
    std::function<net::address()> pick_entry_;
    std::string name_;
    std::map<std::uint64_t, stream> streams_;
    std::uint64_t next_id_ = 0;
    counts counts_;
};

} // namespace samphiretray::soak
