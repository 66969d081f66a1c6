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
    /// The key vanishes this long after the process has stopped renewing.
    duration lease = 10s;
    /// A third of the lease, so that two renewals may be lost.
    duration renewal = 3300ms;
    duration retry = 500ms;
};

/// Keeps a key in the store while the process runs.
template <ports::leased_store Store>
class registration {
public:
    registration(net::loop& events, Store& store, registration_settings settings)
        : loop_(events), store_(store), settings_(std::move(settings)) {}
    registration(const registration&) = delete;
    registration& operator=(const registration&) = delete;
    ~registration() = default;

    void start() { grant(); }

private:
    void grant() {
        store_.grant_lease(settings_.lease, guarded([this](std::uint64_t lease) {
                               lease_ = lease;
                               write();
                           }));
    }

    void write() {
        store_.put(settings_.key, settings_.value, lease_, guarded([this](std::uint64_t revision) {
                       log_event(log_level::info, "registered",
                                 {{"key", settings_.key}, {"revision", revision}, {"lease", lease_}});
                       renew_later();
                   }));
    }

    void renew_later() {
        timer_ = loop_.after(settings_.renewal, [this] {
            store_.renew_lease(lease_, guarded([this](std::uint64_t) { renew_later(); }));
        });
    }

    template <typename Next>
    ports::completion<std::uint64_t> guarded(Next next) {
        return [this, next, weak = std::weak_ptr{alive_}](result<std::uint64_t> outcome) {
            if (weak.expired()) {
                return;
            }
            if (outcome) {
                next(*outcome);
                return;
            }
            const bool ended = outcome.error().code == errc::not_found;
            log_event(ended ? log_level::warning : log_level::debug, "registration_failed",
                      {{"key", settings_.key}, {"failure", to_string(outcome.error())}});
            lease_ = ended ? 0 : lease_;
            timer_ = loop_.after(settings_.retry, [this] { lease_ == 0 ? grant() : write(); });
        };
    }

    net::loop& loop_;
    Store& store_;
    registration_settings settings_;
    std::uint64_t lease_ = 0;
    net::timer_handle timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace samphiretray::node
