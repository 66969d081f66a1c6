#include "standins/commands.h"

#include "samphiretray/base/file_text.h"
#include "samphiretray/base/hash.h"
#include "samphiretray/base/log.h"

#include "standins/engine_server.h"
#include "standins/kv_server.h"
#include "standins/load_preload.h"
#include "standins/load_runner.h"
#include "standins/option_parser.h"
#include "standins/order_service_server.h"
#include "standins/preset.h"
#include "standins/vm_list_server.h"
#include "standins/weight_store_server.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>

namespace samphiretray::standins {

namespace {

constexpr int exit_violations = 1;
constexpr int exit_usage = 2;
constexpr const char* any_port = "127.0.0.1:0";

int report_error(const error& failure) {
    std::fprintf(stderr, "samphiretray-standins: %s\n", to_string(failure).c_str());
    return exit_usage;
}

int serve(server_host& host, const std::string& name, const std::string& listen, net::http_handler handler) {
    if (const auto listening = host.listen(name, listen, std::move(handler)); !listening) {
        return report_error(listening.error());
    }
    host.run();
    return 0;
}

int run_kv(const std::vector<std::string>& arguments) {
    std::vector<std::string> listen{any_port};
    call_limits limits;
    std::uint32_t seed = 1;
    option_parser options;
    options.add("listen", listen, "[NAME=]ADDRESS,... ; one listener for each region");
    options.add("reads", limits.reads, "reads a second, waiting watches included; 0: no limit");
    options.add("writes", limits.writes, "writes a second; 0: no limit");
    options.add("seed", seed, "seed of random faults");
    if (const auto parsed = options.parse("kv", arguments); !parsed) {
        return report_error(parsed.error());
    }
    net::loop events;
    kv_server server{events, limits, seed};
    server_host host{events};
    for (const std::string& item : listen) {
        const std::size_t equals = item.find('=');
        const std::string name = equals == std::string::npos ? "kv" : item.substr(0, equals);
        const std::string address = equals == std::string::npos ? item : item.substr(equals + 1);
        if (const auto listening = host.listen(name, address, server.handler(name)); !listening) {
            return report_error(listening.error());
        }
    }
    host.run();
    return 0;
}

int run_vm_list(const std::vector<std::string>& arguments) {
    std::string listen = any_port;
    std::string file = "vms.json";
    duration lag = 2s;
    option_parser options;
    options.add("listen", listen, "address");
    options.add("file", file, "JSON file with the list; read again when it changes");
    options.add_ms("lag-ms", lag, "time until a change becomes visible");
    if (const auto parsed = options.parse("vm-list", arguments); !parsed) {
        return report_error(parsed.error());
    }
    net::loop events;
    vm_list_server server{events, file, lag};
    if (const auto started = server.start(); !started) {
        return report_error(started.error());
    }
    server_host host{events};
    return serve(host, "vm-list", listen, server.handler());
}

int run_weight_store(const std::vector<std::string>& arguments) {
    std::string listen = any_port;
    weight_store_options store;
    std::uint32_t seed = 1;
    option_parser options;
    options.add("listen", listen, "address");
    options.add("loads", store.loads_per_second, "loads a second; 0: no limit");
    options.add_ms("load-ms", store.load_time, "time of a load at full speed");
    options.add("full-speed-loads", store.full_speed_loads, "loads in flight at full speed");
    options.add("seed", seed, "seed of random faults");
    if (const auto parsed = options.parse("weight-store", arguments); !parsed) {
        return report_error(parsed.error());
    }
    store.seed = seed;
    net::loop events;
    weight_store_server server{events, store};
    server_host host{events};
    return serve(host, "weight-store", listen, server.handler());
}

void add_engine_options(option_parser& options, engine_options& engine) {
    options.add("name", engine.name, "name of the engine; part of its incarnation");
    options.add("base-model", engine.base_model, "name of the base model");
    options.add("slots", engine.slots, "adapter slots");
    options.add("batch", engine.batch.batch, "requests that run at once");
    options.add_us("step-us", engine.batch.step_base, "time of a step");
    options.add_us("step-per-request-us", engine.batch.step_per_request, "added for each running request");
    options.add_us("prefill-us", engine.batch.prefill_per_token, "added for each uncached prompt token");
    options.add_ms("lag-ms", engine.state_lag, "age of the reported state");
    options.add("check-fencing", engine.checks_fencing, "refuse commands with an old fencing number");
}

int run_engine(const std::vector<std::string>& arguments) {
    std::string listen = any_port;
    std::string store_address;
    engine_options engine;
    option_parser options;
    options.add("listen", listen, "address");
    options.add("weight-store", store_address, "address of the weight store; loads take 250 ms without one");
    add_engine_options(options, engine);
    if (const auto parsed = options.parse("engine", arguments); !parsed) {
        return report_error(parsed.error());
    }
    std::optional<net::address> store;
    if (!store_address.empty()) {
        const auto parsed = net::parse_address(store_address);
        if (!parsed) {
            return report_error(parsed.error());
        }
        store = *parsed;
    }
    // The random suffix gives each process its own incarnation, even if the engine name is the same.
    engine.name += "-" + random_hex(4);
    net::loop events;
    engine_server server{events, engine, store};
    server_host host{events};
    return serve(host, "engine", listen, server.handler());
}

int run_plain_service(const std::vector<std::string>& arguments) {
    std::string listen = any_port;
    std::string name = "plain";
    order_service_options service;
    std::uint32_t seed = 1;
    option_parser options;
    options.add("listen", listen, "address");
    options.add("name", name, "name of the server");
    options.add_ms("order-ms", service.order_time, "time of an order");
    options.add("workers", service.workers, "orders that run at once");
    options.add("seed", seed, "seed of random faults");
    if (const auto parsed = options.parse("plain-service", arguments); !parsed) {
        return report_error(parsed.error());
    }
    service.seed = seed;
    net::loop events;
    order_service_server server{events, name, service};
    server_host host{events};
    return serve(host, name, listen, server.handler());
}

result<load_plan> read_plan(const std::string& file) {
    const auto text = read_text_file(file);
    if (!text) {
        return make_error(errc::invalid_argument, step::settings, "", "cannot read plan " + file);
    }
    const std::string inventory_file = inventory_file_of(*text);
    if (inventory_file.empty()) {
        return parse_load_plan(*text, "");
    }
    const auto inventory = read_text_file(inventory_file);
    if (!inventory) {
        return make_error(errc::invalid_argument, step::settings, "",
                          "cannot read inventory " + inventory_file);
    }
    return parse_load_plan(*text, *inventory);
}

/// Makes every request name its version and drops foreign requests: engines that are called directly neither
/// resolve versions nor check organisations.
void pin_versions(load_plan& plan) {
    for (traffic_source& source : plan.sources) {
        source.pinned = 1;
        source.foreign = 0;
    }
}

int run_load(const std::vector<std::string>& arguments) {
    std::string plan_file = "plan.json";
    bool direct = false;
    option_parser options;
    options.add("plan", plan_file, "plan: JSON with comments");
    options.add("direct", direct, "the targets are engines; their slots are filled first");
    if (const auto parsed = options.parse("load", arguments); !parsed) {
        return report_error(parsed.error());
    }
    auto plan = read_plan(plan_file);
    if (!plan) {
        return report_error(plan.error());
    }
    net::loop events;
    if (direct) {
        pin_versions(*plan);
        const auto client = net::http_client::create(events);
        std::printf("preloaded adapters: %zu\n", preload_adapters(events, *client, *plan));
    }
    load_runner runner{events, *plan, direct ? check_mode::direct : check_mode::system};
    const load_report& report = runner.run();
    std::printf("%s%s\n", report.table().c_str(), report.to_json().dump().c_str());
    return report.wrong() == 0 ? 0 : exit_violations;
}

status write_files(const std::string& folder, const std::map<std::string, std::string>& files) {
    for (const auto& [name, text] : files) {
        const std::filesystem::path path = std::filesystem::path{folder} / name;
        std::error_code failure;
        std::filesystem::create_directories(path.parent_path(), failure);
        std::ofstream stream{path, std::ios::binary};
        stream << text;
        if (!stream.flush()) {
            return make_error(errc::invalid_argument, step::settings, "", "cannot write " + path.string());
        }
    }
    return success();
}

int run_make_inventory(const std::vector<std::string>& arguments) {
    std::string name = "bagwis";
    std::string output = ".";
    std::uint32_t seed = 1;
    std::uint32_t first_port = 0;
    bool reduced = false;
    option_parser options;
    options.add("preset", name, "bagwis or cuenca");
    options.add("seed", seed, "seed of the inventory");
    options.add("output", output, "folder for the files");
    options.add("first-port", first_port, "first of the deployment's 500 ports; 0: as in the preset");
    options.add("reduced", reduced, "fewer VMs and adapters, for one machine");
    if (const auto parsed = options.parse("make-inventory", arguments); !parsed) {
        return report_error(parsed.error());
    }
    auto wanted = find_preset(name);
    if (!wanted) {
        return report_error(make_error(errc::invalid_argument, step::settings, "",
                                       "unknown preset (allowed: bagwis, cuenca): " + name));
    }
    wanted->first_port = first_port == 0 ? wanted->first_port : static_cast<std::uint16_t>(first_port);
    const auto written = write_files(output, make_example(reduced ? reduce(*wanted) : *wanted, seed));
    return written ? 0 : report_error(written.error());
}

} // namespace

const std::vector<command>& commands() {
    static const std::vector<command> all{
        {"kv", "key-value service", run_kv},
        {"vm-list", "VM list", run_vm_list},
        {"engine", "engine with continuous batching", run_engine},
        {"weight-store", "weight store", run_weight_store},
        {"plain-service", "plain service that counts orders", run_plain_service},
        {"load", "load tool that checks the answers", run_load},
        {"make-inventory", "writes the files of an example deployment", run_make_inventory},
    };
    return all;
}

} // namespace samphiretray::standins
