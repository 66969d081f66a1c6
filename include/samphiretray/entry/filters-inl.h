#pragma once

#include "samphiretray/base/hash.h"
#include "samphiretray/entry/filters.h"

#include <algorithm>
#include <utility>

namespace samphiretray::entry {

/// Longest wait for tokens. Requests above an organisation's rate are refused soon, with a time to retry
/// after, and do not wait until their deadline. It covers the 2 s without an issuer of a shard after a
/// graceful shutdown.
inline constexpr duration max_token_wait = 4s;
/// Longest wait until a claim has been recorded.
inline constexpr duration max_claim_wait = 3s;

template <configuration_source Source>
void authenticate_filter<Source>::handle(const request_pointer& request, const next_filter& next) const {
    const auto configuration = source_->configuration();
    if (!configuration) {
        request->fail(
            make_error(errc::unavailable, step::authenticate, "", "no configuration is in force yet"), 1s);
        return;
    }
    auto key = extract_key(request->http.headers);
    if (!key) {
        // The route decides whether a key is needed.
        next();
        return;
    }
    if (auto absent = check_key_absent(*key, request->http); !absent) {
        request->fail(absent.error());
        return;
    }
    request->key_digest = sha256_hex(*key);
    key->assign(key->size(), '\0');
    const auto granted = configuration->find_key(request->key_digest);
    if (!granted) {
        request->fail(make_error(errc::unauthorized, step::authenticate, "caller", "the key is not valid"));
        return;
    }
    if (source_->state() == control::contact_state::cut_off) {
        request->fail(make_error(errc::unavailable, step::authenticate, "key-value service",
                                 "the entry cannot tell whether the key has been revoked"),
                      1s);
        return;
    }
    request->organisation = granted->organisation->name;
    request->priority = granted->organisation->priority;
    next();
}

template <configuration_source Source>
void route_filter<Source>::handle(const request_pointer& request, const next_filter& next) const {
    const auto configuration = source_->configuration();
    const status resolved = is_completion_path(request->http.path)
                                ? resolve_completion(*request, *configuration)
                                : resolve_service(*request, *configuration);
    if (!resolved) {
        request->fail(resolved.error());
        return;
    }
    next();
}

template <typename Reserver>
void admit_filter<Reserver>::handle(const request_pointer& request, const next_filter& next) const {
    if (request->token_bound == 0) {
        next();
        return;
    }
    const time_point deadline = std::min(request->deadline, loop_->now() + max_token_wait);
    request->on_end([rates = rates_, id = request->id, organisation = request->organisation,
                     bound = request->token_bound](const request_summary& summary) {
        // If the endpoint did not report its usage, the bound is charged, unless the request did not run or
        // the endpoint refused it.
        const bool refused = summary.answered && summary.status >= 400;
        const bool ran = !refused && (summary.answered || summary.result == outcome::unknown);
        rates->settle(id, organisation, ran ? summary.tokens.value_or(bound) : 0);
    });
    rates_->reserve(request->id, request->organisation, request->token_bound, deadline,
                    [request, next](reservation_outcome outcome) {
                        if (outcome.granted) {
                            next();
                            return;
                        }
                        request->fail(make_error(errc::rate_limited, step::admit, request->organisation,
                                                 "the organisation's rate is used up"),
                                      std::max<duration>(outcome.retry_after, 1s));
                    });
}

template <typename Claims>
void claim_filter<Claims>::handle(const request_pointer& request, const next_filter& next) const {
    const std::string_view idempotency_key = net::find_header(request->http.headers, "idempotency-key");
    if (request->idempotent || idempotency_key.empty()) {
        next();
        return;
    }
    orders::claim_request claim;
    claim.key = orders::claim_key(request->organisation, idempotency_key);
    claim.content_digest = sha256_hex(request->http.method + "\n" + request->service + "\n" +
                                      request->target + "\n" + request->http.body);
    claim.request_id = request->request_id;
    claim.deadline = std::min(request->deadline, loop_->now() + max_claim_wait);
    const std::string key = claim.key;
    claims_->claim(claim, [filter = *this, request, key, next](const orders::claim_answer& answer) {
        filter.on_answer(request, key, answer, next);
    });
}

template <typename Claims>
void claim_filter<Claims>::on_answer(const request_pointer& request, const std::string& key,
                                     const orders::claim_answer& answer, const next_filter& next) const {
    switch (answer.result) {
    case orders::claim_result::claimed:
        if (request->ended()) {
            claims_->record_not_run(key, request->request_id);
            return;
        }
        request->on_end([claims = claims_, key, id = request->request_id](const request_summary& summary) {
            if (summary.answered) {
                claims->record_done(key, id,
                                    {static_cast<std::uint16_t>(summary.status),
                                     std::string{summary.content_type}, std::string{summary.body}, false});
            } else if (summary.result == outcome::not_run) {
                claims->record_not_run(key, id);
            }
        });
        next();
        break;
    case orders::claim_result::finished: {
        request->response->send(answer.answer.status,
                                {{"content-type", answer.answer.content_type},
                                 {"x-request-id", request->request_id},
                                 {"x-idempotent-replay", "true"}},
                                answer.answer.body);
        request_summary summary;
        summary.status = answer.answer.status;
        request->complete(summary);
        break;
    }
    case orders::claim_result::held:
        request->refuse({make_error(errc::conflict, step::claim, "key-value service",
                                    "an earlier call with this idempotency key has an unknown outcome"),
                         outcome::unknown, 1s});
        break;
    case orders::claim_result::mismatch:
        request->fail(make_error(errc::conflict, step::claim, "caller",
                                 "the idempotency key was used with another request"));
        break;
    case orders::claim_result::not_recorded:
    case orders::claim_result::perhaps_recorded:
        request->fail(make_error(errc::unavailable, step::claim, "key-value service",
                                 "the call could not be recorded, so it was not made"),
                      1s);
        break;
    }
}

} // namespace samphiretray::entry
