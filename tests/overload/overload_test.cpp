#include "samphiretray/net/http_client.h"
#include "samphiretray/net/http_server.h"

#include "soak/platform_store.h"
#include "src/net/socket_address.h"
#include "tests/overload/crowd.h"
#include "tests/platform/fake_engine.h"
#include "tests/process/child_process.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// Clients that nobody controls must not make a process exceed the memory of its machine or its descriptors.
// Each case starts the real process with low limits, lets a small crowd of such clients at it, and checks
// that the process lives, that its memory and descriptors stayed under their bounds, and that one ordinary
// request is answered while the crowd is still connected.

using namespace samphiretray;
using namespace samphiretray::tests;
using platform::testing::fake_engine;
using platform::testing::hang_limit;

namespace {

using json = nlohmann::json;

constexpr std::size_t max_body_bytes = 2U << 20U;
constexpr int memory_mb = 96;
constexpr int max_descriptors = 400;
/// Growth of the resident memory over that of the process at rest, for which a quarter of its memory is left.
constexpr std::size_t max_growth = std::size_t{72} << 20U;
constexpr std::size_t crowd_size = 64;
constexpr std::size_t whole = std::size_t{64} << 20U;
constexpr std::size_t small_piece = std::size_t{64} << 10U;

/// Accepts connections, by the kernel alone, and never reads from them.
class silent_server {
public:
    silent_server() {
        const auto target = net::to_socket_address({"127.0.0.1", 0});
        ::bind(descriptor_, target->get(), target->length);
        ::listen(descriptor_, 1024);
    }
    ~silent_server() { ::close(descriptor_); }
    silent_server(const silent_server&) = delete;
    silent_server& operator=(const silent_server&) = delete;

    [[nodiscard]] net::address address() const {
        net::socket_address local;
        local.length = sizeof(local.bytes);
        ::getsockname(descriptor_, local.get(), &local.length);
        return net::from_socket_address(local.get());
    }

private:
    int descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
};

/// A field of /proc/PID/status, in bytes.
std::size_t memory_field(pid_t process, const std::string& name) {
    std::ifstream status{"/proc/" + std::to_string(process) + "/status"};
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name + ":")) {
            return std::stoul(line.substr(name.size() + 1)) << 10U;
        }
    }
    return 0;
}

std::size_t open_descriptors(pid_t process) {
    std::error_code failure;
    const std::filesystem::directory_iterator all{"/proc/" + std::to_string(process) + "/fd", failure};
    return failure ? 0 : static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

net::http_headers answer_headers(const net::http_request& request) {
    return {{"x-samphiretray-attempt-id",
             std::string{net::find_header(request.headers, "x-samphiretray-attempt-id")}},
            {"x-samphiretray-server-seal", "seal"}};
}

/// The store, the servers and one process of the system, which is an entry or an agent.
class overload_fixture {
public:
    explicit overload_fixture(bool is_entry)
        : port_(static_cast<std::uint16_t>(23000 + ::getpid() % 400 * 10)), is_entry_(is_entry),
          store_(events, at(0)) {
        engine_.on_request = [this](const auto& request, const auto& response) { answer(request, response); };
        std::filesystem::create_directories(folder_);
        write_store();
        std::ofstream{folder_ / "settings.json"} << settings().dump(2);
        ::setenv("SAMPHIRETRAY_CONFIG", (folder_ / "settings.json").c_str(), 1);
        // Freed memory that the address sanitizer keeps is not memory that clients make the process hold.
        ::setenv("ASAN_OPTIONS", "quarantine_size_mb=1:thread_local_quarantine_size_kb=64", 1);
        child_ = child_process({SAMPHIRETRAY_BIN_DIR "/samphiretray", is_entry ? "gateway" : "engine-agent"},
                               folder_, folder_ / "log");
        REQUIRE(is_served());
        memory_at_rest_ = memory_field(child_.id(), "VmRSS");
        sampler_ = events.every(
            5ms, [this] { most_descriptors_ = std::max(most_descriptors_, open_descriptors(child_.id())); });
    }
    ~overload_fixture() {
        child_.kill();
        std::filesystem::remove_all(folder_);
    }
    overload_fixture(const overload_fixture&) = delete;
    overload_fixture& operator=(const overload_fixture&) = delete;

    [[nodiscard]] net::address listen() const { return at(1); }

    /// The head of a request to `path`, without an end. "@" stands for the number of the connection.
    [[nodiscard]] static std::string head(const std::string& path, const std::string& framing) {
        return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Samphiretray-Attempt-Id: crowd-@\r\n" +
               "X-Samphiretray-Deadline-Ms: 60000\r\nX-Samphiretray-Model: m0\r\n" + framing + "\r\n\r\n";
    }
    [[nodiscard]] static std::string length(std::size_t bytes) {
        return "Content-Length: " + std::to_string(bytes);
    }

    void check() {
        CHECK(child_.is_running());
        CHECK(is_served());
        const std::size_t peak = memory_field(child_.id(), "VmHWM");
        CHECK(peak - std::min(peak, memory_at_rest_) <= max_growth);
        CHECK(most_descriptors_ <= max_descriptors);
    }

    net::loop events;

private:
    [[nodiscard]] net::address at(std::uint16_t offset) const {
        return {"127.0.0.1", static_cast<std::uint16_t>(port_ + offset)};
    }

    [[nodiscard]] json settings() const {
        json values{{"vm", "vm-1"},
                    {"region", "north"},
                    {"data_centre", "north-a"},
                    {"store", net::to_string(at(0))},
                    {"listen", net::to_string(at(1))},
                    {"control_listen", net::to_string(at(3))},
                    {"memory_mb", memory_mb},
                    {"max_descriptors", max_descriptors}};
        if (is_entry_) {
            values["ready_listen"] = net::to_string(at(2));
            values["agent_port"] = port_ + 9;
            values["data_centres"] = json::array({{{"name", "north-a"}, {"region", "north"}}});
        } else {
            values["engine"] = net::to_string(engine_.address());
            values["service"] = "engines";
        }
        return values;
    }

    void write_store() {
        const auto route = [](const char* prefix, const char* kind, const char* service) {
            return json{{"name", prefix},     {"hostname", "a.example"}, {"prefix", prefix},
                        {"kind", kind},       {"service", service},      {"maxAttempts", 2},
                        {"timeoutMs", 60000}, {"targetLatencyMs", 1000}, {"priority", 1}};
        };
        const json engine{{"slots", 300},
                          {"kvCapacityTokens", 100'000},
                          {"adapterSlots", 2},
                          {"models", json::array({{{"name", "m0"}}})}};
        const json configuration{
            {"version", 1},
            {"routes", json::array({route("/s/", "safe", "orders"), route("/e/", "streaming", "orders"),
                                    route("/x/", "safe", "stuck")})},
            {"services",
             json::array(
                 {{{"name", "engines"}, {"engine", engine}}, {{"name", "orders"}}, {{"name", "stuck"}}})},
            {"limits", {{"maxBodyBytes", max_body_bytes}, {"idleTimeoutMs", 60000}}}};
        store_.write("op/config", configuration.dump());
        write_server("i-1", "orders", server_->local_address());
        write_server("i-2", "stuck", stuck_.address());
    }

    void write_server(const std::string& id, const char* service, const net::address& address) {
        store_.write("servers/" + id, json{{"service", service},
                                           {"address", net::to_string(address)},
                                           {"zone", "north-a"},
                                           {"slots", 1000},
                                           {"state", "ready"},
                                           {"seq", 1},
                                           {"born", 1},
                                           {"models", json::array()}}
                                          .dump());
    }

    void answer(const net::http_request& request, const std::shared_ptr<net::http_response>& response) {
        if (request.path == "/x/1") {
            unanswered_.push_back(response);
            return;
        }
        if (request.path == "/e/1") {
            response->start(200, answer_headers(request));
            streams_.push_back(events.every(2ms, [response] {
                if (response->buffered_bytes() < small_piece) {
                    response->write("id: 1\ndata: " + std::string(small_piece, 'x') + "\n\n");
                }
            }));
            return;
        }
        // One byte less than the largest answer that an entry collects.
        const std::size_t size = request.path == "/s/large" ? (std::size_t{4} << 20U) - 1 : 5;
        response->send(200, answer_headers(request), std::string(size, 'x'));
    }

    /// Whether one ordinary request, repeated until the process knows its configuration, is answered.
    bool is_served() {
        std::optional<int> status;
        std::unique_ptr<net::http_exchange> exchange;
        int attempt = 0;
        const auto send = [&] {
            net::http_call call;
            call.peer = listen();
            call.method = "POST";
            call.target = "/s/1";
            call.body = "order";
            call.timeout = 10s;
            call.fresh_connection = true;
            call.headers = {{"host", "a.example"},
                            {"x-samphiretray-attempt-id", "own-" + std::to_string(++attempt)},
                            {"x-samphiretray-model", "m0"},
                            {"x-samphiretray-deadline-ms", "8000"}};
            status.reset();
            exchange = client_->fetch(std::move(call), [&](const result<net::fetched_response>& answered) {
                status = answered ? answered->status : 0;
            });
        };
        send();
        const net::timer_handle again = events.every(50ms, [&] {
            if (status && *status != 200) {
                send();
            }
        });
        return events.run_until([&] { return status == 200; }, hang_limit);
    }

    std::uint16_t port_;
    bool is_entry_;
    std::filesystem::path folder_ =
        std::filesystem::temp_directory_path() / ("samphiretray-overload-" + std::to_string(::getpid()));
    soak::platform_store store_;
    std::unique_ptr<net::http_client> client_ = net::http_client::create(events);
    std::unique_ptr<net::http_server> server_ =
        net::http_server::create(
            events, {{"127.0.0.1", 0}},
            [this](const net::http_request& request, const std::shared_ptr<net::http_response>& response) {
                answer(request, response);
            })
            .value();
    silent_server stuck_;
    fake_engine engine_{events};
    std::vector<net::timer_handle> streams_;
    std::vector<std::shared_ptr<net::http_response>> unanswered_;
    child_process child_;
    std::size_t memory_at_rest_ = 0;
    std::size_t most_descriptors_ = 0;
    net::timer_handle sampler_;
};

/// `bytes` of a body in chunks of `chunk` bytes, without the last chunk.
std::string unfinished_chunks(std::size_t bytes, std::size_t chunk) {
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", chunk);
    const std::string one = size + std::string(chunk, 'x') + "\r\n";
    std::string all;
    all.reserve((bytes / chunk + 1) * one.size());
    for (std::size_t sent = 0; sent + chunk <= bytes; sent += chunk) {
        all += one;
    }
    return all;
}

const std::string almost_whole_body(max_body_bytes - 1, 'x');
const std::string whole_body(max_body_bytes, 'x');
constexpr const char* chunked = "Transfer-Encoding: chunked";

void play(bool is_entry, std::size_t size, std::size_t piece, const std::string& head,
          const std::string& body) {
    overload_fixture fixture{is_entry};
    crowd clients{fixture.events, fixture.listen(), size, piece};
    clients.send(head, body);
    fixture.check();
}

} // namespace

TEST_CASE("entry: large bodies that stop just short of their end") {
    play(true, crowd_size, whole, overload_fixture::head("/s/1", overload_fixture::length(max_body_bytes)),
         almost_whole_body);
}

TEST_CASE("entry: large bodies that come piece by piece and stop just short of their end") {
    play(true, crowd_size, small_piece,
         overload_fixture::head("/s/1", overload_fixture::length(max_body_bytes)), almost_whole_body);
}

TEST_CASE("entry: whole large bodies that all wait for their answers") {
    play(true, crowd_size, whole, overload_fixture::head("/x/1", overload_fixture::length(max_body_bytes)),
         whole_body);
}

TEST_CASE("entry: connections that stay open after a large request has been answered") {
    play(true, crowd_size, whole, overload_fixture::head("/s/1", overload_fixture::length(max_body_bytes)),
         whole_body);
}

TEST_CASE("entry: bodies far over the limit whose length is announced") {
    play(true, crowd_size, whole, overload_fixture::head("/s/1", overload_fixture::length(1U << 30U)),
         std::string(16U << 20U, 'x'));
}

TEST_CASE("entry: bodies far over the limit whose length is not announced") {
    play(true, crowd_size, small_piece, overload_fixture::head("/s/1", chunked),
         unfinished_chunks(16U << 20U, 1U << 16U));
}

TEST_CASE("entry: bodies in large chunks that stop just short of their end") {
    play(true, crowd_size, whole, overload_fixture::head("/s/1", chunked),
         unfinished_chunks(max_body_bytes - 1, 1U << 18U));
}

TEST_CASE("entry: bodies in very small chunks that stop just short of their end") {
    play(true, crowd_size, whole, overload_fixture::head("/s/1", chunked),
         unfinished_chunks(max_body_bytes - 1, 8));
}

// h2o starts to read anew behind its interim response, which must not end the count of what it reads.
TEST_CASE("entry: large bodies behind an interim response that stop just short of their end") {
    play(
        true, crowd_size, whole,
        overload_fixture::head("/s/1", "Expect: 100-continue\r\n" + overload_fixture::length(max_body_bytes)),
        almost_whole_body);
}

TEST_CASE("entry: heads that never end") {
    const std::string head = overload_fixture::head("/s/1", "X-Long: ");
    play(true, 300, whole, head.substr(0, head.size() - 4), std::string(380'000, 'x'));
}

TEST_CASE("entry: large answers that their callers never read") {
    play(true, crowd_size, whole, overload_fixture::head("/s/large", overload_fixture::length(0)), "");
}

TEST_CASE("entry: streams that their callers never read") {
    play(true, 200, whole, overload_fixture::head("/e/1", overload_fixture::length(0)), "");
}

TEST_CASE("entry: more connections than descriptors") {
    play(true, 600, whole, overload_fixture::head("/s/1", overload_fixture::length(10)), "xxx");
}

TEST_CASE("agent: large bodies that stop just short of their end") {
    play(false, 2 * crowd_size, whole,
         overload_fixture::head("/s/1", overload_fixture::length(max_body_bytes)), almost_whole_body);
}

TEST_CASE("agent: bodies in small chunks that stop just short of their end") {
    play(false, crowd_size, whole, overload_fixture::head("/s/1", chunked),
         unfinished_chunks(max_body_bytes - 1, 64));
}

TEST_CASE("agent: whole large bodies that wait for an engine without answers") {
    play(false, crowd_size, whole, overload_fixture::head("/x/1", overload_fixture::length(max_body_bytes)),
         whole_body);
}

TEST_CASE("agent: streams that entries never read") {
    play(false, 200, whole, overload_fixture::head("/e/1", overload_fixture::length(0)), "");
}

TEST_CASE("agent: more connections than descriptors") {
    play(false, 600, whole, overload_fixture::head("/s/1", overload_fixture::length(10)), "xxx");
}
