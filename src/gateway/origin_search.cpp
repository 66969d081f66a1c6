#include "samphiretray/gateway/origin_search.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace samphiretray::gateway {

bool origin_search::begin(routing::stream_key stream, std::vector<net::address> targets) {
    if (searches_.contains(stream)) {
        return true;
    }
    if (searches_.size() >= max_searches) {
        return false;
    }
    search& begun = searches_[stream];
    begun.targets = std::move(targets);
    ask_next(stream, begun, first_targets);
    return true;
}

void origin_search::ask_next(routing::stream_key stream, search& of, std::size_t count) {
    const auto next = of.targets | std::views::drop(of.asked) | std::views::take(count);
    for (const net::address& target : next) {
        targets_[target].waiting.insert(stream);
        ++of.unanswered;
    }
    of.asked += of.unanswered;
    if (of.unanswered == 0) {
        end(stream, std::nullopt);
    }
}

void origin_search::end(routing::stream_key stream, std::optional<routing::stream_origin> origin) {
    const auto found = searches_.find(stream);
    results_.push_back({stream, std::move(origin), found->second.asked});
    for (const net::address& target : found->second.targets | std::views::take(found->second.asked)) {
        if (const auto state = targets_.find(target); state != targets_.end()) {
            state->second.waiting.erase(stream);
            std::erase(state->second.asked, stream);
        }
    }
    searches_.erase(found);
}

std::vector<origin_search::query> origin_search::take_queries() {
    std::vector<query> queries;
    for (auto& [target, state] : targets_) {
        if (state.is_asked || state.waiting.empty()) {
            continue;
        }
        state.is_asked = true;
        std::ranges::copy(state.waiting | std::views::take(max_streams_in_query),
                          std::back_inserter(state.asked));
        for (const routing::stream_key each : state.asked) {
            state.waiting.erase(each);
        }
        queries.push_back({target, state.asked});
    }
    return queries;
}

void origin_search::on_answer(const net::address& target, const std::vector<known_stream>& known) {
    const auto state = targets_.find(target);
    if (state == targets_.end()) {
        return;
    }
    const auto asked = std::exchange(state->second.asked, {});
    state->second.is_asked = false;
    if (state->second.waiting.empty()) {
        targets_.erase(state);
    }
    for (const routing::stream_key stream : asked) {
        const auto found = searches_.find(stream);
        if (found == searches_.end()) {
            continue;
        }
        const auto answer = std::ranges::find(known, stream, &known_stream::stream);
        if (answer != known.end()) {
            end(stream, answer->origin);
        } else if (--found->second.unanswered == 0) {
            ask_next(stream, found->second, found->second.targets.size());
        }
    }
}

std::vector<origin_search::result> origin_search::take_results() {
    return std::exchange(results_, {});
}

} // namespace samphiretray::gateway
