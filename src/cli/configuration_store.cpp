#include "configuration_store.h"

#include "samphiretray/base/hash.h"

#include <optional>
#include <utility>
#include <variant>

namespace samphiretray::cli {

namespace {

// Longer than all attempts of an editor take together.
constexpr duration transaction_timeout = 120s;
constexpr std::size_t edit_token_bytes = 16;

} // namespace

configuration_store::configuration_store(const net::address& service)
    : client_(net::http_client::create(loop_)), service_(*client_, {.service = service}) {}

result<configuration_store::snapshot> configuration_store::read() {
    config::configuration current;
    bool is_empty = false;
    // An edit that changes nothing writes nothing and returns the revision that it has read.
    const auto read_only_edit = [&](config::configuration value) -> result<config::configuration> {
        is_empty =
            value.rules.organisations.empty() && value.rules.services.empty() && value.inventory.empty();
        if (is_empty) {
            return make_error(errc::not_found, step::configure, {}, "there is no configuration");
        }
        current = value;
        return value;
    };
    const auto revision = edit(read_only_edit);
    if (!revision && !is_empty) {
        return revision.error();
    }
    return snapshot{revision ? *revision : 0, std::move(current)};
}

result<std::uint64_t> configuration_store::edit(config::edit_function change) {
    config::editor transaction{std::move(change), random_hex(edit_token_bytes)};
    return run(transaction);
}

result<std::uint64_t> configuration_store::run(config::editor& transaction) {
    perform(transaction, transaction.start());
    loop_.run_until([&transaction] { return transaction.outcome().has_value(); }, transaction_timeout);
    timers_.clear();
    if (!transaction.outcome()) {
        return make_error(errc::outcome_unknown, step::configure, {},
                          "the edit timed out; it may or may not have taken effect");
    }
    return *transaction.outcome();
}

void configuration_store::perform(config::editor& transaction,
                                  const std::vector<config::editor_action>& actions) {
    for (const config::editor_action& action : actions) {
        const duration delay = std::visit([](const auto& each) { return each.delay; }, action);
        timers_.push_back(loop_.after(delay, [this, &transaction, action] {
            std::visit([&](const auto& each) { start(transaction, each); }, action);
        }));
    }
}

void configuration_store::start(config::editor& transaction, const config::read_action& action) {
    service_.read(action.key, [this, &transaction, key = action.key](const auto& answer) {
        perform(transaction, transaction.on_read(key, answer));
    });
}

void configuration_store::start(config::editor& transaction, const config::swap_action& action) {
    service_.compare_and_swap(action.swap, [this, &transaction, key = action.swap.key](const auto& answer) {
        perform(transaction, transaction.on_swap(key, answer));
    });
}

} // namespace samphiretray::cli
