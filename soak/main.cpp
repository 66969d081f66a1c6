#include "samphiretray/base/split.h"
#include "samphiretray/net/http_client.h"

#include "soak/fault_proxy.h"
#include "soak/platform_server.h"
#include "soak/platform_store.h"
#include "soak/promises.h"
#include "tests/process/child_process.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace samphiretray;
using namespace samphiretray::soak;

namespace {

using json = nlohmann::json;

struct options {
    std::uint64_t seed = 1;
    int seconds = 20;
    int entries = 3;
    int engines = 3;
    std::uint16_t port = 21000;
};

constexpr int plain_servers = 2;
constexpr std::uint16_t agent_port = 900;
/// Time for processes and routes to recover after the last fault has ended.
constexpr duration settle_time = 6s;
constexpr duration calm_time = 4s;
/// Part of the requests of the calm end that must be answered.
constexpr double calm_answered = 0.9;
constexpr duration stop_limit = 9s;
constexpr duration call_time = 2s;

/// One process of the system with the link to its store, and to its engine if it has one.
struct process {
    std::string name;
    bool is_entry = false;
    std::filesystem::path settings;
    std::unique_ptr<fault_proxy> store_link;
    std::unique_ptr<fault_proxy> engine_link;
    tests::child_process child;
    net::address control;
    net::address front;
    bool expected_to_end = false;
    bool frozen = false;
};

class soak_run {
public:
    explicit soak_run(options chosen);
    int run();

private:
    [[nodiscard]] net::address at(int host, int offset) const {
        return {"127.0.0." + std::to_string(host), static_cast<std::uint16_t>(options_.port + offset)};
    }
    [[nodiscard]] std::size_t pick(std::size_t below) { return random_() % below; }
    [[nodiscard]] duration pick_time(int least_ms, int most_ms) {
        return std::chrono::milliseconds{
            least_ms + static_cast<int>(pick(static_cast<std::size_t>(most_ms - least_ms)))};
    }

    void add_entry(int index);
    void add_engine(int index);
    void add_plain(int index);
    void write_settings(process& of, json settings);
    void start(process& of);
    void write_configuration();
    void register_servers();
    void watch_processes();
    void send_request(const std::string& key, const std::string& organisation);
    void ask_configuration(process& of);
    void inject_fault();
    void later(duration delay, std::function<void()> action);
    void fault_process(process& of);
    void fault_link(fault_proxy& link);
    void heal();
    void print(const std::string& fault) const;
    [[nodiscard]] int report(time_point calm_since);

    options options_;
    std::mt19937_64 random_;
    net::loop loop_;
    std::unique_ptr<net::http_client> client_ = net::http_client::create(loop_);
    promises checks_{loop_.now()};
    time_point started_ = loop_.now();
    std::filesystem::path folder_;
    platform_store store_;
    std::vector<std::unique_ptr<process>> processes_;
    std::vector<std::unique_ptr<platform_server>> servers_;
    std::vector<std::unique_ptr<fault_proxy>> server_links_;
    std::map<std::string, std::string> registered_;
    std::vector<net::timer_handle> timers_;
    std::map<std::uint64_t, std::unique_ptr<net::http_exchange>> calls_;
    std::uint64_t next_call_ = 0;
    std::uint64_t version_ = 0;
    std::string key_ = "key-1";
    std::string old_key_;
    bool stopping_ = false;
};

soak_run::soak_run(options chosen)
    : options_(chosen), random_(chosen.seed),
      folder_(std::filesystem::temp_directory_path() /
              ("samphiretray-soak-" + std::to_string(::getpid()) + "-" + std::to_string(chosen.seed))),
      store_(loop_, {"127.0.0.1", chosen.port}) {
    std::filesystem::create_directories(folder_);
    checks_.limit("small", 3000, 6000);
    write_configuration();
    for (int i = 0; i < options_.engines; ++i) {
        add_engine(i);
    }
    for (int i = 0; i < plain_servers; ++i) {
        add_plain(i);
    }
    register_servers();
    for (int i = 0; i < options_.entries; ++i) {
        add_entry(i);
    }
}

void soak_run::later(duration delay, std::function<void()> action) {
    timers_.push_back(loop_.after(delay, std::move(action)));
}

void soak_run::print(const std::string& fault) const {
    std::printf("%6lld ms %s\n", static_cast<long long>(milliseconds_in(loop_.now() - started_)),
                fault.c_str());
    std::fflush(stdout);
}

void soak_run::write_settings(process& of, json settings) {
    settings["vm"] = of.name;
    settings["region"] = "north";
    settings["data_centre"] = "north-a";
    settings["drain_limit_ms"] = 8000;
    of.settings = folder_ / (of.name + ".json");
    std::ofstream{of.settings} << settings.dump(2);
}

void soak_run::start(process& of) {
    ::setenv("SAMPHIRETRAY_CONFIG", of.settings.c_str(), 1);
    of.expected_to_end = false;
    of.frozen = false;
    of.child =
        tests::child_process({SAMPHIRETRAY_BIN_DIR "/samphiretray", of.is_entry ? "gateway" : "engine-agent"},
                             folder_, folder_ / (of.name + ".log"));
}

void soak_run::add_entry(int index) {
    auto added = std::make_unique<process>();
    const int host = 101 + index;
    added->name = "entry-" + std::to_string(index);
    added->is_entry = true;
    added->front = at(host, 1);
    added->control = at(host, 3);
    added->store_link = std::make_unique<fault_proxy>(at(host, 4), at(1, 0));
    write_settings(*added, {{"store", net::to_string(at(host, 4))},
                            {"listen", net::to_string(added->front)},
                            {"ready_listen", net::to_string(at(host, 2))},
                            {"control_listen", net::to_string(added->control)},
                            {"agent_port", options_.port + agent_port},
                            {"data_centres", json::array({{{"name", "north-a"}, {"region", "north"}}})}});
    start(*added);
    processes_.push_back(std::move(added));
}

void soak_run::add_engine(int index) {
    const int host = 11 + index;
    servers_.push_back(
        std::make_unique<platform_server>(loop_,
                                          server_description{"engine-" + std::to_string(index), "engines",
                                                             "north-a", at(host, 1), at(host, 1), true},
                                          checks_));
    auto agent = std::make_unique<process>();
    agent->name = "agent-" + std::to_string(index);
    agent->control = at(host, 3);
    agent->store_link = std::make_unique<fault_proxy>(at(host, 4), at(1, 0));
    agent->engine_link = std::make_unique<fault_proxy>(at(host, 5), at(host, 1));
    write_settings(*agent, {{"store", net::to_string(at(host, 4))},
                            {"listen", net::to_string(at(host, agent_port))},
                            {"control_listen", net::to_string(agent->control)},
                            {"engine", net::to_string(at(host, 5))},
                            {"service", "engines"}});
    start(*agent);
    processes_.push_back(std::move(agent));
}

void soak_run::add_plain(int index) {
    const int host = 51 + index;
    server_links_.push_back(std::make_unique<fault_proxy>(at(host, 2), at(host, 1)));
    servers_.push_back(
        std::make_unique<platform_server>(loop_,
                                          server_description{"plain-" + std::to_string(index), "orders",
                                                             "north-a", at(host, 1), at(host, 2), false},
                                          checks_));
}

void soak_run::write_configuration() {
    const auto make_route = [](const char* prefix, const char* kind, const char* service, int attempts) {
        return json{{"name", prefix},    {"hostname", "soak.example"}, {"prefix", prefix},
                    {"kind", kind},      {"service", service},         {"maxAttempts", attempts},
                    {"timeoutMs", 1500}, {"targetLatencyMs", 300},     {"priority", 1}};
    };
    const json engine{{"slots", 16},
                      {"kvCapacityTokens", 100'000},
                      {"adapterSlots", 3},
                      {"models", json::array({{{"name", "m0"}}})}};
    const json configuration{
        {"version", ++version_},
        {"routes",
         json::array({make_route("/s/", "safe", "orders", 2), make_route("/u/", "unsafe", "orders", 2),
                      make_route("/e/", "streaming", "engines", 2)})},
        {"services", json::array({{{"name", "engines"}, {"engine", engine}}, {{"name", "orders"}}})},
        {"tenants", json::array({{{"name", "large"}, {"apiKeys", json::array({key_})}},
                                 {{"name", "small"},
                                  {"apiKeys", json::array({"key-small"})},
                                  {"ratePerS", 3000},
                                  {"burst", 6000}}})}};
    store_.write("op/config", configuration.dump());
}

/// Servers write their entries as heartbeats do; those of servers that are down vanish.
void soak_run::register_servers() {
    for (const auto& server : servers_) {
        const std::string key = "servers/" + server->id();
        if (server->is_up()) {
            const std::string entry = server->entry();
            if (std::exchange(registered_[key], entry) != entry || !store_.contains(key)) {
                store_.write(key, entry);
            }
        }
    }
    std::vector<std::string> gone;
    for (const auto& [key, entry] : registered_) {
        const bool is_up = std::ranges::any_of(servers_, [&key = key](const auto& each) {
            return each->is_up() && "servers/" + each->id() == key;
        });
        if (!is_up) {
            gone.push_back(key);
        }
    }
    for (const std::string& key : gone) {
        registered_.erase(key);
        store_.remove(key);
    }
}

void soak_run::watch_processes() {
    for (const auto& each : processes_) {
        if (!each->child.has_ended()) {
            if (!each->frozen) {
                ask_configuration(*each);
            }
            continue;
        }
        if (!each->expected_to_end) {
            checks_.process_ended(each->name);
        }
        if (!stopping_) {
            start(*each);
        }
    }
}

void soak_run::ask_configuration(process& of) {
    if (!of.is_entry) {
        return;
    }
    net::http_call call;
    call.peer = of.control;
    call.target = "/usage";
    call.timeout = 300ms;
    const std::uint64_t id = next_call_++;
    calls_[id] =
        client_->fetch(std::move(call), [this, id, name = of.name](const result<net::http_answer>& answer) {
            if (answer && answer->status == 200) {
                const json report = json::parse(answer->body, nullptr, false);
                if (report.is_object()) {
                    checks_.configuration_seen(name, report.value("incarnation", ""),
                                               report.value("configuration", 0));
                }
            }
            loop_.post([this, id] { calls_.erase(id); });
        });
}

void soak_run::send_request(const std::string& key, const std::string& organisation) {
    std::vector<process*> entries;
    for (const auto& each : processes_) {
        if (each->is_entry) {
            entries.push_back(each.get());
        }
    }
    const std::size_t drawn = pick(10);
    const request_kind kind = drawn < 3   ? request_kind::safe
                              : drawn < 6 ? request_kind::at_most_once
                                          : request_kind::stream;
    const std::uint64_t id = next_call_++;
    const std::string attempt = "a" + std::to_string(options_.seed) + "-" + std::to_string(id);
    net::http_call call;
    call.peer = entries[pick(entries.size())]->front;
    call.method = "POST";
    call.target = kind == request_kind::safe ? "/s/1" : kind == request_kind::at_most_once ? "/u/1" : "/e/1";
    call.body = "body of " + attempt;
    call.timeout = call_time;
    call.headers = {{"host", "soak.example"},
                    {"x-samphiretray-attempt-id", attempt},
                    {"x-samphiretray-deadline-ms", "1800"},
                    {"x-samphiretray-credential", key},
                    {"x-samphiretray-token-count", organisation == "small" ? "5000,20" : "500,20"}};
    if (kind == request_kind::stream) {
        const std::size_t adapter = std::min(pick(8), pick(8));
        call.headers.push_back({"x-samphiretray-model", "m0/a" + std::to_string(adapter)});
    }
    checks_.attempt_sent(attempt, kind, organisation, loop_.now());
    calls_[id] = client_->fetch(std::move(call), [this, id, attempt](const result<net::http_answer>& answer) {
        if (answer) {
            checks_.attempt_answered(attempt, answer->status, answer->body == whole_answer(attempt),
                                     loop_.now());
        } else {
            checks_.attempt_lost(attempt);
        }
        loop_.post([this, id] { calls_.erase(id); });
    });
}

void soak_run::fault_process(process& of) {
    const std::size_t kind = pick(3);
    if (kind == 0) {
        print("kill " + of.name);
        of.expected_to_end = true;
        of.child.kill();
    } else if (kind == 1) {
        print("stop " + of.name);
        of.expected_to_end = true;
        of.child.signal(SIGTERM);
    } else {
        print("pause " + of.name);
        of.frozen = true;
        of.child.signal(SIGSTOP);
        later(pick_time(200, 2500), [&of] {
            of.child.signal(SIGCONT);
            of.frozen = false;
        });
    }
}

void soak_run::fault_link(fault_proxy& link) {
    constexpr auto faults =
        std::to_array({link_fault::delayed, link_fault::reset, link_fault::one_way, link_fault::silent});
    link.set(faults[pick(faults.size())]);
    later(pick_time(200, 2500), [&link] { link.set(link_fault::none); });
}

void soak_run::inject_fault() {
    process& of = *processes_[pick(processes_.size())];
    platform_server& server = *servers_[pick(servers_.size())];
    switch (pick(9)) {
    case 0:
    case 1:
        fault_process(of);
        break;
    case 2:
        print("fault on the store link of " + of.name);
        fault_link(*of.store_link);
        break;
    case 3:
        if (of.engine_link) {
            print("fault on the engine link of " + of.name);
            fault_link(*of.engine_link);
        }
        break;
    case 4: {
        print("fault on the link to a plain server");
        fault_link(*server_links_[pick(server_links_.size())]);
        break;
    }
    case 5: {
        print("fault of the store");
        constexpr auto faults =
            std::to_array({store_fault::refusing, store_fault::silent, store_fault::losing});
        store_.set(faults[pick(faults.size())]);
        later(pick_time(200, 3000), [this] { store_.set(store_fault::none); });
        if (pick(3) == 0) {
            store_.compact();
        }
        break;
    }
    case 6:
        print("crash of " + server.id());
        server.crash(pick_time(100, 1500));
        break;
    case 7:
        print("lost answers or late orders of " + server.id());
        pick(2) == 0 ? server.lose_answers(true) : server.delay_orders(true);
        later(pick_time(200, 2500), [&server] {
            server.lose_answers(false);
            server.delay_orders(false);
        });
        break;
    default:
        print("configuration changes");
        write_configuration();
        store_.write("op/version/m0.a" + std::to_string(pick(3)),
                     json{{"model", "m0"}, {"adapter", "a0"}, {"version", version_}}.dump());
        break;
    }
    later(pick_time(50, 900), [this] {
        if (!stopping_ && loop_.now() - started_ < std::chrono::seconds{options_.seconds}) {
            inject_fault();
        }
    });
}

void soak_run::heal() {
    print("all faults end");
    store_.set(store_fault::none);
    for (const auto& each : processes_) {
        each->store_link->set(link_fault::none);
        if (each->engine_link) {
            each->engine_link->set(link_fault::none);
        }
        each->child.signal(SIGCONT);
        each->frozen = false;
    }
    std::ranges::for_each(server_links_, [](const auto& link) { link->set(link_fault::none); });
    std::ranges::for_each(servers_, [](const auto& server) {
        server->lose_answers(false);
        server->delay_orders(false);
    });
}

int soak_run::run() {
    const net::timer_handle servers = loop_.every(100ms, [this] { register_servers(); });
    const net::timer_handle watched = loop_.every(50ms, [this] { watch_processes(); });
    const net::timer_handle large = loop_.every(9ms, [this] { send_request(key_, "large"); });
    // Many times what the organisation may spend, so that its refusals are what keeps the rate.
    const net::timer_handle small = loop_.every(55ms, [this] { send_request("key-small", "small"); });
    loop_.run_until([] { return false; }, 2s);
    inject_fault();
    loop_.run_until([] { return false; }, std::chrono::seconds{options_.seconds});
    heal();
    old_key_ = std::exchange(key_, "key-2");
    write_configuration();
    loop_.run_until([] { return false; }, settle_time);
    const time_point calm_since = loop_.now();
    // Its key was taken away before the calm began; a run of it would be one for the wrong organisation.
    const net::timer_handle withdrawn =
        loop_.every(100ms, [this] { send_request(old_key_, "nobody, the key is withdrawn"); });
    loop_.run_until([] { return false; }, calm_time);
    return report(calm_since);
}

int soak_run::report(time_point calm_since) {
    stopping_ = true;
    const double part = checks_.answered_part("large", calm_since);
    if (part < calm_answered) {
        checks_.violate("only " + std::to_string(part) + " of the requests of the calm end are answered",
                        loop_.now());
    }
    for (const auto& each : processes_) {
        each->expected_to_end = true;
        each->child.signal(SIGTERM);
    }
    const bool ended = loop_.run_until(
        [this] {
            return std::ranges::all_of(processes_, [](const auto& each) { return each->child.has_ended(); });
        },
        stop_limit);
    if (!ended) {
        checks_.violate("a process has not stopped 9 s after SIGTERM", loop_.now());
    }
    std::printf("seed %llu: %zu requests, %.3f of the calm end answered, %zu violations; logs in %s\n",
                static_cast<unsigned long long>(options_.seed), checks_.sent(), part,
                checks_.violations().size(), folder_.c_str());
    for (const std::string& each : checks_.violations()) {
        std::printf("VIOLATION %s\n", each.c_str());
    }
    if (checks_.violations().empty()) {
        std::filesystem::remove_all(folder_);
    }
    return checks_.violations().empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

/// Reads "--seed 7 --seconds 20 --entries 3 --engines 3 --port 21000".
std::optional<options> parse(int argc, char** argv) {
    options chosen;
    for (int i = 1; i + 1 < argc; i += 2) {
        const std::string_view name = argv[i];
        const auto value = parse_number<std::uint32_t>(argv[i + 1]);
        if (!value) {
            return std::nullopt;
        }
        if (name == "--seed") {
            chosen.seed = *value;
        } else if (name == "--seconds") {
            chosen.seconds = static_cast<int>(*value);
        } else if (name == "--entries") {
            chosen.entries = static_cast<int>(*value);
        } else if (name == "--engines") {
            chosen.engines = static_cast<int>(*value);
        } else if (name == "--port") {
            chosen.port = static_cast<std::uint16_t>(*value);
        } else {
            return std::nullopt;
        }
    }
    return argc % 2 == 1 ? std::optional{chosen} : std::nullopt;
}

} // namespace

int main(int argc, char** argv) {
    const auto chosen = parse(argc, argv);
    if (!chosen) {
        std::fputs("usage: soak [--seed N] [--seconds N] [--entries N] [--engines N] [--port N]\n", stderr);
        return EXIT_FAILURE;
    }
    return soak_run{*chosen}.run();
}
