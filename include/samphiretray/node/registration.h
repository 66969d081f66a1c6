#pragma once

#include "samphiretray/base/log.h"
#include "samphiretray/net/loop.h"
#include "samphiretray/ports/shared_store.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

namespace samphiretray::node {

struct registration_settings {
    std::string key;
    std::string value;
    /// The store deletes the key this long after the last renewal.
    duration lease_duration = 10s;
    /// A third of the lease, so that two renewals in a row may fail.
    duration renew_interval = 3300ms;
    duration retry_delay = 500ms;
};

/// Keeps a key in the store under a lease while the process runs, and writes it again if the lease has
/// expired.
template <ports::leased_store Store>
class registration {
public:
    registration(net::loop& events, Store& store, registration_settings settings)
        : loop_(events), store_(store), settings_(std::move(settings)) {}
    registration(const registration&) = delete;
    registration& operator=(const registration&) = delete;
    ~registration() = default;

    void start() { grant(); }
    /// Writes the key again, with a new lease, after the store has lost it.
    void renew_lost_key() {
        if (std::exchange(lease_, 0) != 0) {
            ++generation_;
            log_event(log_level::warning, "registration_lost", {{"key", settings_.key}});
            grant();
        }
    }

private:
    void grant() {
        store_.grant_lease(settings_.lease_duration, with_retry([this](std::uint64_t lease) {
                               lease_ = lease;
                               write();
                           }));
    }

    void write() {
        store_.put(settings_.key, settings_.value, lease_, with_retry([this](std::uint64_t revision) {
                       log_event(log_level::info, "registered",
                                 {{"key", settings_.key}, {"revision", revision}, {"lease", lease_}});
                       renew_later();
                   }));
    }

    void renew_later() {
        timer_ = loop_.after(settings_.renew_interval, [this] {
            store_.renew_lease(lease_, with_retry([this](std::uint64_t) { renew_later(); }));
        });
    }

    template <typename Next>
    ports::completion<std::uint64_t> with_retry(Next next) {
        return [this, next, generation = generation_,
                weak = std::weak_ptr{alive_}](result<std::uint64_t> outcome) {
            if (weak.expired() || generation != generation_) {
                return;
            }
            if (outcome) {
                next(*outcome);
                return;
            }
            const bool lease_ended = outcome.error().code == errc::not_found;
            log_event(lease_ended ? log_level::warning : log_level::debug, "registration_failed",
                      {{"key", settings_.key}, {"failure", to_string(outcome.error())}});
            lease_ = lease_ended ? 0 : lease_;
            timer_ = loop_.after(settings_.retry_delay, [this] { lease_ == 0 ? grant() : write(); });
        };
    }

    net::loop& loop_;
    Store& store_;
    registration_settings settings_;
    std::uint64_t lease_ = 0;
    /// Responses to calls of an earlier generation are ignored.
    std::uint64_t generation_ = 0;
    net::timer_handle timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace samphiretray::node
