#pragma once

#include "samphiretray/base/log.h"
#include "samphiretray/base/text.h"
#include "samphiretray/node/shared_store_client.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace samphiretray::node {

template <ports::watched_store Store>
shared_store_client<Store>::shared_store_client(net::loop& events, net::http_client& http, Store& store,
                                                shared_store_client_settings settings)
    : loop_(events), http_(http), store_(store), settings_(std::move(settings)),
      reader_selector_(settings_.vm) {
    for (const std::string& prefix : settings_.prefixes) {
        replicas_.emplace(prefix, prefix_replica{settings_.max_age});
    }
}

template <ports::watched_store Store>
prefix_replica* shared_store_client<Store>::find_replica(const std::string& prefix) {
    const auto found = replicas_.find(prefix);
    return found == replicas_.end() ? nullptr : &found->second;
}

template <ports::watched_store Store>
void shared_store_client<Store>::set_members(std::vector<reader_selector::member> others,
                                             std::vector<reader_selector::member> remote) {
    const bool was_reader = reader_selector_.is_reader();
    reader_selector_.set_members(std::move(others), std::move(remote));
    if (reader_selector_.is_reader() != was_reader) {
        log_event(log_level::info,
                  reader_selector_.is_reader() ? "store_reader_started" : "store_reader_ended",
                  {{"vm", settings_.vm}});
    }
}

template <ports::watched_store Store>
void shared_store_client<Store>::list(const std::string& prefix,
                                      ports::completion<ports::store_listing> done) {
    // The store is asked first, so that a starting process gets no data from before its start while the store
    // answers.
    list_store(prefix, [this, prefix, done = std::move(done)](result<ports::store_listing> listing) {
        if (listing || find_replica(prefix) == nullptr) {
            done(std::move(listing));
        } else {
            list_store_and_others(prefix, done);
        }
    });
}

template <ports::watched_store Store>
void shared_store_client<Store>::list_store(const std::string& prefix,
                                            ports::completion<ports::store_listing> done) {
    store_.list(prefix, [this, prefix, requested_at = loop_.now(), weak = std::weak_ptr{alive_},
                         done = std::move(done)](result<ports::store_listing> listing) {
        if (weak.expired()) {
            return;
        }
        if (prefix_replica* replica = find_replica(prefix); replica != nullptr && listing) {
            replica->apply(*listing, requested_at);
            answer_pending_watches(prefix);
        }
        done(std::move(listing));
    });
}

template <ports::watched_store Store>
void shared_store_client<Store>::list_store_and_others(const std::string& prefix,
                                                       ports::completion<ports::store_listing> done) {
    const first_success<ports::store_listing> first{std::move(done)};
    list_store(prefix,
               [first](result<ports::store_listing> listing) { first.on_primary(std::move(listing)); });
    search_others(prefix, 0, max_fallbacks, [this, prefix, first](result<replica_update> update) {
        if (!update) {
            first.on_secondary(update.error());
            return;
        }
        auto listing = to_listing(std::move(update->changes));
        find_replica(prefix)->apply(listing, loop_.now() - update->age);
        first.on_secondary(std::move(listing));
    });
}

template <ports::watched_store Store>
ports::store_listing shared_store_client<Store>::to_listing(ports::store_changes changes) {
    ports::store_listing listing;
    listing.revision = changes.revision;
    listing.era = changes.era;
    listing.age = changes.age;
    for (ports::store_change& each : changes.changes) {
        if (each.value) {
            listing.items.push_back({std::move(each.key), *std::move(each.value), each.revision});
        }
    }
    return listing;
}

template <ports::watched_store Store>
void shared_store_client<Store>::watch(const std::string& prefix, std::uint64_t after, duration limit,
                                       ports::completion<ports::store_changes> done) {
    const bool is_replicated = find_replica(prefix) != nullptr;
    if (!is_replicated) {
        watch_store(prefix, after, limit, std::move(done));
        return;
    }
    if (const auto reader = reader_selector_.assigned_reader(loop_.now())) {
        watch_reader(*reader, prefix, after, std::min(limit, settings_.max_peer_wait), std::move(done));
        return;
    }
    const bool has_queries = reader_selector_.serves_peers() ||
                             (queried_at_ && loop_.now() - *queried_at_ < reader_selector::failure_backoff);
    watch_store_or_others(prefix, after, has_queries ? std::min(limit, settings_.reader_watch_limit) : limit,
                          std::move(done));
}

template <ports::watched_store Store>
void shared_store_client<Store>::watch_reader(const reader_selector::member& reader,
                                              const std::string& prefix, std::uint64_t after, duration limit,
                                              ports::completion<ports::store_changes> done) {
    const first_success<ports::store_changes> first{std::move(done)};
    const auto is_store_asked = std::make_shared<bool>(false);
    const auto ask_store = [this, prefix, after, first, is_store_asked] {
        if (!std::exchange(*is_store_asked, true)) {
            // A minimal wait, to catch up at once on changes that the reader did not report.
            watch_store_or_others(prefix, after, 1ms, [first](result<ports::store_changes> changes) {
                first.on_primary(std::move(changes));
            });
        }
    };
    const std::uint64_t id = next_hedge_id_++;
    hedge_timers_[id] =
        loop_.after(limit + settings_.answer_timeout, [this, vm = reader.vm, prefix, ask_store] {
            on_reader_failed(vm, prefix, make_error(errc::timeout, step::receive, vm, "the answer is late"));
            ask_store();
        });
    watch_peer(reader, prefix, after, limit,
               [this, id, first, ask_store](result<ports::store_changes> changes) {
                   hedge_timers_.erase(id);
                   const bool is_answer = changes || changes.error().code == errc::stale_revision;
                   first.on_secondary(std::move(changes));
                   if (!is_answer) {
                       ask_store();
                   }
               });
}

template <ports::watched_store Store>
void shared_store_client<Store>::watch_store_or_others(const std::string& prefix, std::uint64_t after,
                                                       duration limit,
                                                       ports::completion<ports::store_changes> done) {
    if (refused_prefixes_.contains(prefix)) {
        watch_store_and_others(prefix, after, std::move(done));
        return;
    }
    watch_store(prefix, after, limit,
                [this, prefix, after, done = std::move(done)](result<ports::store_changes> changes) {
                    if (changes || changes.error().code == errc::stale_revision) {
                        done(std::move(changes));
                    } else {
                        on_store_refused(prefix);
                        watch_store_and_others(prefix, after, done);
                    }
                });
}

template <ports::watched_store Store>
void shared_store_client<Store>::on_store_refused(const std::string& prefix) {
    refused_prefixes_.insert(prefix);
    std::erase_if(pending_watches_, [&](const pending_watch& each) {
        const bool is_due = each.prefix == prefix;
        if (is_due) {
            send_refusal(*each.response);
        }
        return is_due;
    });
}

template <ports::watched_store Store>
void shared_store_client<Store>::send_refusal(net::http_response& response) {
    response.send(503, {}, "the store does not answer this entry\n");
}

template <ports::watched_store Store>
void shared_store_client<Store>::watch_store_and_others(const std::string& prefix, std::uint64_t after,
                                                        ports::completion<ports::store_changes> done) {
    const first_success<ports::store_changes> first{std::move(done)};
    watch_store(prefix, after, 1ms, [this, prefix, first](result<ports::store_changes> changes) {
        if (changes || changes.error().code == errc::stale_revision) {
            refused_prefixes_.erase(prefix);
        }
        first.on_primary(std::move(changes));
    });
    search_others(prefix, after, max_fallbacks, [this, prefix, after, first](result<replica_update> update) {
        if (!update) {
            first.on_secondary(update.error());
            return;
        }
        find_replica(prefix)->apply(after, update->changes, loop_.now() - update->age);
        first.on_secondary(std::move(update->changes));
    });
}

template <ports::watched_store Store>
void shared_store_client<Store>::search_others(const std::string& prefix, std::uint64_t after,
                                               std::size_t attempts, ports::completion<replica_update> done) {
    const auto peers = reader_selector_.fallbacks(loop_.now(), std::min(attempts, parallel_fallbacks));
    if (peers.empty()) {
        done(make_error(errc::unavailable, step::receive, "peers", "no other entry has fresh data"));
        return;
    }
    struct search_round {
        std::size_t pending = 0;
        bool is_over = false;
        bool has_late_answers = false;
    };
    const auto round = std::make_shared<search_round>(search_round{.pending = peers.size()});
    const std::size_t attempts_left = attempts - std::min(attempts, peers.size());
    for (const reader_selector::member& peer : peers) {
        // Only one that had fresh data holds the query until there is a change: an entry that has stopped is
        // given up soon.
        const duration wait =
            after != 0 && reader_selector_.is_fresh(peer.vm) ? settings_.max_peer_wait : 0ms;
        query_peer(
            peer, prefix, after, wait,
            [this, vm = peer.vm, prefix, after, attempts_left, round, done](result<replica_update> update) {
                const bool is_stale = !update && update.error().code == errc::stale_revision;
                if (!update && !is_stale) {
                    on_reader_failed(vm, prefix, update.error());
                    round->has_late_answers |= update.error().code != errc::unavailable;
                }
                --round->pending;
                if (round->is_over) {
                    return;
                }
                round->is_over = update || is_stale || round->pending == 0;
                if (update) {
                    reader_selector_.mark_fresh(vm);
                }
                if (update || is_stale) {
                    done(std::move(update));
                } else if (round->is_over) {
                    // Time has passed, and the store is asked again first.
                    search_others(prefix, after, round->has_late_answers ? 0 : attempts_left, done);
                }
            });
    }
}

template <ports::watched_store Store>
void shared_store_client<Store>::watch_store(const std::string& prefix, std::uint64_t after, duration limit,
                                             ports::completion<ports::store_changes> done) {
    store_.watch(prefix, after, limit,
                 [this, prefix, after, limit, requested_at = loop_.now(), weak = std::weak_ptr{alive_},
                  done = std::move(done)](result<ports::store_changes> changes) {
                     if (weak.expired()) {
                         return;
                     }
                     if (prefix_replica* replica = find_replica(prefix); replica != nullptr && changes) {
                         // A watch that ended without changes proves that there were none before its limit.
                         const bool timed_out =
                             changes->changes.empty() && loop_.now() - requested_at >= limit;
                         replica->apply(after, *changes, timed_out ? requested_at + limit : requested_at);
                         answer_pending_watches(prefix);
                     }
                     done(std::move(changes));
                 });
}

template <ports::watched_store Store>
void shared_store_client<Store>::watch_peer(const reader_selector::member& peer, const std::string& prefix,
                                            std::uint64_t after, duration limit,
                                            ports::completion<ports::store_changes> done) {
    query_peer(peer, prefix, after, limit,
               [this, vm = peer.vm, prefix, after, done = std::move(done)](result<replica_update> update) {
                   if (!update) {
                       if (update.error().code != errc::stale_revision) {
                           on_reader_failed(vm, prefix, update.error());
                       }
                       done(update.error());
                       return;
                   }
                   find_replica(prefix)->apply(after, update->changes, loop_.now() - update->age);
                   done(std::move(update->changes));
               });
}

template <ports::watched_store Store>
void shared_store_client<Store>::on_reader_failed(const std::string& vm, const std::string& prefix,
                                                  const error& failure) {
    log_event(log_level::info, "store_reader_failed",
              {{"reader", vm}, {"prefix", prefix}, {"failure", to_string(failure)}});
    reader_selector_.mark_failed(vm, loop_.now());
}

template <ports::watched_store Store>
void shared_store_client<Store>::query_peer(const reader_selector::member& reader, const std::string& prefix,
                                            std::uint64_t after, duration limit,
                                            ports::completion<replica_update> done) {
    net::http_call call;
    call.peer = reader.address;
    call.target = std::string{path} + "?prefix=" + net::url_encode(prefix) +
                  "&after=" + std::to_string(after) + "&era=" + std::to_string(find_replica(prefix)->era()) +
                  "&wait=" + std::to_string(milliseconds_in(limit));
    call.timeout = limit + settings_.max_answer_time;
    call.min_bytes_per_s = net::min_transfer_rate;
    constexpr std::size_t max_update_size = 8U << 20U;
    calls_.fetch(http_, std::move(call), max_update_size,
                 [vm = reader.vm, max_age = settings_.max_age,
                  done = std::move(done)](const result<net::fetched_response>& answer) {
                     if (!answer) {
                         done(answer.error());
                         return;
                     }
                     if (answer->status != 200) {
                         const auto code = answer->status == 410 ? errc::stale_revision : errc::unavailable;
                         done(make_error(code, step::receive, vm, answer->body));
                         return;
                     }
                     auto update = decode_replica_update(answer->body, vm);
                     if (update && update->age > max_age) {
                         done(make_error(errc::unavailable, step::receive, vm, "the data is too old"));
                         return;
                     }
                     if (update) {
                         update->changes.age = update->age;
                     }
                     done(std::move(update));
                 });
}

template <ports::watched_store Store>
void shared_store_client<Store>::answer(const net::http_request& request,
                                        const std::shared_ptr<net::http_response>& response) {
    const std::string prefix = net::find_query_parameter(request.query, "prefix");
    const auto after = parse_number<std::uint64_t>(net::find_query_parameter(request.query, "after"));
    const auto wait = parse_number<std::uint32_t>(net::find_query_parameter(request.query, "wait"));
    const auto era = parse_number<std::uint64_t>(net::find_query_parameter(request.query, "era")).value_or(0);
    const prefix_replica* replica = find_replica(prefix);
    if (replica == nullptr || !after || !wait) {
        response->send(404, {}, "no such prefix\n");
        return;
    }
    queried_at_ = loop_.now();
    if (refused_prefixes_.contains(prefix)) {
        // What this entry knows comes from others. If it passed that on, two entries could go on answering
        // each other while a third one has a change.
        send_refusal(*response);
        return;
    }
    const bool should_wait = *wait > 0 && era == replica->era() && !replica->has_changes_since(*after) &&
                             replica->changes_since(*after, loop_.now());
    if (!should_wait) {
        send_update(*replica, *after, era, *response);
        return;
    }
    const duration requested_wait =
        std::min<duration>(std::chrono::milliseconds{*wait}, settings_.max_peer_wait);
    const duration fresh_for = settings_.max_age - replica->age(loop_.now()).value_or(settings_.max_age);
    const auto position =
        pending_watches_.insert(pending_watches_.end(), {prefix, *after, era, response, {}});
    position->timer = loop_.after(std::min(requested_wait, fresh_for + 1ms), [this, position] {
        const pending_watch peer = std::move(*position);
        pending_watches_.erase(position);
        send_update(*find_replica(peer.prefix), peer.after, peer.era, *peer.response);
    });
}

template <ports::watched_store Store>
void shared_store_client<Store>::answer_pending_watches(const std::string& prefix) {
    const prefix_replica& replica = *find_replica(prefix);
    std::erase_if(pending_watches_, [&](const pending_watch& each) {
        const bool is_due =
            each.prefix == prefix && (each.era != replica.era() || replica.has_changes_since(each.after));
        if (is_due) {
            send_update(replica, each.after, each.era, *each.response);
        }
        return is_due || !each.response->is_open();
    });
}

template <ports::watched_store Store>
void shared_store_client<Store>::send_update(const prefix_replica& from, std::uint64_t after,
                                             std::uint64_t era, net::http_response& response) const {
    const time_point now = loop_.now();
    replica_update update;
    if (after != 0 && era != from.era()) {
        // A peer that is ahead asks the store itself.
        response.send(era < from.era() ? 410 : 503, {}, "the replica is of another era\n");
        return;
    }
    if (after == 0) {
        auto listing = from.listing(now);
        if (!listing) {
            response.send(503, {}, listing.error().detail);
            return;
        }
        update.changes.revision = listing->revision;
        update.changes.era = listing->era;
        for (ports::stored_item& each : listing->items) {
            update.changes.changes.push_back({std::move(each.key), std::move(each.value), each.revision});
        }
    } else {
        auto changes = from.changes_since(after, now);
        if (!changes) {
            response.send(changes.error().code == errc::stale_revision ? 410 : 503, {},
                          changes.error().detail);
            return;
        }
        update.changes = *std::move(changes);
    }
    update.age = from.age(now).value_or(0ms);
    response.send(200, {{"content-type", "application/json"}}, encode(update));
}

} // namespace samphiretray::node
