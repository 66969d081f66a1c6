#pragma once

#include "samphiretray/base/log.h"
#include "samphiretray/base/split.h"
#include "samphiretray/node/shared_reading.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace samphiretray::node {

template <ports::watched_store Store>
shared_reading<Store>::shared_reading(net::loop& events, net::http_client& http, Store& store,
                                      shared_reading_settings settings)
    : loop_(events), http_(http), store_(store), settings_(std::move(settings)), choice_(settings_.vm) {
    for (const std::string& prefix : settings_.prefixes) {
        replicas_.emplace(prefix, prefix_replica{settings_.max_age});
    }
}

template <ports::watched_store Store>
prefix_replica* shared_reading<Store>::replica_of(const std::string& prefix) {
    const auto found = replicas_.find(prefix);
    return found == replicas_.end() ? nullptr : &found->second;
}

template <ports::watched_store Store>
void shared_reading<Store>::set_members(std::vector<reader_choice::member> others) {
    const bool was_reader = choice_.is_reader();
    choice_.set_members(std::move(others));
    if (choice_.is_reader() != was_reader) {
        log_event(log_level::info, choice_.is_reader() ? "store_reader_started" : "store_reader_ended",
                  {{"vm", settings_.vm}});
    }
}

template <ports::watched_store Store>
void shared_reading<Store>::list(const std::string& prefix, ports::completion<ports::store_listing> done) {
    // A process that starts takes nothing older than its start from a store that answers.
    store_.list(prefix, [this, prefix, asked_at = loop_.now(), weak = std::weak_ptr{alive_},
                         done = std::move(done)](result<ports::store_listing> listing) {
        if (weak.expired()) {
            return;
        }
        prefix_replica* replica = replica_of(prefix);
        if (replica != nullptr && listing) {
            replica->apply(*listing, asked_at);
            answer_waiting(prefix);
        }
        const auto peer = replica != nullptr && !listing ? choice_.substitute(loop_.now()) : std::nullopt;
        if (!peer) {
            done(std::move(listing));
            return;
        }
        ask(*peer, prefix, 0, 0ms,
            [this, peer, prefix, done, failure = listing.error()](result<replica_page> page) {
                if (!page) {
                    reader_failed(peer->vm, prefix, page.error());
                    done(failure);
                    return;
                }
                auto from_peer = listing_of(std::move(page->changes));
                replica_of(prefix)->apply(from_peer, loop_.now() - page->age);
                done(std::move(from_peer));
            });
    });
}

template <ports::watched_store Store>
ports::store_listing shared_reading<Store>::listing_of(ports::store_changes changes) {
    ports::store_listing listing;
    listing.revision = changes.revision;
    for (ports::store_change& each : changes.changes) {
        if (each.value) {
            listing.items.push_back({std::move(each.key), *std::move(each.value), each.revision});
        }
    }
    return listing;
}

template <ports::watched_store Store>
void shared_reading<Store>::watch(const std::string& prefix, std::uint64_t after, duration limit,
                                  ports::completion<ports::store_changes> done) {
    const bool is_shared = replica_of(prefix) != nullptr;
    if (const auto reader = is_shared ? choice_.source(loop_.now()) : std::nullopt) {
        watch_peer(*reader, prefix, after, std::min(limit, settings_.wait),
                   [this, prefix, after, done = std::move(done)](result<ports::store_changes> changes) {
                       if (changes || changes.error().code == errc::stale_revision) {
                           done(std::move(changes));
                       } else {
                           // What has stayed unseen behind the reader is asked for without a wait.
                           watch_store(prefix, after, 1ms, done);
                       }
                   });
        return;
    }
    const bool is_reader = is_shared && choice_.reads_for_others();
    watch_store(
        prefix, after, is_reader ? std::min(limit, settings_.reader_watch) : limit,
        [this, prefix, after, is_shared, done = std::move(done)](result<ports::store_changes> changes) {
            const bool failed = !changes && changes.error().code != errc::stale_revision;
            const auto peer = is_shared && failed ? choice_.substitute(loop_.now()) : std::nullopt;
            if (!peer) {
                done(std::move(changes));
                return;
            }
            watch_peer(*peer, prefix, after, 0ms,
                       [done, failure = changes.error()](result<ports::store_changes> from_peer) {
                           done(from_peer ? std::move(from_peer) : result<ports::store_changes>{failure});
                       });
        });
}

template <ports::watched_store Store>
void shared_reading<Store>::watch_store(const std::string& prefix, std::uint64_t after, duration limit,
                                        ports::completion<ports::store_changes> done) {
    store_.watch(prefix, after, limit,
                 [this, prefix, after, limit, asked_at = loop_.now(), weak = std::weak_ptr{alive_},
                  done = std::move(done)](result<ports::store_changes> changes) {
                     if (weak.expired()) {
                         return;
                     }
                     if (prefix_replica* replica = replica_of(prefix); replica != nullptr && changes) {
                         // A watch that has waited in vain tells that there was nothing until then.
                         const bool waited = changes->changes.empty() && loop_.now() - asked_at >= limit;
                         replica->apply(after, *changes, waited ? asked_at + limit : asked_at);
                         answer_waiting(prefix);
                     }
                     done(std::move(changes));
                 });
}

template <ports::watched_store Store>
void shared_reading<Store>::watch_peer(const reader_choice::member& peer, const std::string& prefix,
                                       std::uint64_t after, duration limit,
                                       ports::completion<ports::store_changes> done) {
    ask(peer, prefix, after, limit,
        [this, vm = peer.vm, prefix, after, done = std::move(done)](result<replica_page> page) {
            if (!page) {
                if (page.error().code != errc::stale_revision) {
                    reader_failed(vm, prefix, page.error());
                }
                done(page.error());
                return;
            }
            replica_of(prefix)->apply(after, page->changes, loop_.now() - page->age);
            done(std::move(page->changes));
        });
}

template <ports::watched_store Store>
void shared_reading<Store>::reader_failed(const std::string& vm, const std::string& prefix,
                                          const error& failure) {
    log_event(log_level::info, "store_reader_failed",
              {{"reader", vm}, {"prefix", prefix}, {"failure", to_string(failure)}});
    choice_.failed(vm, loop_.now());
}

template <ports::watched_store Store>
void shared_reading<Store>::ask(const reader_choice::member& reader, const std::string& prefix,
                                std::uint64_t after, duration limit, ports::completion<replica_page> done) {
    net::http_call call;
    call.peer = reader.at;
    call.target = std::string{path} + "?prefix=" + net::url_encode(prefix) +
                  "&after=" + std::to_string(after) + "&wait=" + std::to_string(milliseconds_in(limit));
    call.timeout = limit + settings_.answer_limit;
    constexpr std::size_t max_page = 8U << 20U;
    calls_.fetch(http_, std::move(call), max_page,
                 [vm = reader.vm, max_age = settings_.max_age,
                  done = std::move(done)](const result<net::http_answer>& answer) {
                     if (!answer) {
                         done(answer.error());
                         return;
                     }
                     if (answer->status != 200) {
                         const auto code = answer->status == 410 ? errc::stale_revision : errc::unavailable;
                         done(make_error(code, step::receive, vm, answer->body));
                         return;
                     }
                     auto page = decode_replica_page(answer->body, vm);
                     if (page && page->age > max_age) {
                         done(make_error(errc::unavailable, step::receive, vm, "the reading is too old"));
                         return;
                     }
                     done(std::move(page));
                 });
}

template <ports::watched_store Store>
void shared_reading<Store>::answer(const net::http_request& request,
                                   const std::shared_ptr<net::http_response>& response) {
    const std::string prefix = net::find_query(request.query, "prefix");
    const auto after = parse_number<std::uint64_t>(net::find_query(request.query, "after"));
    const auto wait = parse_number<std::uint32_t>(net::find_query(request.query, "wait"));
    const prefix_replica* replica = replica_of(prefix);
    if (replica == nullptr || !after || !wait) {
        response->send(404, {}, "no such prefix\n");
        return;
    }
    const bool may_wait =
        *wait > 0 && !replica->has_news(*after) && replica->changes_since(*after, loop_.now());
    if (!may_wait) {
        send_page(*replica, *after, *response);
        return;
    }
    const duration asked = std::min<duration>(std::chrono::milliseconds{*wait}, settings_.wait);
    const duration fresh_for = settings_.max_age - replica->age(loop_.now()).value_or(settings_.max_age);
    const auto place = waiting_.insert(waiting_.end(), {prefix, *after, response, {}});
    place->limit = loop_.after(std::min(asked, fresh_for + 1ms), [this, place] {
        const waiting_peer peer = std::move(*place);
        waiting_.erase(place);
        send_page(*replica_of(peer.prefix), peer.after, *peer.response);
    });
}

template <ports::watched_store Store>
void shared_reading<Store>::answer_waiting(const std::string& prefix) {
    const prefix_replica& replica = *replica_of(prefix);
    std::erase_if(waiting_, [&](const waiting_peer& each) {
        const bool is_due = each.prefix == prefix && replica.has_news(each.after);
        if (is_due) {
            send_page(replica, each.after, *each.response);
        }
        return is_due || !each.response->is_open();
    });
}

template <ports::watched_store Store>
void shared_reading<Store>::send_page(const prefix_replica& from, std::uint64_t after,
                                      net::http_response& response) const {
    const time_point now = loop_.now();
    replica_page page;
    if (after == 0) {
        auto listing = from.listing(now);
        if (!listing) {
            response.send(503, {}, listing.error().detail);
            return;
        }
        page.changes.revision = listing->revision;
        for (ports::stored_item& each : listing->items) {
            page.changes.changes.push_back({std::move(each.key), std::move(each.value), each.revision});
        }
    } else {
        auto changes = from.changes_since(after, now);
        if (!changes) {
            response.send(changes.error().code == errc::stale_revision ? 410 : 503, {},
                          changes.error().detail);
            return;
        }
        page.changes = *std::move(changes);
    }
    page.age = from.age(now).value_or(0ms);
    response.send(200, {{"content-type", "application/json"}}, encode(page));
}

} // namespace samphiretray::node
