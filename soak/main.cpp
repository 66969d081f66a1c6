#include "samphiretray/base/text.h"
#include "samphiretray/net/http_client.h"

#include "soak/fault_proxy.h"
#include "soak/invariant_checker.h"
#include "soak/platform_server.h"
#include "soak/platform_store.h"
#include "soak/stream_callers.h"
#include "tests/overload/crowd.h"
#include "tests/process/child_process.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
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

/// The last of them belongs to two services in turn.
constexpr int plain_server_count = 3;
/// Where entries reach an agent, behind which it listens, and the same for entries among themselves.
constexpr std::uint16_t agent_port_offset = 900;
constexpr std::uint16_t agent_listen_offset = 901;
constexpr std::uint16_t control_port_offset = 3;
constexpr std::uint16_t entry_peer_offset = 6;
/// Time for processes and routes to recover after the last fault has been cleared.
constexpr duration recovery_time = 6s;
/// The run ends with this long a phase without faults.
constexpr duration fault_free_time = 4s;
/// Fraction of the requests in the phase without faults that must be answered.
constexpr double min_answered_fraction = 0.9;
/// One in so many streams has the prompt part on which engines crash.
constexpr std::size_t crashing_one_in = 20;
/// Most crashes on it in the phase without faults, as the operators allow once it has crashed five engines.
constexpr std::size_t max_late_prompt_crashes = 3;
/// The crashing requests: one of each kind, sent again and again at any entry. Each may crash as many servers
/// in the phase without faults.
constexpr std::array crashing_paths{"/s/1", "/u/1", "/e/1"};
constexpr std::size_t max_late_request_crashes = 3;
constexpr duration crashing_interval = 150ms;
constexpr duration store_copy_interval = 1500ms;
/// An evacuation has to be in force this soon.
constexpr duration evacuation_limit = 5s;
/// Of each process, in megabytes, and how much of it clients may make it use beyond what it uses at rest.
constexpr int memory_mb = 96;
constexpr std::size_t max_memory_growth = std::size_t{72} << 20U;
/// Clients that send almost whole bodies and stay.
constexpr std::size_t greedy_clients = 40;
constexpr std::size_t greedy_body_bytes = std::size_t{3} << 20U;
/// Processes must exit this soon after SIGTERM.
constexpr duration stop_timeout = 9s;
constexpr duration call_timeout = 2s;
constexpr duration stream_interval = 60ms;
/// The first entry accepts connections as if its link carried no more than this.
constexpr double thin_link_mbps = 40;
constexpr std::string_view attempt_header = "x-samphiretray-attempt-id";
/// Callers of the faulty phase come back once with what was refused as not run.
constexpr duration return_pause = 30ms;
/// One in so many requests of the faulty phase has a short deadline, or a caller that leaves soon.
constexpr std::size_t hurried_one_in = 3;
constexpr std::size_t leaving_one_in = 12;
/// Pauses of a process that gets too little processor time.
constexpr int stutter_count = 10;

/// A process of the system, with the fault proxies on its connections to the store and, for an agent, to its
/// engine, and on those of entries to it.
struct process {
    std::string name;
    bool is_entry = false;
    std::filesystem::path settings;
    std::unique_ptr<fault_proxy> store_link;
    std::unique_ptr<fault_proxy> engine_link;
    std::unique_ptr<fault_proxy> entry_link;
    tests::child_process child;
    net::address control_address;
    /// Where an entry accepts requests.
    net::address request_address;
    bool expected_to_end = false;
    /// Resident memory shortly after the start, in bytes; 0 if it is not known yet.
    std::size_t memory_at_rest = 0;
    time_point started_at;
    /// Paused by SIGSTOP.
    bool paused = false;
};

class soak_run {
public:
    explicit soak_run(options parsed);
    int run();

private:
    /// Loopback address of host 127.0.0.`host`, at `offset` from the first port.
    [[nodiscard]] net::address at(int host, int offset) const {
        return {"127.0.0." + std::to_string(host), static_cast<std::uint16_t>(options_.port + offset)};
    }
    [[nodiscard]] std::size_t random_below(std::size_t bound) { return random_() % bound; }
    /// At least `min_ms` and below `max_ms`.
    [[nodiscard]] duration random_time(int min_ms, int max_ms) {
        return std::chrono::milliseconds{
            min_ms + static_cast<int>(random_below(static_cast<std::size_t>(max_ms - min_ms)))};
    }

    void add_entry(int index);
    void add_engine(int index);
    void add_plain_server(int index);
    void write_settings(process& target, json settings, std::string_view data_centre);
    void start(process& target);
    void write_configuration();
    void write_release(const std::string& key, const std::string& release);
    void register_servers();
    void check_processes();
    void send_random_request(const std::string& key, const std::string& organisation);
    /// Sends the next of the crashing requests.
    void send_crashing_request();
    void send_attempt(const net::http_call& call, const std::string& attempt, bool comes_back);
    /// Sends a request that was refused as not run once more, as a new attempt at any entry.
    void come_back(net::http_call call, const std::string& refused);
    [[nodiscard]] const process& random_entry();
    void poll_configuration(process& target);
    /// Injects a random fault, and schedules the next one until the fault phase ends.
    void inject_fault();
    void run_after(duration delay, std::function<void()> action);
    void inject_process_fault(process& target);
    void kill_all_entries();
    /// Lets the process run and stand still in turn, so that its timers run late and together.
    void inject_stutter(process& target, int pauses);
    void inject_server_fault(platform_server& server);
    void inject_store_fault();
    void evacuate(bool evacuated);
    /// Lets clients at an entry that send large bodies and never end them.
    void inject_greedy_clients(const process& target);
    void check_memory(process& target);
    /// Brings the store back from its copy; the operator and the servers write what they have written again.
    void restore_store();
    void inject_link_fault(fault_proxy& link, link_fault repetition);
    void clear_faults();
    void print_fault(const std::string& fault) const;
    [[nodiscard]] int report(time_point fault_free_since);

    options options_;
    std::mt19937_64 random_;
    net::loop loop_;
    std::unique_ptr<net::http_client> client_ = net::http_client::create(loop_);
    invariant_checker checker_{loop_.now()};
    time_point started_ = loop_.now();
    std::filesystem::path folder_;
    platform_store store_;
    std::vector<std::unique_ptr<process>> processes_;
    std::vector<std::unique_ptr<platform_server>> servers_;
    std::vector<std::unique_ptr<fault_proxy>> server_links_;
    std::map<std::string, std::string> registrations_;
    /// What the operator has announced, by key.
    std::map<std::string, std::string> releases_;
    std::vector<std::shared_ptr<tests::crowd>> crowds_;
    bool evacuated_ = false;
    std::vector<net::timer_handle> timers_;
    std::map<std::uint64_t, std::unique_ptr<net::http_exchange>> open_calls_;
    std::uint64_t next_call_number_ = 0;
    std::uint64_t version_ = 0;
    std::string key_ = "key-1";
    std::string withdrawn_key_;
    bool stopping_ = false;
    bool has_faults_ = false;
    stream_callers streams_{loop_, *client_, checker_, [this] { return random_entry().request_address; },
                            "s" + std::to_string(options_.seed)};
};

soak_run::soak_run(options parsed)
    : options_(parsed), random_(parsed.seed),
      folder_(std::filesystem::temp_directory_path() /
              ("samphiretray-soak-" + std::to_string(::getpid()) + "-" + std::to_string(parsed.seed))),
      store_(loop_, {"127.0.0.1", parsed.port}) {
    std::filesystem::create_directories(folder_);
    checker_.set_rate_limit("small", 3000, 6000);
    write_configuration();
    for (int i = 0; i < options_.engines; ++i) {
        add_engine(i);
    }
    for (int i = 0; i < plain_server_count; ++i) {
        add_plain_server(i);
    }
    register_servers();
    for (int i = 0; i < options_.entries; ++i) {
        add_entry(i);
    }
}

void soak_run::run_after(duration delay, std::function<void()> action) {
    timers_.push_back(loop_.after(delay, std::move(action)));
}

void soak_run::print_fault(const std::string& fault) const {
    std::printf("%6lld ms %s\n", static_cast<long long>(milliseconds_in(loop_.now() - started_)),
                fault.c_str());
    std::fflush(stdout);
}

void soak_run::write_settings(process& target, json settings, std::string_view data_centre) {
    settings["vm"] = target.name;
    settings["region"] = data_centre == home_data_centre ? "north" : "south";
    settings["data_centre"] = data_centre;
    settings["drain_limit_ms"] = 8000;
    settings["memory_mb"] = memory_mb;
    target.settings = folder_ / (target.name + ".json");
    std::ofstream{target.settings} << settings.dump(2);
}

void soak_run::start(process& target) {
    ::setenv("SAMPHIRETRAY_CONFIG", target.settings.c_str(), 1);
    // Freed memory that the address sanitizer keeps is not memory that clients make the process hold.
    ::setenv("ASAN_OPTIONS", "quarantine_size_mb=1:thread_local_quarantine_size_kb=64", 1);
    target.expected_to_end = false;
    target.paused = false;
    target.memory_at_rest = 0;
    target.started_at = loop_.now();
    target.child = tests::child_process(
        {SAMPHIRETRAY_BIN_DIR "/samphiretray", target.is_entry ? "gateway" : "engine-agent"}, folder_,
        folder_ / (target.name + ".log"));
}

void soak_run::add_entry(int index) {
    auto added = std::make_unique<process>();
    const int host = 101 + index;
    added->name = "entry-" + std::to_string(index);
    added->is_entry = true;
    added->request_address = at(host, 1);
    added->control_address = at(host, control_port_offset);
    added->store_link = std::make_unique<fault_proxy>(at(host, 4), at(1, 0));
    added->entry_link = std::make_unique<fault_proxy>(at(host, entry_peer_offset), added->control_address);
    store_.translate("entries/", net::to_string(added->control_address),
                     net::to_string(at(host, entry_peer_offset)));
    write_settings(*added,
                   {{"store", net::to_string(at(host, 4))},
                    {"listen", net::to_string(added->request_address)},
                    {"ready_listen", net::to_string(at(host, 2))},
                    {"control_listen", net::to_string(added->control_address)},
                    {"agent_port", options_.port + agent_port_offset},
                    {"agent_control_port", options_.port + control_port_offset},
                    {"link_mbps", index == 0 ? thin_link_mbps : 0},
                    {"data_centres", json::array({{{"name", home_data_centre}, {"region", "north"}},
                                                  {{"name", other_data_centre}, {"region", "south"}}})}},
                   home_data_centre);
    start(*added);
    processes_.push_back(std::move(added));
}

void soak_run::add_engine(int index) {
    const int host = 11 + index;
    const std::string data_centre{index % 3 == 2 ? other_data_centre : home_data_centre};
    servers_.push_back(
        std::make_unique<platform_server>(loop_,
                                          server_description{"engine-" + std::to_string(index), "engines", "",
                                                             data_centre, at(host, 1), at(host, 1), true},
                                          checker_));
    auto agent = std::make_unique<process>();
    agent->name = "agent-" + std::to_string(index);
    agent->control_address = at(host, control_port_offset);
    agent->store_link = std::make_unique<fault_proxy>(at(host, 4), at(1, 0));
    agent->engine_link = std::make_unique<fault_proxy>(at(host, 5), at(host, 1));
    agent->entry_link =
        std::make_unique<fault_proxy>(at(host, agent_port_offset), at(host, agent_listen_offset));
    write_settings(*agent,
                   {{"store", net::to_string(at(host, 4))},
                    {"listen", net::to_string(at(host, agent_listen_offset))},
                    {"control_listen", net::to_string(agent->control_address)},
                    {"engine", net::to_string(at(host, 5))},
                    {"evacuation_limit_ms", milliseconds_in(evacuation_limit)},
                    {"service", "engines"}},
                   data_centre);
    start(*agent);
    processes_.push_back(std::move(agent));
}

void soak_run::add_plain_server(int index) {
    const int host = 51 + index;
    server_links_.push_back(std::make_unique<fault_proxy>(at(host, 2), at(host, 1)));
    servers_.push_back(std::make_unique<platform_server>(
        loop_,
        server_description{"plain-" + std::to_string(index), "orders",
                           index == plain_server_count - 1 ? "lookups" : "",
                           std::string{index % 2 == 1 ? other_data_centre : home_data_centre}, at(host, 1),
                           at(host, 2), false},
        checker_));
}

void soak_run::write_configuration() {
    const auto make_route = [](const char* prefix, const char* kind, const char* service, int attempts) {
        return json{{"name", prefix},    {"hostname", "soak.example"}, {"prefix", prefix},
                    {"kind", kind},      {"service", service},         {"maxAttempts", attempts},
                    {"timeoutMs", 1500}, {"targetLatencyMs", 300},     {"priority", 1}};
    };
    json home = make_route("/h/", "safe", "orders", 2);
    json resumable = make_route("/r/", "streaming", "engines", 3);
    resumable["resumable"] = true;
    resumable["timeoutMs"] = 2800;
    home["allowedRegions"] = json::array({"north"});
    const json engine{{"slots", 16},
                      {"kvCapacityTokens", 100'000},
                      {"adapterSlots", 3},
                      {"models", json::array({{{"name", "m0"}}})}};
    const json configuration{
        {"version", ++version_},
        {"routes",
         json::array({make_route("/s/", "safe", "orders", 2), make_route("/u/", "unsafe", "orders", 2),
                      make_route("/l/", "unsafe", "lookups", 2), make_route("/e/", "streaming", "engines", 2),
                      home, resumable})},
        {"services", json::array({{{"name", "engines"},
                                   {"engine", engine},
                                   {"coldS", std::chrono::duration<double>(cold_time).count()},
                                   {"coldPerS", cold_requests_per_s}},
                                  {{"name", "orders"}},
                                  {{"name", "lookups"}}})},
        {"tenants", json::array({{{"name", "large"}, {"apiKeys", json::array({key_})}},
                                 {{"name", "small"},
                                  {"apiKeys", json::array({"key-small"})},
                                  {"ratePerS", 3000},
                                  {"burst", 6000}}})}};
    store_.write("op/config", configuration.dump());
}

/// Writes the registrations of the running servers that changed, and removes those of servers that are down.
void soak_run::register_servers() {
    for (const auto& server : servers_) {
        const std::string key = "servers/" + server->id();
        if (server->is_up()) {
            const std::string registration = server->registration();
            if (std::exchange(registrations_[key], registration) != registration || !store_.contains(key)) {
                store_.write(key, registration);
            }
        }
    }
    std::vector<std::string> removed;
    for (const auto& [key, registration] : registrations_) {
        const bool is_up = std::ranges::any_of(servers_, [&key = key](const auto& each) {
            return each->is_up() && "servers/" + each->id() == key;
        });
        if (!is_up) {
            removed.push_back(key);
        }
    }
    for (const std::string& key : removed) {
        registrations_.erase(key);
        store_.remove(key);
    }
}

void soak_run::check_processes() {
    for (const auto& each : processes_) {
        if (!each->child.has_ended()) {
            if (!each->paused) {
                poll_configuration(*each);
                check_memory(*each);
            }
            continue;
        }
        if (!each->expected_to_end) {
            checker_.on_process_exited(each->name);
        }
        if (!stopping_) {
            start(*each);
        }
    }
}

void soak_run::poll_configuration(process& target) {
    if (!target.is_entry) {
        return;
    }
    net::http_call call;
    call.peer = target.control_address;
    call.target = "/usage";
    call.timeout = 300ms;
    const std::uint64_t id = next_call_number_++;
    open_calls_[id] = client_->fetch(
        std::move(call), [this, id, name = target.name](const result<net::fetched_response>& answer) {
            if (answer && answer->status == 200) {
                const json report = json::parse(answer->body, nullptr, false);
                if (report.is_object()) {
                    checker_.on_configuration_reported(name, report.value("incarnation", ""),
                                                       report.value("configuration", 0));
                }
            }
            loop_.post([this, id] { open_calls_.erase(id); });
        });
}

const process& soak_run::random_entry() {
    std::vector<const process*> entries;
    for (const auto& each : processes_) {
        if (each->is_entry) {
            entries.push_back(each.get());
        }
    }
    return *entries[random_below(entries.size())];
}

void soak_run::send_random_request(const std::string& key, const std::string& organisation) {
    const std::size_t drawn = random_below(10);
    const request_kind kind = drawn < 3   ? request_kind::safe
                              : drawn < 6 ? request_kind::at_most_once
                                          : request_kind::stream;
    const std::uint64_t id = next_call_number_++;
    const std::string attempt = "a" + std::to_string(options_.seed) + "-" + std::to_string(id);
    net::http_call call;
    call.peer = random_entry().request_address;
    call.method = "POST";
    const bool has_home = kind == request_kind::safe && random_below(2) == 0;
    const bool is_lookup = has_faults_ && kind == request_kind::at_most_once && random_below(4) == 0;
    call.target = has_home                             ? "/h/1"
                  : kind == request_kind::safe         ? "/s/1"
                  : is_lookup                          ? "/l/1"
                  : kind == request_kind::at_most_once ? "/u/1"
                                                       : "/e/1";
    call.body = "body of " + attempt;
    const bool is_hurried = has_faults_ && random_below(hurried_one_in) == 0;
    const bool leaves = has_faults_ && random_below(leaving_one_in) == 0;
    const duration deadline = is_hurried ? random_time(30, 350) : duration{1800ms};
    call.timeout = leaves ? random_time(10, 300) : call_timeout;
    call.headers = {{"host", "soak.example"},
                    {std::string{attempt_header}, attempt},
                    {"x-samphiretray-deadline-ms", std::to_string(milliseconds_in(deadline))},
                    {"x-samphiretray-credential", key},
                    {"x-samphiretray-token-count", organisation == "small" ? "5000,20" : "500,20"}};
    if (kind == request_kind::stream) {
        const std::size_t adapter = std::min(random_below(8), random_below(8));
        call.headers.push_back({"x-samphiretray-model", "m0/a" + std::to_string(adapter)});
    }
    const bool crashes_engines = kind == request_kind::stream && random_below(crashing_one_in) == 0;
    if (kind == request_kind::stream) {
        call.headers.push_back({"x-samphiretray-prompt-prefix",
                                "system:50,document" + std::to_string(random_below(20)) + ":100," +
                                    (crashes_engines ? std::string{crashing_part} + "," : "") + "own" +
                                    std::to_string(id) + ":20"});
    }
    checker_.on_attempt_sent(attempt, kind, organisation, crashes_engines, loop_.now());
    const bool may_come_back = has_faults_ && kind != request_kind::safe && organisation == "large";
    send_attempt(std::move(call), attempt, may_come_back && !crashes_engines);
}

void soak_run::send_attempt(const net::http_call& call, const std::string& attempt, bool comes_back) {
    const std::uint64_t id = next_call_number_++;
    open_calls_[id] = client_->fetch(
        call, [this, id, attempt, call, comes_back](const result<net::fetched_response>& answer) {
            if (answer) {
                checker_.on_attempt_answered(attempt, answer->status, answer->body == expected_body(attempt),
                                             loop_.now());
            } else {
                checker_.on_attempt_failed(attempt);
            }
            if (comes_back && answer && promises_not_run(answer->status)) {
                run_after(return_pause, [this, attempt, call] { come_back(call, attempt); });
            }
            loop_.post([this, id] { open_calls_.erase(id); });
        });
}

void soak_run::come_back(net::http_call call, const std::string& refused) {
    const std::string attempt = refused + "r";
    std::ranges::find(call.headers, attempt_header, &net::http_header::name)->value = attempt;
    call.peer = random_entry().request_address;
    checker_.on_attempt_repeated(refused, attempt, loop_.now());
    send_attempt(call, attempt, false);
}

void soak_run::inject_process_fault(process& target) {
    const std::size_t kind = random_below(3);
    if (kind == 0) {
        print_fault("kill " + target.name);
        target.expected_to_end = true;
        target.child.kill();
    } else if (kind == 1) {
        print_fault("stop " + target.name);
        target.expected_to_end = true;
        target.child.signal(SIGTERM);
    } else {
        print_fault("pause " + target.name);
        target.paused = true;
        target.child.signal(SIGSTOP);
        run_after(random_time(200, 2500), [&target] {
            target.child.signal(SIGCONT);
            target.paused = false;
        });
    }
}

void soak_run::kill_all_entries() {
    print_fault("kill all entries");
    for (const auto& each : processes_) {
        if (each->is_entry) {
            each->expected_to_end = true;
            each->child.kill();
        }
    }
}

void soak_run::inject_stutter(process& target, int pauses) {
    target.paused = true;
    target.child.signal(SIGSTOP);
    run_after(random_time(20, 400), [this, &target, pauses] {
        target.child.signal(SIGCONT);
        target.paused = false;
        if (pauses > 1) {
            run_after(random_time(5, 150), [this, &target, pauses] { inject_stutter(target, pauses - 1); });
        }
    });
}

void soak_run::inject_server_fault(platform_server& server) {
    print_fault("announcement or restart of " + server.id());
    constexpr auto announcements =
        std::to_array({announcement::limit, announcement::leaving, announcement::pause});
    constexpr auto restarts =
        std::to_array({restart_kind::new_id, restart_kind::same_id, restart_kind::other_service});
    if (random_below(2) == 0) {
        server.crash(random_time(10, 800), restarts[random_below(restarts.size())]);
        return;
    }
    const announcement told = announcements[random_below(announcements.size())];
    server.announce(told);
    run_after(random_time(200, 2500), [&server, told] {
        server.announce(announcement::none);
        if (told == announcement::leaving) {
            server.crash(200ms);
        }
    });
}

void soak_run::inject_link_fault(fault_proxy& link, link_fault repetition) {
    const auto faults = std::to_array({link_fault::delayed, link_fault::reset, link_fault::one_way,
                                       link_fault::silent, link_fault::unreachable, repetition});
    link.set_fault(faults[random_below(faults.size() - (repetition == link_fault::none ? 1 : 0))]);
    run_after(random_time(200, 2500), [&link] { link.set_fault(link_fault::none); });
}

void soak_run::inject_store_fault() {
    print_fault("store fault");
    constexpr auto faults =
        std::to_array({store_fault::refusing, store_fault::silent, store_fault::lost_replies});
    store_.set_fault(faults[random_below(faults.size())]);
    run_after(random_time(200, 3000), [this] { store_.set_fault(store_fault::none); });
    if (random_below(3) == 0) {
        store_.compact();
    }
}

void soak_run::restore_store() {
    print_fault("the store comes back from an older copy");
    store_.restore();
    write_configuration();
    for (const auto& [key, release] : releases_) {
        store_.write(key, release);
    }
    evacuate(evacuated_);
    registrations_.clear();
    for (const std::string& key : store_.keys("servers/")) {
        registrations_[key] = "";
    }
}

void soak_run::evacuate(bool evacuated) {
    const std::string key = "op/evacuate/" + std::string{other_data_centre};
    print_fault(evacuated ? "evacuation" : "end of the evacuation");
    evacuated_ = evacuated;
    evacuated ? store_.write(key, "{}") : store_.remove(key);
}

void soak_run::inject_greedy_clients(const process& target) {
    print_fault("greedy clients at " + target.name);
    const auto clients = std::make_shared<tests::crowd>(loop_, target.request_address, greedy_clients, 65536);
    clients->begin("POST /s/1 HTTP/1.1\r\nhost: soak.example\r\nx-samphiretray-attempt-id: greedy-@\r\n"
                   "content-length: " +
                       std::to_string(greedy_body_bytes + 1) + "\r\n\r\n",
                   std::string(greedy_body_bytes, 'x'));
    crowds_.push_back(clients);
    timers_.push_back(loop_.every(2ms, [clients] { (void)clients->push(); }));
}

void soak_run::check_memory(process& target) {
    std::ifstream status{"/proc/" + std::to_string(target.child.id()) + "/status"};
    std::size_t resident = 0;
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            resident = std::stoul(line.substr(6)) << 10U;
        }
    }
    if (target.memory_at_rest == 0 && loop_.now() - target.started_at > 300ms) {
        target.memory_at_rest = resident;
    }
    if (target.memory_at_rest > 0 && resident > target.memory_at_rest + max_memory_growth) {
        checker_.add_violation(target.name + " uses " + std::to_string(resident >> 20U) + " MB", loop_.now());
    }
}

void soak_run::write_release(const std::string& key, const std::string& release) {
    releases_[key] = release;
    store_.write(key, release);
}

void soak_run::inject_fault() {
    process& target = *processes_[random_below(processes_.size())];
    platform_server& server = *servers_[random_below(servers_.size())];
    switch (random_below(17)) {
    case 0:
    case 1:
        inject_process_fault(target);
        break;
    case 2:
        print_fault("fault on the connection to the store of " + target.name);
        inject_link_fault(*target.store_link, link_fault::none);
        break;
    case 3:
        if (target.engine_link) {
            print_fault("fault on the connection to the engine of " + target.name);
            inject_link_fault(*target.engine_link, link_fault::repeated_responses);
        }
        break;
    case 4: {
        print_fault("fault on the connection to a plain server");
        inject_link_fault(*server_links_[random_below(server_links_.size())], link_fault::repeated);
        break;
    }
    case 5:
        inject_store_fault();
        break;
    case 6:
        restore_store();
        break;
    case 7:
        print_fault("crash of " + server.id());
        server.crash(random_time(100, 1500));
        break;
    case 8:
        evacuate(!evacuated_);
        break;
    case 9:
        inject_greedy_clients(*processes_.back());
        break;
    case 10:
        print_fault("response faults, refusals or delayed orders at " + server.id());
        switch (random_below(3)) {
        case 0:
            server.set_response_faults(true);
            break;
        case 1:
            server.set_refusing(true);
            break;
        default:
            server.set_delayed_orders(true);
            break;
        }
        run_after(random_time(200, 2500), [&server] {
            server.set_response_faults(false);
            server.set_refusing(false);
            server.set_delayed_orders(false);
        });
        break;
    case 11:
    case 12:
        print_fault("fault on the connections of entries to " + target.name);
        inject_link_fault(*target.entry_link, link_fault::repeated_responses);
        break;
    case 13:
        print_fault("stutter of " + target.name);
        inject_stutter(target, stutter_count);
        if (random_below(2) == 0) {
            print_fault("a plain server cannot be reached meanwhile");
            fault_proxy& link = *server_links_[random_below(server_links_.size())];
            link.set_fault(link_fault::unreachable);
            run_after(random_time(500, 2500), [&link] { link.set_fault(link_fault::none); });
        }
        break;
    case 14:
        inject_server_fault(server);
        break;
    case 15:
        kill_all_entries();
        break;
    default:
        print_fault("configuration change");
        write_configuration();
        write_release("op/version/m0.a" + std::to_string(random_below(3)),
                      json{{"model", "m0"}, {"adapter", "a0"}, {"version", version_}}.dump());
        break;
    }
    run_after(random_time(50, 900), [this] {
        if (!stopping_ && loop_.now() - started_ < std::chrono::seconds{options_.seconds}) {
            inject_fault();
        }
    });
}

void soak_run::clear_faults() {
    print_fault("all faults are cleared");
    store_.set_fault(store_fault::none);
    for (const auto& each : processes_) {
        each->store_link->set_fault(link_fault::none);
        each->entry_link->set_fault(link_fault::none);
        if (each->engine_link) {
            each->engine_link->set_fault(link_fault::none);
        }
        each->child.signal(SIGCONT);
        each->paused = false;
    }
    std::ranges::for_each(server_links_, [](const auto& link) { link->set_fault(link_fault::none); });
    std::ranges::for_each(servers_, [](const auto& server) {
        server->set_response_faults(false);
        server->set_refusing(false);
        server->set_delayed_orders(false);
        server->announce(announcement::none);
    });
}

void soak_run::send_crashing_request() {
    const std::uint64_t id = next_call_number_++;
    const std::string attempt = "d" + std::to_string(options_.seed) + "-" + std::to_string(id);
    const std::string path = crashing_paths[id % crashing_paths.size()];
    const request_kind kind = path == "/s/1"   ? request_kind::safe
                              : path == "/u/1" ? request_kind::at_most_once
                                               : request_kind::stream;
    net::http_call call;
    call.peer = random_entry().request_address;
    call.method = "POST";
    call.target = path;
    call.body = crashing_body;
    call.timeout = call_timeout;
    call.headers = {{"host", "soak.example"},
                    {std::string{attempt_header}, attempt},
                    {"x-samphiretray-deadline-ms", "1800"},
                    {"x-samphiretray-credential", key_},
                    {"x-samphiretray-token-count", "500,20"}};
    if (kind == request_kind::stream) {
        call.headers.push_back({"x-samphiretray-model", "m0"});
        call.headers.push_back({"x-samphiretray-prompt-prefix", "system:50,document1:100,own:20"});
    }
    checker_.on_attempt_sent(attempt, kind, "large", true, loop_.now());
    send_attempt(std::move(call), attempt, false);
}

int soak_run::run() {
    const net::timer_handle servers = loop_.every(100ms, [this] { register_servers(); });
    const net::timer_handle copied = loop_.every(store_copy_interval, [this] { store_.take_copy(); });
    const net::timer_handle checked = loop_.every(50ms, [this] { check_processes(); });
    const net::timer_handle large = loop_.every(9ms, [this] { send_random_request(key_, "large"); });
    // Far more tokens than the organisation may spend, so that only refusals keep it within its limit.
    const net::timer_handle small = loop_.every(55ms, [this] { send_random_request("key-small", "small"); });
    const net::timer_handle crashing = loop_.every(crashing_interval, [this] { send_crashing_request(); });
    const net::timer_handle streams = loop_.every(stream_interval, [this] { streams_.begin(key_, "large"); });
    loop_.run_until([] { return false; }, 2s);
    has_faults_ = true;
    inject_fault();
    loop_.run_until([] { return false; }, std::chrono::seconds{options_.seconds});
    has_faults_ = false;
    clear_faults();
    timers_.clear();
    crowds_.clear();
    evacuate(true);
    for (const auto& each : servers_) {
        if (each->data_centre() == other_data_centre) {
            each->expect_no_runs_from(loop_.now() + evacuation_limit);
        }
    }
    withdrawn_key_ = std::exchange(key_, "key-2");
    write_configuration();
    loop_.run_until([] { return false; }, recovery_time);
    const time_point fault_free_since = loop_.now();
    // The key was withdrawn before this phase; if one of these requests runs, the checker reports a run for
    // the wrong organisation.
    const net::timer_handle withdrawn =
        loop_.every(100ms, [this] { send_random_request(withdrawn_key_, "nobody, the key is withdrawn"); });
    loop_.run_until([] { return false; }, fault_free_time);
    return report(fault_free_since);
}

int soak_run::report(time_point fault_free_since) {
    stopping_ = true;
    const double answered = checker_.answered_fraction("large", fault_free_since);
    if (answered < min_answered_fraction) {
        checker_.add_violation("only " + std::to_string(answered) +
                                   " of the requests of the calm end are answered",
                               loop_.now());
    }
    const std::size_t late_crashes = checker_.prompt_crashes(fault_free_since);
    if (late_crashes > max_late_prompt_crashes) {
        checker_.add_violation(std::to_string(late_crashes) +
                                   " engines crashed on a known prompt part in the calm end",
                               loop_.now());
    }
    std::string request_crashes;
    for (const auto& [path, count] : checker_.request_crashes({})) {
        const std::size_t late = checker_.request_crashes(fault_free_since).at(path);
        request_crashes += " " + path + " " + std::to_string(count) + " (" + std::to_string(late) + ")";
        if (late > max_late_request_crashes) {
            checker_.add_violation(std::to_string(late) + " servers crashed on the known request " + path +
                                       " in the calm end",
                                   loop_.now());
        }
    }
    for (const auto& each : processes_) {
        each->expected_to_end = true;
        each->child.signal(SIGTERM);
    }
    const bool ended = loop_.run_until(
        [this] {
            return std::ranges::all_of(processes_, [](const auto& each) { return each->child.has_ended(); });
        },
        stop_timeout);
    if (!ended) {
        checker_.add_violation("a process has not stopped 9 s after SIGTERM", loop_.now());
    }
    std::printf(
        "seed %llu: %zu requests, %.3f of the calm end answered, %zu crashes on a prompt (%zu in the calm "
        "end), on requests%s, %zu violations; logs in %s\n",
        static_cast<unsigned long long>(options_.seed), checker_.attempt_count(), answered,
        checker_.prompt_crashes({}), late_crashes, request_crashes.c_str(), checker_.violations().size(),
        folder_.c_str());
    const stream_callers::counts& streams = streams_.totals();
    std::printf("streams: %zu begun, %zu whole, %zu taken up, of which %zu went on", streams.begun,
                streams.whole, streams.taken_up, streams.went_on);
    for (const auto& [cause, count] : streams.not_continued) {
        std::printf(", %s: %zu", cause.c_str(), count);
    }
    std::printf("\n");
    for (const std::string& each : checker_.violations()) {
        std::printf("VIOLATION %s\n", each.c_str());
    }
    if (checker_.violations().empty()) {
        std::filesystem::remove_all(folder_);
    }
    return checker_.violations().empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

/// Parses "--seed 7 --seconds 20 --entries 3 --engines 3 --port 21000".
std::optional<options> parse(int argc, char** argv) {
    options parsed;
    for (int i = 1; i + 1 < argc; i += 2) {
        const std::string_view name = argv[i];
        const auto value = parse_number<std::uint32_t>(argv[i + 1]);
        if (!value) {
            return std::nullopt;
        }
        if (name == "--seed") {
            parsed.seed = *value;
        } else if (name == "--seconds") {
            parsed.seconds = static_cast<int>(*value);
        } else if (name == "--entries") {
            parsed.entries = static_cast<int>(*value);
        } else if (name == "--engines") {
            parsed.engines = static_cast<int>(*value);
        } else if (name == "--port") {
            parsed.port = static_cast<std::uint16_t>(*value);
        } else {
            return std::nullopt;
        }
    }
    return argc % 2 == 1 ? std::optional{parsed} : std::nullopt;
}

} // namespace

int main(int argc, char** argv) {
    const auto parsed = parse(argc, argv);
    if (!parsed) {
        std::fputs("usage: soak [--seed N] [--seconds N] [--entries N] [--engines N] [--port N]\n", stderr);
        return EXIT_FAILURE;
    }
    return soak_run{*parsed}.run();
}
