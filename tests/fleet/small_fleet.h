#pragma once

#include "samphiretray/base/hash.h"
#include "samphiretray/gateway/engine_agent-inl.h"
#include "samphiretray/gateway/entry_gateway-inl.h"

#include "platform/engine_client.h"
#include "platform/request_binding.h"
#include "tests/platform/fake_engine.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace samphiretray::platform::testing {

/// Holds keys in memory. Entries find each other through it; a watch completes when a key below its prefix
/// changes or its time is over.
struct memory_store {
    explicit memory_store(net::loop& loop) : events(loop) {}

    void list(const std::string& prefix, const ports::completion<ports::store_listing>& done) {
        ports::store_listing listing;
        listing.revision = revision;
        for (const auto& [key, value] : values) {
            if (key.starts_with(prefix)) {
                listing.items.push_back({key, value, revision});
            }
        }
        events.post([done, listing] { done(listing); });
    }
    void watch(const std::string& prefix, std::uint64_t after, duration wait,
               const ports::completion<ports::store_changes>& done) {
        events.post([this, prefix, after, wait, done] { poll_changes(prefix, after, wait, done); });
    }
    void poll_changes(const std::string& prefix, std::uint64_t after, duration left,
                      const ports::completion<ports::store_changes>& done) {
        ports::store_changes found;
        found.revision = revision;
        for (const auto& [at, key] : changes) {
            if (at > after && key.starts_with(prefix)) {
                found.changes.push_back({key, values.at(key), at});
            }
        }
        if (!found.changes.empty() || left <= 0ms) {
            done(found);
            return;
        }
        timers.push_back(events.after(
            20ms, [this, prefix, after, left, done] { poll_changes(prefix, after, left - 20ms, done); }));
    }
    void grant_lease(duration, const ports::completion<std::uint64_t>& done) {
        events.post([done] { done(std::uint64_t{1}); });
    }
    void renew_lease(std::uint64_t lease, const ports::completion<std::uint64_t>& done) {
        events.post([done, lease] { done(lease); });
    }
    void put(const std::string& key, const std::string& value, std::uint64_t,
             const ports::completion<std::uint64_t>& done) {
        const bool is_hidden = hides_peers && key.starts_with("entries/");
        values[key] = is_hidden ? "127.0.0.1:1 north-a" : value;
        changes.emplace_back(++revision, key);
        events.post([done, at = revision] { done(at); });
    }

    net::loop& events;
    std::map<std::string, std::string> values;
    std::vector<std::pair<std::uint64_t, std::string>> changes;
    std::uint64_t revision = 1;
    /// Entries register with an address at which nobody listens, as if they were cut off from each other.
    bool hides_peers = false;
    std::deque<net::timer_handle> timers;
};

/// A plain service on the loopback interface that can crash and start again at its address under another id.
struct plain_server {
    plain_server(net::loop& loop, std::size_t index)
        : events(loop), at{"127.0.0." + std::to_string(51 + index), 0}, name("p-" + std::to_string(index)) {
        listen();
    }

    void listen() {
        auto created = net::http_server::create(
            events, {at}, [this](net::http_request request, std::shared_ptr<net::http_response> response) {
                if (net::find_header(request.headers, "x-samphiretray-expect-instance") != id) {
                    const auto attempt = net::find_header(request.headers, "x-samphiretray-attempt-id");
                    response->send(421, {{"x-samphiretray-attempt-id", std::string{attempt}}}, "");
                    return;
                }
                on_request(request, std::move(response));
            });
        REQUIRE(created);
        server = std::move(*created);
        at = server->local_address();
        if (!id.empty()) {
            former_ids.push_back(id);
        }
        id = name + "-" + std::to_string(++born);
    }

    /// Closes all connections and starts again after `downtime`.
    void crash(duration downtime) {
        events.post([stopped = std::shared_ptr<net::http_server>(std::move(server))] {});
        restart = events.after(downtime, [this] { listen(); });
    }

    net::loop& events;
    net::address at;
    std::string name;
    std::string id;
    std::vector<std::string> former_ids;
    std::string software_version = "v1";
    std::uint64_t born = 0;
    std::unique_ptr<net::http_server> server;
    net::timer_handle restart;
    std::function<void(const net::http_request&, const std::shared_ptr<net::http_response>&)> on_request;
};

/// Entries, engines and the engines' agents in one process, all on one event loop. Each engine has a loopback
/// address of its own, on which its agent listens at a port that all agents share.
struct small_fleet {
    using entry_type = gateway::entry_gateway<request_binding, memory_store>;
    using agent_type = gateway::engine_agent<request_binding, engine_client>;

    struct engine_vm {
        engine_vm(small_fleet& fleet, std::size_t index)
            : host("127.0.0." + std::to_string(11 + index)), engine(fleet.events, host) {
            engine.id = "i-" + std::to_string(index);
        }

        std::string host;
        std::string software_version = "v1";
        fake_engine engine;
        std::unique_ptr<engine_client> client;
        std::unique_ptr<agent_type> agent;
    };

    small_fleet(std::size_t entry_count, std::size_t engine_count, std::size_t plain_count = 0) {
        for (std::size_t i = 0; i < plain_count; ++i) {
            plain_servers.push_back(std::make_unique<plain_server>(events, i));
        }
        for (std::size_t i = 0; i < engine_count; ++i) {
            engines.push_back(std::make_unique<engine_vm>(*this, i));
            start_agent(*engines.back());
        }
        for (std::size_t i = 0; i < entry_count; ++i) {
            start_entry(i);
        }
        REQUIRE(events.run_until(
            [&] { return store.values.size() >= entry_count && reports() >= 3 * engine_count; }, hang_limit));
        run_for(300ms);
    }

    void start_agent(engine_vm& vm) {
        gateway::engine_agent_settings settings;
        settings.node.vm = vm.host;
        settings.listen = {vm.host, agent_port};
        settings.control_listen = {vm.host, agent_control_port};
        settings.engine = vm.engine.address();
        settings.service = "engines";
        settings.poll_interval = 20ms;
        vm.agent.reset();
        vm.client = std::make_unique<engine_client>(events, *client,
                                                    engine_client_options{.engine = vm.engine.address(),
                                                                          .owner = vm.host,
                                                                          .order_timeout = 30ms,
                                                                          .recheck_interval = 2ms});
        vm.agent = std::make_unique<agent_type>(events, settings, *vm.client);
        REQUIRE(vm.agent->start());
        vm.agent->apply(state());
        vm.agent->set_fencing_number(5);
    }

    void start_entry(std::size_t index) {
        gateway::gateway_settings settings;
        settings.node.vm = "entry-" + std::to_string(index);
        settings.node.data_centre = "north-a";
        settings.listen = any_port;
        settings.ready_listen = any_port;
        settings.control_listen = control_address(index);
        settings.agent_port = agent_port;
        settings.agent_control_port = agent_control_port;
        entries.resize(std::max(entries.size(), index + 1));
        entries[index] = std::make_unique<entry_type>(events, settings, store);
        REQUIRE(entries[index]->start());
        entries[index]->apply(state());
        register_engines(*entries[index]);
        entries[index]->set_endpoints_complete();
    }

    void register_engines(entry_type& entry) {
        for (std::size_t i = 0; i < engines.size(); ++i) {
            gateway::endpoint value;
            value.id = engines[i]->engine.id;
            value.service = "engines";
            value.address = engines[i]->engine.address();
            value.data_centre = "north-a";
            value.slots = 8;
            value.started_at = engines[i]->engine.born;
            value.software_version = engines[i]->software_version;
            entry.update_endpoint(value);
        }
        for (const auto& each : plain_servers) {
            std::ranges::for_each(each->former_ids,
                                  [&](const std::string& id) { entry.remove_endpoint(id, false); });
            gateway::endpoint value;
            value.id = each->id;
            value.service = "orders";
            value.address = each->at;
            value.data_centre = "north-a";
            value.slots = 8;
            value.started_at = each->born;
            value.software_version = each->software_version;
            entry.update_endpoint(value);
        }
    }

    static net::address control_address(std::size_t entry) {
        return {"127.0.0." + std::to_string(101 + entry), entry_control_port};
    }

    static gateway::routing_state state() {
        gateway::routing_state made;
        made.version = 1;
        made.services = {{"engines", gateway::engine_capacity{8, 100'000, 4, {"m0"}}},
                         {"orders", std::nullopt}};
        gateway::route streams;
        streams.name = "/e/";
        streams.host = "a.example";
        streams.prefix = "/e/";
        streams.kind = gateway::call_kind::streaming;
        streams.services = {{"engines", 1}};
        streams.timeout = 5s;
        gateway::route resumable = streams;
        resumable.name = resumable.prefix = "/r/";
        resumable.resumable = true;
        resumable.max_attempts = 3;
        gateway::route safe = streams;
        safe.name = safe.prefix = "/s/";
        safe.kind = gateway::call_kind::safe;
        safe.services = {{"orders", 1}};
        safe.max_attempts = 2;
        gateway::route unsafe = safe;
        unsafe.name = unsafe.prefix = "/u/";
        unsafe.kind = gateway::call_kind::at_most_once;
        made.routes = {streams, resumable, safe, unsafe};
        made.organisations = {{"coop", {sha256_hex("key")}, std::nullopt, 0, 0, 1},
                              {"shelter", {sha256_hex("other key")}, std::nullopt, 0, 0, 1}};
        return made;
    }

    /// A request and its answer, once it has come.
    struct asked {
        std::optional<result<net::fetched_response>> answer;
        std::unique_ptr<net::http_exchange> exchange;

        [[nodiscard]] int status() const { return answer && *answer ? (*answer)->status : 0; }
    };

    /// Sends a request with these prompt parts to an entry and returns the answer.
    result<net::fetched_response> ask(std::size_t entry, const std::string& parts) {
        const auto sent = send(entry, parts, "m0");
        REQUIRE(events.run_until([&] { return sent->answer.has_value(); }, hang_limit));
        return *sent->answer;
    }

    std::shared_ptr<asked> send(std::size_t entry, const std::string& parts, const std::string& model) {
        return send_to(entry, "/e/1", "", parts, model);
    }

    std::shared_ptr<asked> send_to(std::size_t entry, const std::string& path, const std::string& body,
                                   const std::string& parts = "first:20,own:50",
                                   const std::string& model = "m0", const std::string& key = "key") {
        auto sent = std::make_shared<asked>();
        net::http_call call;
        call.peer = entries[entry]->listen_address();
        call.method = "POST";
        call.target = path;
        call.body = body;
        call.timeout = 5s;
        call.headers = {{"host", "a.example"},
                        {"x-samphiretray-attempt-id", "attempt-" + std::to_string(++attempts)},
                        {"x-samphiretray-credential", key},
                        {"x-samphiretray-deadline-ms", "3000"},
                        {"x-samphiretray-model", model},
                        {"x-samphiretray-token-count", "100,10"},
                        {"x-samphiretray-prompt-prefix", parts}};
        sent->exchange = client->fetch(std::move(call),
                                       [weak = std::weak_ptr{sent}](result<net::fetched_response> answer) {
                                           if (const auto self = weak.lock()) {
                                               self->answer.emplace(std::move(answer));
                                           }
                                       });
        return sent;
    }

    void run_for(duration time) {
        events.run_until([] { return false; }, time);
    }

    [[nodiscard]] std::size_t reports() const {
        std::size_t sum = 0;
        for (const auto& each : engines) {
            sum += static_cast<std::size_t>(each->engine.reports);
        }
        return sum;
    }

    static constexpr std::uint16_t agent_port = 27611;
    static constexpr std::uint16_t agent_control_port = 27612;
    static constexpr std::uint16_t entry_control_port = 27613;

    net::loop events;
    std::unique_ptr<net::http_client> client = net::http_client::create(events);
    memory_store store{events};
    std::vector<std::unique_ptr<engine_vm>> engines;
    std::vector<std::unique_ptr<plain_server>> plain_servers;
    std::vector<std::unique_ptr<entry_type>> entries;
    std::uint64_t attempts = 0;
};

} // namespace samphiretray::platform::testing
