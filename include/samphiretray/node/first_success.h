#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/ports/key_value.h"

#include <memory>
#include <optional>
#include <utility>

namespace samphiretray::node {

/// Completes a call with the first success of two attempts, the primary and the secondary one, or with the
/// error of the primary one once both have failed. An attempt that ends after that is ignored.
///
/// `stale_revision` counts as a success: the caller reads all keys instead.
template <typename T>
class first_success {
public:
    explicit first_success(ports::completion<T> done) : state_(std::make_shared<state>(std::move(done))) {}

    void on_primary(result<T> answer) const { end(std::move(answer), true); }
    void on_secondary(result<T> answer) const { end(std::move(answer), false); }

private:
    struct state {
        explicit state(ports::completion<T> completion) : done(std::move(completion)) {}

        /// Empty once it has been called.
        ports::completion<T> done;
        int failures = 0;
        std::optional<error> primary_failure;
    };

    void end(result<T> answer, bool is_primary) const {
        const bool is_failure = !answer && answer.error().code != errc::stale_revision;
        if (is_failure && is_primary) {
            state_->primary_failure = answer.error();
        }
        state_->failures += is_failure ? 1 : 0;
        if (!state_->done || (is_failure && state_->failures < 2)) {
            return;
        }
        const auto done = std::exchange(state_->done, nullptr);
        if (is_failure) {
            done(*std::move(state_->primary_failure));
        } else {
            done(std::move(answer));
        }
    }

    std::shared_ptr<state> state_;
};

} // namespace samphiretray::node
