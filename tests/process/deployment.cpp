#include "tests/process/deployment.h"

#include "samphiretray/base/hash.h"
#include "samphiretray/config/editor.h"

#include "standins/preset.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <list>
#include <ranges>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace samphiretray::tests {

namespace {

using nlohmann::json;

const std::string binary_folder = SAMPHIRETRAY_BIN_DIR;

json parse_settings(const std::string& text) {
    return json::parse(text, nullptr, true, true);
}

net::address address_in(const json& settings, const char* field) {
    return net::parse_address(settings.at(field).get<std::string>()).value();
}

std::vector<std::string> split_words(const std::string& line) {
    std::istringstream stream{line};
    std::vector<std::string> words;
    for (std::string word; stream >> word;) {
        words.push_back(word);
    }
    return words;
}

std::vector<std::string> split_lines(const std::string& text) {
    std::istringstream stream{text};
    std::vector<std::string> lines;
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

/// Carries out the reads and writes of a configuration editor against the key-value service.
class edit_executor {
public:
    edit_executor(net::loop& events, ports::http_key_value_service& service, config::editor& edit)
        : loop_(events), service_(service), edit_(edit) {}

    void perform(std::vector<config::editor_action> actions) {
        for (auto& action : actions) {
            if (auto* read = std::get_if<config::read_action>(&action)) {
                run_after(read->delay, [this, key = read->key] {
                    service_.read(key, [this, key](result<ports::versioned_value> answer) {
                        perform(edit_.on_read(key, std::move(answer)));
                    });
                });
            } else {
                auto& write = std::get<config::swap_action>(action);
                run_after(write.delay, [this, swap = write.swap] {
                    service_.compare_and_swap(swap, [this, key = swap.key](result<std::uint64_t> answer) {
                        perform(edit_.on_swap(key, std::move(answer)));
                    });
                });
            }
        }
    }

private:
    void run_after(duration delay, std::function<void()> action) {
        timers_.push_back(loop_.after(delay, std::move(action)));
    }

    net::loop& loop_;
    ports::http_key_value_service& service_;
    config::editor& edit_;
    std::list<net::timer_handle> timers_;
};

} // namespace

deployment::deployment(deployment_options options)
    : options_(std::move(options)),
      folder_(std::filesystem::temp_directory_path() / ("samphiretray-test-" + std::to_string(::getpid()) +
                                                        "-" + std::to_string(options_.first_port))),
      client_(net::http_client::create(loop_)) {
    auto preset = standins::reduce(*standins::find_preset("bagwis"));
    preset.first_port = options_.first_port;
    files_ = standins::make_example(preset, 1);
    std::erase_if(files_, [](const auto& file) { return file.first.empty(); });
    write_files();
    initial_.rules = config::parse_rules(files_.at("rules.json"), "rules.json").value();
    initial_.inventory = config::parse_inventory(files_.at("inventory.json"), "inventory.json").value();
    remove_unstarted_vms();
}

void deployment::write_files() {
    std::filesystem::remove_all(folder_);
    for (auto& [name, text] : files_) {
        const auto path = folder_ / name;
        std::filesystem::create_directories(path.parent_path());
        if (name.starts_with("settings/")) {
            json settings = parse_settings(text);
            settings["log"] = "debug";
            settings.update(options_.settings);
            text = settings.dump(2);
        }
        std::ofstream{path} << text;
    }
}

void deployment::remove_unstarted_vms() {
    edit_vms([this](json& vms) {
        json kept = json::array();
        for (const json& vm : vms) {
            const std::string name =
                vm.value("kind", "") == "entry" ? vm.value("name", "") : vm.value("endpoint", "");
            const bool started = std::ranges::count(options_.entries, name) > 0 ||
                                 std::ranges::count(options_.endpoints, name) > 0;
            if (started) {
                kept.push_back(vm);
            }
        }
        vms = kept;
    });
}

void deployment::edit_vms(const std::function<void(json& vms)>& edit) {
    json list = json::parse(files_.at("vms.json"));
    edit(list.at("vms"));
    files_["vms.json"] = list.dump(2);
    // Replaced by a rename, so that the stand-in never reads a partly written file.
    const auto replacement = folder_ / "vms.json.new";
    std::ofstream{replacement} << files_["vms.json"];
    std::filesystem::rename(replacement, folder_ / "vms.json");
}

std::string deployment::find_standin_command(const std::string& word) const {
    const auto lines = split_lines(files_.at("standins.txt"));
    const auto found = std::ranges::find_if(lines, [&](const std::string& line) {
        const auto words = split_words(line);
        return words.at(0) == word || std::ranges::count(words, word) > 0;
    });
    if (found == lines.end()) {
        throw std::runtime_error("standins.txt has no line with " + word);
    }
    return *found;
}

void deployment::start_standin(const std::string& name, const std::string& command_line) {
    auto words = split_words(command_line);
    if (words.at(0) == "vm-list") {
        // Shortens the delay with which changes of the VM list become visible.
        const auto lag_option = std::ranges::find(words, "--lag-ms");
        *(lag_option + 1) = "100";
    }
    if (words.at(0) == "engine") {
        std::ranges::copy(options_.engine_arguments, std::back_inserter(words));
    }
    words.insert(words.begin(), binary_folder + "/samphiretray-standins");
    processes_[name] = child_process{words, folder_, folder_ / (name + ".log")};
}

void deployment::start_process(const std::string& vm) {
    const std::string role = vm.starts_with("entry") ? "entry" : "agent";
    processes_[vm] =
        child_process{{binary_folder + "/samphiretray", role, "--settings", "settings/" + vm + ".json"},
                      folder_,
                      folder_ / (vm + ".log")};
}

void deployment::start_endpoint(const std::string& endpoint) {
    start_standin(endpoint, find_standin_command(endpoint));
}

void deployment::start() {
    for (const char* const name : {"kv", "vm-list", "weight-store"}) {
        start_standin(name, find_standin_command(name));
    }
    for (const std::string& endpoint : options_.endpoints) {
        start_endpoint(endpoint);
    }
    key_value_ = std::make_unique<ports::http_key_value_service>(
        *client_, ports::http_key_value_options{.service = key_value_address("luzon")});
    if (!wait_until([this] { return responds(key_value_address("luzon"), "/admin/counters"); })) {
        throw std::runtime_error("the key-value stand-in did not respond before the time limit");
    }
    configure([this](config::configuration& value) { value = initial_; });
    for (const std::string& entry : options_.entries) {
        start_process(entry);
    }
    for (const std::string& endpoint : options_.endpoints) {
        start_process("vm-" + endpoint);
    }
    const auto all_ready = [this] {
        const auto ready = [this](const std::string& vm) { return responds(admin_address(vm), "/ready"); };
        return std::ranges::all_of(options_.entries, ready) &&
               std::ranges::all_of(options_.endpoints,
                                   [&](const std::string& endpoint) { return ready("vm-" + endpoint); });
    };
    if (!wait_until(all_ready)) {
        throw std::runtime_error("the deployment did not become ready before the time limit; logs in " +
                                 folder_.string());
    }
}

bool deployment::responds(const net::address& peer, const std::string& target) {
    net::http_call call;
    call.peer = peer;
    call.target = target;
    return run(std::move(call)).status == 200;
}

std::uint64_t deployment::configure(const std::function<void(config::configuration&)>& edit) {
    config::editor transaction{[&edit](config::configuration value) -> result<config::configuration> {
                                   edit(value);
                                   return value;
                               },
                               "test-" + std::to_string(next_token_++)};
    edit_executor executor{loop_, *key_value_, transaction};
    executor.perform(transaction.start());
    if (!wait_until([&] { return transaction.outcome().has_value(); })) {
        throw std::runtime_error("the configuration edit did not complete before the time limit");
    }
    const auto& outcome = *transaction.outcome();
    if (!outcome) {
        throw std::runtime_error(to_string(outcome.error()));
    }
    return *outcome;
}

bool deployment::wait_in_force(std::uint64_t revision, const std::vector<std::string>& vms) {
    return wait_until([&] {
        return std::ranges::all_of(
            vms, [&](const std::string& vm) { return status(vm).value("revision", 0U) >= revision; });
    });
}

net::http_call deployment::call(const std::string& entry, const std::string& path, const std::string& body,
                                const std::string& key) const {
    net::http_call call;
    call.peer = caller_address(entry);
    call.method = "POST";
    call.target = path;
    call.headers = {{"content-type", "application/json"}};
    if (!key.empty()) {
        call.headers.push_back({"authorization", "Bearer " + key});
    }
    call.body = body;
    call.timeout = hang_limit;
    return call;
}

net::http_call deployment::completion(const std::string& entry, const std::string& key,
                                      const std::string& model, std::uint32_t tokens, bool streamed) const {
    const json body{
        {"model", model}, {"prompt", "a broken pole"}, {"max_tokens", tokens}, {"stream", streamed}};
    return call(entry, "/v1/completions", body.dump(), key);
}

std::shared_ptr<pending_call> deployment::send(net::http_call sent) {
    auto pending = std::make_shared<pending_call>();
    const std::weak_ptr<pending_call> weak = pending;
    net::http_call_events events;
    events.on_head = [weak](int status, const net::http_headers& headers) {
        if (const auto call = weak.lock()) {
            call->response.status = status;
            call->response.headers = headers;
        }
    };
    events.on_data = [weak](std::string_view bytes) {
        if (const auto call = weak.lock()) {
            call->response.body += bytes;
        }
    };
    events.on_end = [weak](std::optional<error> failure) {
        if (const auto call = weak.lock()) {
            call->response.failure = std::move(failure);
            call->response.ended = true;
        }
    };
    pending->exchange = client_->send(std::move(sent), std::move(events));
    return pending;
}

call_result deployment::wait(const std::shared_ptr<pending_call>& pending) {
    (void)loop_.run_until([&] { return pending->response.ended; }, hang_limit);
    return pending->response;
}

json deployment::fetch(const net::address& peer, const std::string& target) {
    net::http_call call;
    call.peer = peer;
    call.target = target;
    const auto answer = run(std::move(call));
    return json::parse(answer.body, nullptr, false);
}

void deployment::post(const net::address& peer, const std::string& target, const json& body) {
    net::http_call call;
    call.peer = peer;
    call.method = "POST";
    call.target = target;
    call.headers = {{"content-type", "application/json"}};
    call.body = body.dump();
    if (const auto answer = run(std::move(call)); answer.status >= 300 || answer.status == 0) {
        throw std::runtime_error("POST " + target + " failed: " + answer.body);
    }
}

json deployment::status(const std::string& vm) {
    json found = fetch(admin_address(vm), "/status");
    return found.is_object() ? found : json::object();
}

bool deployment::wait_until(const std::function<bool()>& condition) {
    const time_point end = loop_.now() + hang_limit;
    while (!condition()) {
        if (loop_.now() >= end) {
            return false;
        }
        (void)loop_.run_until([] { return false; }, 50ms);
    }
    return true;
}

json deployment::settings_of(const std::string& vm) const {
    return parse_settings(files_.at("settings/" + vm + ".json"));
}

net::address deployment::endpoint_address(const std::string& endpoint) const {
    return address_in(settings_of("vm-" + endpoint), "endpoint_address");
}

net::address deployment::key_value_address(const std::string& region) const {
    for (const auto& [name, text] : files_) {
        if (name.starts_with("settings/") && parse_settings(text).at("region") == region) {
            return address_in(parse_settings(text), "key_value_service");
        }
    }
    throw std::runtime_error("no settings file of region " + region);
}

net::address deployment::caller_address(const std::string& entry) const {
    return address_in(settings_of(entry), "listen");
}

net::address deployment::admin_address(const std::string& vm) const {
    return address_in(settings_of(vm), "admin_listen");
}

std::string deployment::adapter_of(const std::string& organisation, std::size_t number) const {
    std::vector<const config::adapter_record*> rows;
    for (const auto& row : initial_.inventory) {
        if (row.organisation == organisation && row.current) {
            rows.push_back(&row);
        }
    }
    return rows.at(number)->adapter;
}

} // namespace samphiretray::tests
