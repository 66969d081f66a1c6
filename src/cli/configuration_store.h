#pragma once

#include "samphiretray/config/editor.h"
#include "samphiretray/net/http_client.h"
#include "samphiretray/net/loop.h"
#include "samphiretray/ports/http_key_value.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace samphiretray::cli {

/// Blocking access to the configuration in the key-value service, for subcommands.
class configuration_store {
public:
    explicit configuration_store(const net::address& service);

    struct snapshot {
        std::uint64_t revision = 0;
        config::configuration value;
    };

    /// Reads the configuration; an empty one with revision 0 if none is stored.
    [[nodiscard]] result<snapshot> read();
    /// Runs one edit as a transaction. Returns the revision or an error of `config::editor::outcome`.
    [[nodiscard]] result<std::uint64_t> edit(config::edit_function change);

private:
    [[nodiscard]] result<std::uint64_t> run(config::editor& transaction);
    void perform(config::editor& transaction, const std::vector<config::editor_action>& actions);
    void start(config::editor& transaction, const config::read_action& action);
    void start(config::editor& transaction, const config::swap_action& action);

    net::loop loop_;
    std::unique_ptr<net::http_client> client_;
    ports::http_key_value_service service_;
    std::vector<net::timer_handle> timers_;
};

} // namespace samphiretray::cli
