#pragma once

#include "samphiretray/config/configuration.h"
#include "samphiretray/net/http_client.h"
#include "samphiretray/net/loop.h"
#include "samphiretray/ports/http_key_value.h"

#include "tests/process/child_process.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphiretray::tests {

/// Limit of each wait, which ends a test that hangs. No test result depends on speed.
inline constexpr duration hang_limit = 60s;

/// The response to a call, as far as it has been received.
struct call_result {
    int status = 0;
    net::http_headers headers;
    std::string body;
    /// Set if the response is incomplete or the call failed.
    std::optional<error> failure;
    bool ended = false;

    [[nodiscard]] std::string header(std::string_view name) const {
        return std::string{net::find_header(headers, name)};
    }
};

/// A call in progress; its response is collected while the loop runs.
struct pending_call {
    call_result response;
    std::unique_ptr<net::http_exchange> exchange;
};

struct deployment_options {
    /// First of 500 ports. Each test needs its own range, because tests run in parallel.
    std::uint16_t first_port = 0;
    /// Entries that are started; the others are removed from the VM list.
    std::vector<std::string> entries{"entry-1", "entry-2", "entry-3"};
    /// Endpoints that are started, each with its agent; the others are removed from the VM list.
    std::vector<std::string> endpoints{"engine-1", "engine-2", "orders-1"};
    /// Appended to the command line of each engine stand-in.
    std::vector<std::string> engine_arguments{};
    /// Fields that are set in every settings file of the system's processes.
    nlohmann::json settings = nlohmann::json::object();
};

/// Runs the reduced `bagwis` preset as processes on loopback: stand-ins, entries and agents.
class deployment {
public:
    explicit deployment(deployment_options options);

    /// Starts all processes, stores the configuration, and waits until entries and agents are ready.
    void start();

    /// Applies `edit` to the configuration in the key-value service; returns its revision.
    std::uint64_t configure(const std::function<void(config::configuration&)>& edit);
    /// Waits until the processes on `vms` report `revision` or a newer one.
    [[nodiscard]] bool wait_in_force(std::uint64_t revision, const std::vector<std::string>& vms);

    /// Builds a POST to an entry.
    [[nodiscard]] net::http_call call(const std::string& entry, const std::string& path,
                                      const std::string& body, const std::string& key = "") const;
    /// Builds a completion request for `model` to an entry.
    [[nodiscard]] net::http_call completion(const std::string& entry, const std::string& key,
                                            const std::string& model, std::uint32_t tokens = 8,
                                            bool streamed = false) const;
    [[nodiscard]] std::shared_ptr<pending_call> send(net::http_call call);
    /// Waits until the call has ended, or for `hang_limit`.
    [[nodiscard]] call_result wait(const std::shared_ptr<pending_call>& pending);
    [[nodiscard]] call_result run(net::http_call sent) { return wait(send(std::move(sent))); }

    /// Sends a GET to a stand-in or an admin address and parses the response as JSON.
    [[nodiscard]] nlohmann::json fetch(const net::address& peer, const std::string& target);
    void post(const net::address& peer, const std::string& target, const nlohmann::json& body);
    /// The `/status` of the process on `vm`; an empty object if it does not respond.
    [[nodiscard]] nlohmann::json status(const std::string& vm);

    /// Runs the loop until `condition` holds; returns false after `hang_limit`.
    [[nodiscard]] bool wait_until(const std::function<bool()>& condition);

    /// Address of an endpoint's stand-in.
    [[nodiscard]] net::address endpoint_address(const std::string& endpoint) const;
    /// Address at which a region reaches the key-value service.
    [[nodiscard]] net::address key_value_address(const std::string& region) const;
    [[nodiscard]] net::address caller_address(const std::string& entry) const;
    [[nodiscard]] net::address admin_address(const std::string& vm) const;

    [[nodiscard]] child_process& process(const std::string& vm) { return processes_.at(vm); }
    /// Starts the entry or agent of `vm`, also after it was killed.
    void start_process(const std::string& vm);
    /// Starts the stand-in of an endpoint.
    void start_endpoint(const std::string& endpoint);
    /// Applies `edit` to the platform's VM list.
    void edit_vms(const std::function<void(nlohmann::json& vms)>& edit);
    void remove_unstarted_vms();

    [[nodiscard]] net::loop& event_loop() noexcept { return loop_; }
    [[nodiscard]] const std::filesystem::path& folder() const noexcept { return folder_; }
    /// Name of the adapter at index `number` among the current ones of `organisation` in the initial
    /// inventory.
    [[nodiscard]] std::string adapter_of(const std::string& organisation, std::size_t number = 0) const;

private:
    void write_files();
    /// `command_line` is its command line in standins.txt.
    void start_standin(const std::string& name, const std::string& command_line);
    [[nodiscard]] nlohmann::json settings_of(const std::string& vm) const;
    /// The line of standins.txt that contains `word`.
    [[nodiscard]] std::string find_standin_command(const std::string& word) const;
    [[nodiscard]] bool responds(const net::address& peer, const std::string& target);

    deployment_options options_;
    std::filesystem::path folder_;
    /// Texts of the generated files by path relative to the folder.
    std::map<std::string, std::string> files_;
    net::loop loop_;
    std::unique_ptr<net::http_client> client_;
    std::unique_ptr<ports::http_key_value_service> key_value_;
    config::configuration initial_;
    std::map<std::string, child_process> processes_;
    std::uint64_t next_token_ = 1;
};

} // namespace samphiretray::tests
