#pragma once

#include "samphiretray/entry/request_context.h"

#include <concepts>
#include <cstddef>
#include <functional>
#include <tuple>
#include <utility>

namespace samphiretray::entry {

/// Passes the request to the next filter. To be called at most once, during `handle` or later.
using next_filter = std::function<void()>;

/// One step of request processing: it calls `next`, keeps `next` to call it later, or ends the request.
template <typename Filter>
concept request_filter = requires(Filter& filter, const request_pointer& request, next_filter next) {
    filter.handle(request, std::move(next));
};

/// Runs a request through the filters in order, and stops once the request has ended.
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
