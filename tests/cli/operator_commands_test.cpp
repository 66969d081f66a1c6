#include "samphiretray/cli/cli.h"
#include "samphiretray/config/configuration.h"
#include "samphiretray/net/http_server.h"

#include "standins/kv_server.h"
#include "tests/support/sample_configuration.h"

#include <catch2/catch.hpp>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

using namespace samphiretray;

namespace {

[[noreturn]] void serve_key_values(int port_fd) {
    net::loop events;
    standins::kv_server service{events, {}, 1};
    auto server = net::http_server::create(events, {.listen = {"127.0.0.1", 0}}, service.handler("all"));
    const std::uint16_t port = server ? (*server)->local_address().port : 0;
    static_cast<void>(write(port_fd, &port, sizeof port));
    events.run();
    _exit(0);
}

/// Runs the stand-in of the key-value service in a child process, because the commands block.
class key_value_process {
public:
    key_value_process() {
        int ends[2] = {};
        REQUIRE(pipe(ends) == 0);
        child_ = fork();
        if (child_ == 0) {
            serve_key_values(ends[1]);
        }
        std::uint16_t port = 0;
        REQUIRE(read(ends[0], &port, sizeof port) == sizeof port);
        REQUIRE(port != 0);
        address = "127.0.0.1:" + std::to_string(port);
        close(ends[0]);
        close(ends[1]);
    }
    ~key_value_process() {
        kill(child_, SIGKILL);
        waitpid(child_, nullptr, 0);
    }
    key_value_process(const key_value_process&) = delete;
    key_value_process& operator=(const key_value_process&) = delete;

    std::string address;

private:
    pid_t child_ = -1;
};

struct outcome {
    int code = 0;
    std::string output;
};

/// Runs a command and captures its standard output.
outcome run(std::vector<const char*> arguments) {
    std::fflush(stdout);
    std::FILE* file = std::tmpfile();
    const int saved = dup(STDOUT_FILENO);
    dup2(fileno(file), STDOUT_FILENO);
    arguments.push_back(nullptr);
    outcome done;
    done.code = cli::run_cli(static_cast<int>(arguments.size()) - 1, arguments.data());
    std::fflush(stdout);
    dup2(saved, STDOUT_FILENO);
    close(saved);
    std::rewind(file);
    for (int c = std::fgetc(file); c != EOF; c = std::fgetc(file)) {
        done.output += static_cast<char>(c);
    }
    std::fclose(file);
    return done;
}

std::string write_file(const std::string& name, const std::string& text) {
    const std::string path = "/tmp/samphiretray-cli-test-" + std::to_string(getpid()) + "-" + name;
    std::ofstream{path} << text;
    return path;
}

} // namespace

TEST_CASE("check accepts valid files and rejects contradictory rules and unknown options") {
    auto sample = test::sample_configuration(3);
    const std::string rules = write_file("rules.json", config::to_json(sample.rules));
    const std::string inventory = write_file("inventory.json", config::to_json(sample.inventory));
    CHECK(run({"check", rules.c_str(), inventory.c_str()}).code == cli::exit_ok);
    sample.rules.organisations[0].burst = 0;
    const std::string wrong = write_file("rules.json", config::to_json(sample.rules));
    CHECK(run({"check", wrong.c_str(), inventory.c_str()}).code == cli::exit_failure);
    CHECK(run({"check", "/nowhere"}).code == cli::exit_failure);
    CHECK(run({"check"}).code == cli::exit_usage);
    CHECK(run({"check", "--nonsense"}).code == cli::exit_usage);
    CHECK(run({"config", "show"}).code == cli::exit_usage);
    std::remove(rules.c_str());
    std::remove(inventory.c_str());
}

// Covers edits by operators up to the key-value service. Guards against storing a key in plain text.
TEST_CASE("config and key subcommands edit the stored configuration") {
    const key_value_process service;
    const char* kv = service.address.c_str();
    const auto sample = test::sample_configuration(3);
    const std::string rules = write_file("rules.json", config::to_json(sample.rules));
    const std::string inventory = write_file("inventory.json", config::to_json(sample.inventory));
    CHECK(run({"config", "apply", rules.c_str(), inventory.c_str(), "--kv", kv}).output == "revision 1\n");
    CHECK(run({"config", "diff", rules.c_str(), inventory.c_str(), "--kv", kv}).output == "");
    const auto granted = run({"key", "grant", "cuenca", "desk", "--kv", kv});
    REQUIRE(granted.code == cli::exit_ok);
    const std::string key = granted.output.substr(4, 64);
    const std::string digest = granted.output.substr(76, 64);
    const auto listed = run({"key", "list", "--kv", kv});
    CHECK(listed.output.find(digest + " cuenca desk") != std::string::npos);
    const auto shown = run({"config", "show", "--kv", kv});
    CHECK(shown.output.find("\"revision\": 2") != std::string::npos);
    CHECK(shown.output.find(key) == std::string::npos);
    // Applying rules without keys keeps the granted keys.
    auto without_keys = sample.rules;
    without_keys.keys.clear();
    const std::string keyless = write_file("keyless.json", config::to_json(without_keys));
    CHECK(run({"config", "apply", keyless.c_str(), "--kv", kv}).output == "revision 2\n");
    std::remove(keyless.c_str());
    CHECK(run({"key", "grant", "nobody", "--kv", kv}).code == cli::exit_failure);
    CHECK(run({"key", "withdraw", digest.c_str(), "--kv", kv}).output == "revision 3\n");
    CHECK(run({"key", "withdraw", digest.c_str(), "--kv", kv}).code == cli::exit_failure);
    CHECK(run({"config", "import", inventory.c_str(), "--kv", kv}).output == "revision 3\n");
    std::remove(rules.c_str());
    std::remove(inventory.c_str());
}
