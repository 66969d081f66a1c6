#pragma once

#include <popt.h>

#include <memory>
#include <type_traits>

namespace samphiretray::cli {

struct popt_deleter {
    void operator()(poptContext context) const { poptFreeContext(context); }
};

/// An owning pointer to a popt context.
using popt_context_ptr = std::unique_ptr<std::remove_pointer_t<poptContext>, popt_deleter>;

} // namespace samphiretray::cli
