#pragma once

#include "samphiretray/entry/request_context.h"

#include <concepts>
#include <cstddef>
#include <functional>
#include <tuple>
#include <utility>

namespace samphiretray::entry {

/// Passes the request on to the next filter; may be called later, at most once.
using next_filter = std::function<void()>;

/// One step of a request. It calls `next`, or ends the request, or keeps `next` for later.
template <typename Filter>
concept request_filter = requires(Filter& filter, const request_pointer& request, next_filter next) {
    filter.handle(request, std::move(next));
};

/// Runs a request through its filters in order. A request that has ended goes no further.
template <request_filter... Filters>
class filter_chain {
public:
    explicit filter_chain(Filters... filters) : filters_(std::move(filters)...) {}

    void run(const request_pointer& request) { run_from<0>(request); }

private:
    template <std::size_t Index>
    void run_from(const request_pointer& request) {
        if constexpr (Index < sizeof...(Filters)) {
            if (!request->ended()) {
                std::get<Index>(filters_).handle(request, [this, request] { run_from<Index + 1>(request); });
            }
        }
    }

    std::tuple<Filters...> filters_;
};

} // namespace samphiretray::entry
