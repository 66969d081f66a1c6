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

/// No verdict depends on speed; this only ends a test that hangs.
inline constexpr duration hang_limit = 60s;

/// What a caller saw of one call.
struct call_result {
    int status = 0;
    net::http_headers headers;
    std::string body;
    /// Set if the answer did not end cleanly.
    std::optional<error> failure;
    bool ended = false;

    [[nodiscard]] std::string header(std::string_view name) const {
        return std::string{net::find_header(headers, name)};
    }
};

/// A call whose answer is collected while the loop runs.
struct pending_call {
    call_result seen;
    std::unique_ptr<net::http_exchange> exchange;
};

struct deployment_options {
    /// First of 500 ports; different for each test, because tests run at the same time.
    std::uint16_t first_port = 0;
    /// Entries that are started; the others stay in the VM list unless `vms` leaves them out.
    std::vector<std::string> entries{"entry-1", "entry-2", "entry-3"};
    /// Endpoints that are started, each with its agent.
    std::vector<std::string> endpoints{"engine-1", "engine-2", "orders-1"};
    /// Added to the command line of each engine stand-in.
    std::vector<std::string> engine_arguments{};
    /// Changes to each settings file of the system's processes.
    nlohmann::json settings = nlohmann::json::object();
};

/// The reduced Bagwis example as processes on loopback: stand-ins, entries and agents.
class deployment {
public:
    explicit deployment(deployment_options options);

    /// Starts everything and waits until all started entries are ready.
    void start();

    /// Applies `edit` to the configuration in the key-value service; returns its revision.
    std::uint64_t configure(const std::function<void(config::configuration&)>& edit);
    /// Waits until the named processes report `revision`.
    [[nodiscard]] bool wait_in_force(std::uint64_t revision, const std::vector<std::string>& vms);

    [[nodiscard]] net::http_call call(const std::string& entry, const std::string& path,
                                      const std::string& body, const std::string& key = "") const;
    [[nodiscard]] net::http_call completion(const std::string& entry, const std::string& key,
                                            const std::string& model, std::uint32_t tokens = 8,
                                            bool streamed = false) const;
    [[nodiscard]] std::shared_ptr<pending_call> send(net::http_call call);
    [[nodiscard]] call_result wait(const std::shared_ptr<pending_call>& pending);
    [[nodiscard]] call_result run(net::http_call sent) { return wait(send(std::move(sent))); }

    /// GET of a stand-in or of an admin address, as JSON.
    [[nodiscard]] nlohmann::json fetch(const net::address& peer, const std::string& target);
    void post(const net::address& peer, const std::string& target, const nlohmann::json& body);
    [[nodiscard]] nlohmann::json status(const std::string& vm);

    [[nodiscard]] bool wait_until(const std::function<bool()>& condition);

    /// Address of an endpoint's stand-in, and of the key-value service as seen from a region.
    [[nodiscard]] net::address endpoint_address(const std::string& endpoint) const;
    [[nodiscard]] net::address key_value_address(const std::string& region) const;
    [[nodiscard]] net::address caller_address(const std::string& entry) const;
    [[nodiscard]] net::address admin_address(const std::string& vm) const;

    [[nodiscard]] child_process& process(const std::string& vm) { return processes_.at(vm); }
    void start_process(const std::string& vm);
    void start_endpoint(const std::string& endpoint);
    /// Changes the platform's VM list.
    void edit_vms(const std::function<void(nlohmann::json& vms)>& edit);
    void remove_unstarted_vms();

    [[nodiscard]] net::loop& events() noexcept { return loop_; }
    [[nodiscard]] const std::filesystem::path& folder() const noexcept { return folder_; }
    /// Name of an adapter of `organisation` in the example inventory.
    [[nodiscard]] std::string adapter_of(const std::string& organisation, std::size_t number = 0) const;

private:
    void write_files();
    void start_standin(const std::string& name, const std::string& line);
    [[nodiscard]] nlohmann::json settings_of(const std::string& vm) const;
    [[nodiscard]] std::string standin_line(const std::string& word) const;
    [[nodiscard]] bool answers(const net::address& peer, const std::string& target);

    deployment_options options_;
    std::filesystem::path folder_;
    std::map<std::string, std::string> files_;
    net::loop loop_;
    std::unique_ptr<net::http_client> client_;
    std::unique_ptr<ports::http_key_value_service> key_value_;
    config::configuration initial_;
    std::map<std::string, child_process> processes_;
    std::uint64_t next_token_ = 1;
};

} // namespace samphiretray::tests
