#pragma once

#include <popt.h>

#include <memory>
#include <type_traits>

namespace samphiretray::cli {

struct popt_deleter {
    void operator()(poptContext context) const { poptFreeContext(context); }
};

/// A popt context that frees itself.
using popt_pointer = std::unique_ptr<std::remove_pointer_t<poptContext>, popt_deleter>;

} // namespace samphiretray::cli
