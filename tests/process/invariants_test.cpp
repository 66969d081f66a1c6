#include "samphiretray/base/hash.h"

#include "standins/answer_text.h"
#include "tests/process/deployment.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <string>
#include <vector>

using namespace samphiretray;
using nlohmann::json;
using tests::call_result;
using tests::deployment;

namespace {

const std::string homes_key = "key-of-amihan-homes-0001";
const std::string hotels_key = "key-of-sinag-hotels-0002";
const std::string clinics_key = "key-of-balangay-clinics-0003";

void grant_keys(config::configuration& value) {
    value.rules.keys = {{sha256_hex(homes_key), "amihan-homes", "homes"},
                        {sha256_hex(hotels_key), "sinag-hotels", "hotels"},
                        {sha256_hex(clinics_key), "balangay-clinics", "clinics"}};
}

/// Starts the deployment, grants the keys and waits until each entry answers a request with one of them.
void start_with_keys(deployment& system, const std::vector<std::string>& entries) {
    system.start();
    REQUIRE(system.wait_in_force(system.configure(grant_keys), entries));
    const auto admitted = [&](const std::string& entry) {
        return system.run(system.completion(entry, homes_key, system.adapter_of("amihan-homes"))).status ==
               200;
    };
    REQUIRE(system.wait_until([&] { return std::ranges::all_of(entries, admitted); }));
}

std::string text_of(const call_result& answer) {
    const json body = json::parse(answer.body, nullptr, false);
    return body.contains("choices") ? body["choices"][0].value("text", "") : "";
}

std::uint64_t tokens_of(const call_result& answer) {
    const json body = json::parse(answer.body, nullptr, false);
    return body.contains("usage") ? body["usage"].value("total_tokens", 0U) : 0;
}

bool contains_text(const json& value, const std::string& text) {
    return value.dump().find(text) != std::string::npos;
}

} // namespace

// Guards against responses that come from another adapter or belong to another request, against access to an
// adapter of another organisation, and against API keys that are forwarded to an endpoint.
TEST_CASE("requests are answered whole by the adapter they name, for the organisation of their key") {
    const std::vector<std::string> entries{"entry-1", "entry-2"};
    deployment system{{.first_port = 26'000, .entries = entries}};
    start_with_keys(system, entries);

    struct sent_request {
        std::string model;
        std::string prompt;
        std::shared_ptr<tests::pending_call> call;
    };
    std::vector<sent_request> calls;
    for (int i = 0; i < 40; ++i) {
        const std::string adapter = system.adapter_of("amihan-homes", static_cast<std::size_t>(i) % 5);
        const std::string prompt = "pole number " + std::to_string(i);
        const json body{{"model", adapter}, {"prompt", prompt}, {"max_tokens", 12}};
        calls.push_back({adapter, prompt,
                         system.send(system.call(entries[static_cast<std::size_t>(i) % 2], "/v1/completions",
                                                 body.dump(), homes_key))});
    }
    for (const sent_request& each : calls) {
        const call_result answer = system.wait(each.call);
        INFO(answer.body);
        REQUIRE(answer.status == 200);
        CHECK_FALSE(answer.failure);
        const std::string model = answer.header("x-adapter-version");
        CHECK(model.starts_with(each.model + "@"));
        CHECK(standins::check_answer(model, each.prompt, 12, text_of(answer)) ==
              standins::answer_fault::none);
    }

    const auto foreign =
        system.run(system.completion("entry-1", hotels_key, system.adapter_of("amihan-homes")));
    CHECK(foreign.status == 403);
    CHECK(foreign.header("x-outcome") == "not_run");
    CHECK(system.run(system.completion("entry-1", "", system.adapter_of("amihan-homes"))).status == 401);
    CHECK(system.run(system.completion("entry-1", homes_key, "no-such-adapter")).status == 404);
    CHECK(system.run(system.completion("entry-1", homes_key, system.adapter_of("amihan-homes") + "@999"))
              .status == 404);

    const auto order =
        system.run(system.call("entry-2", "/services/orders/orders?api_key=" + homes_key.substr(4),
                               R"({"order":"o-1"})", homes_key));
    CHECK(order.status == 200);
    for (const char* const endpoint : {"engine-1", "engine-2", "orders-1"}) {
        const json seen = system.fetch(system.endpoint_address(endpoint), "/admin/seen");
        CHECK_FALSE(contains_text(seen, homes_key.substr(4)));
        CHECK_FALSE(contains_text(seen, hotels_key));
    }
}

// Guards against a crash on a request body above the limit of 4 MiB, and against an error response that does
// not name the failed step and the peer.
TEST_CASE("a body over the limit is refused by the entry as not run") {
    deployment system{{.first_port = 25'500, .entries = {"entry-1"}, .endpoints = {"engine-1"}}};
    start_with_keys(system, {"entry-1"});
    auto large = system.completion("entry-1", homes_key, system.adapter_of("amihan-homes"));
    large.body += std::string((4U << 20U) + 1, ' ');
    const auto refused = system.run(std::move(large));
    CHECK(refused.status == 413);
    CHECK(contains_text(json::parse(refused.body, nullptr, false), "parse"));
}

// Guards against a stream that continues after its key was revoked, or that ends as if it were complete.
TEST_CASE("a revoked key stops working for a connected caller and its running stream") {
    const std::vector<std::string> entries{"entry-1", "entry-2"};
    deployment system{{.first_port = 26'500, .entries = entries}};
    start_with_keys(system, entries);
    // 4000 tokens, so that the stream is still running when the key is revoked.
    const auto stream =
        system.send(system.completion("entry-1", homes_key, system.adapter_of("amihan-homes"), 4'000, true));
    REQUIRE(system.wait_until([&] { return !stream->response.body.empty(); }));
    const auto revision = system.configure([](config::configuration& value) {
        std::erase_if(value.rules.keys, [](const config::key_grant& key) { return key.label == "homes"; });
    });
    const call_result cut = system.wait(stream);
    CHECK(cut.body.find("[DONE]") == std::string::npos);
    CHECK(cut.failure.has_value());
    REQUIRE(system.wait_in_force(revision, entries));
    for (const std::string& entry : entries) {
        CHECK(system.run(system.completion(entry, homes_key, system.adapter_of("amihan-homes"))).status ==
              401);
    }
    CHECK(
        system.run(system.completion("entry-1", clinics_key, system.adapter_of("balangay-clinics"))).status ==
        200);
}

// Guards against revoked keys that a region still accepts because it is partitioned from the key-value
// service, and against refusals while the service is down for all regions: then no key can be revoked.
TEST_CASE("a region cut off from the service refuses keyed requests, and an outage of the service does not") {
    const std::vector<std::string> entries{"entry-1", "entry-2", "entry-3"};
    deployment system{{.first_port = 27'000, .entries = entries}};
    start_with_keys(system, entries);
    const auto contact = [&](const std::string& entry) { return system.status(entry).value("contact", ""); };
    const auto all_are = [&](const std::string& state) {
        return system.wait_until([&] {
            return std::ranges::all_of(entries,
                                       [&](const std::string& entry) { return contact(entry) == state; });
        });
    };
    system.post(system.key_value_address("luzon"), "/admin/faults", {{"down", "silent"}});
    REQUIRE(all_are("service_down"));
    CHECK(system.run(system.completion("entry-1", homes_key, system.adapter_of("amihan-homes"))).status ==
          200);
    system.post(system.key_value_address("luzon"), "/admin/faults", {{"down", "up"}});
    REQUIRE(all_are("fresh"));

    // Without the other entries, entry-1 cannot learn whether the service is down for all regions.
    system.process("entry-2").kill();
    system.process("entry-3").kill();
    system.post(system.key_value_address("luzon"), "/admin/faults", {{"down", "silent"}});
    REQUIRE(system.wait_until([&] { return contact("entry-1") == "cut_off"; }));
    const auto refused =
        system.run(system.completion("entry-1", homes_key, system.adapter_of("amihan-homes")));
    CHECK(refused.status == 503);
    CHECK(refused.header("x-outcome") == "not_run");
}

// Guards against an organisation that exceeds its token rate and burst by spreading its requests over all
// entries.
TEST_CASE("an organisation gets its rate and burst over all entries together, and no more") {
    const std::vector<std::string> entries{"entry-1", "entry-2", "entry-3"};
    deployment system{{.first_port = 27'500, .entries = entries}};
    start_with_keys(system, entries);
    constexpr std::uint64_t rate = 300;
    constexpr std::uint64_t burst = 900;
    REQUIRE(system.wait_in_force(system.configure([](config::configuration& value) {
        for (auto& organisation : value.rules.organisations) {
            if (organisation.name == "sinag-hotels") {
                organisation.rate = rate;
                organisation.burst = burst;
            }
        }
    }),
                                 entries));
    const std::string adapter = system.adapter_of("sinag-hotels");
    const time_point started = system.event_loop().now();
    std::uint64_t used = 0;
    std::size_t refused = 0;
    for (int round = 0; round < 4; ++round) {
        std::vector<std::shared_ptr<tests::pending_call>> calls;
        for (int i = 0; i < 40; ++i) {
            calls.push_back(system.send(
                system.completion(entries[static_cast<std::size_t>(i) % 3], hotels_key, adapter, 60)));
        }
        for (const auto& call : calls) {
            const call_result answer = system.wait(call);
            used += tokens_of(answer);
            refused += answer.status == 429 ? 1 : 0;
        }
    }
    const double elapsed = std::chrono::duration<double>(system.event_loop().now() - started).count();
    INFO("used " << used << " tokens in " << elapsed << " s, refused " << refused);
    CHECK(static_cast<double>(used) <= static_cast<double>(burst) + static_cast<double>(rate) * elapsed);
    // Without a refusal the load never reached the limit, and the check above would prove nothing.
    CHECK(refused > 0);
    CHECK(used > 0);
}

// Guards against an order that runs twice, and against `x-outcome: not_run` for an order that ran: the
// test loses answers of the key-value service, sends each order through two entries and kills processes.
TEST_CASE("an order runs at most once over retries, lost answers and killed processes") {
    const std::vector<std::string> entries{"entry-1", "entry-2", "entry-3"};
    deployment system{
        {.first_port = 28'000, .entries = entries, .endpoints = {"orders-1", "orders-2", "engine-1"}}};
    start_with_keys(system, entries);
    const auto key_value = system.key_value_address("luzon");
    system.post(key_value, "/admin/faults", {{"lose_probability", 0.3}});
    std::map<std::string, std::vector<call_result>> answers;
    for (int i = 0; i < 60; ++i) {
        const std::string id = "order-" + std::to_string(i);
        std::vector<std::shared_ptr<tests::pending_call>> calls;
        for (std::size_t repeat = 0; repeat < 2; ++repeat) {
            auto call = system.call(entries[(static_cast<std::size_t>(i) + repeat) % 3],
                                    "/services/orders/orders", R"({"order":")" + id + "\"}", homes_key);
            call.headers.push_back({"idempotency-key", id});
            calls.push_back(system.send(std::move(call)));
        }
        if (i == 20) {
            system.process("entry-3").kill();
        }
        if (i == 40) {
            system.process("vm-orders-2").kill();
        }
        for (const auto& call : calls) {
            answers[id].push_back(system.wait(call));
        }
    }
    std::map<std::string, std::uint64_t> runs;
    for (const char* const endpoint : {"orders-1", "orders-2"}) {
        const json counted = system.fetch(system.endpoint_address(endpoint), "/admin/orders");
        for (const auto& [id, count] : counted.items()) {
            runs[id] += count.get<std::uint64_t>();
        }
    }
    std::size_t answered = 0;
    for (const auto& [id, seen] : answers) {
        INFO(id);
        CHECK(runs[id] <= 1);
        const bool one_ran =
            std::ranges::any_of(seen, [](const call_result& each) { return each.status == 200; });
        answered += one_ran ? 1 : 0;
        CHECK((!one_ran || runs[id] == 1));
        const bool all_not_run = std::ranges::all_of(
            seen, [](const call_result& each) { return each.header("x-outcome") == "not_run"; });
        CHECK((!all_not_run || runs[id] == 0));
    }
    CHECK(answered > 0);
}

// Guards against a planned stop that truncates a response, and against requests that are sent to an endpoint
// after its agent has stopped.
TEST_CASE("planned stops of an agent and an entry cut no request") {
    const std::vector<std::string> entries{"entry-1", "entry-2"};
    deployment system{{.first_port = 28'500, .entries = entries}};
    start_with_keys(system, entries);
    const auto burst = [&](const std::string& entry, int count) {
        std::vector<std::shared_ptr<tests::pending_call>> calls;
        for (int i = 0; i < count; ++i) {
            const std::string adapter = system.adapter_of("amihan-homes", static_cast<std::size_t>(i) % 4);
            calls.push_back(system.send(system.completion(entry, homes_key, adapter, 200, true)));
        }
        return calls;
    };
    auto calls = burst("entry-1", 10);
    REQUIRE(system.wait_until([&] {
        return std::ranges::any_of(calls, [](const auto& call) { return !call->response.body.empty(); });
    }));
    system.process("vm-engine-1").signal(SIGTERM);
    std::ranges::copy(burst("entry-1", 10), std::back_inserter(calls));
    REQUIRE(system.wait_until([&] { return system.process("vm-engine-1").has_ended(); }));
    CHECK(system.process("vm-engine-1").exit_status() == 0);
    const json before = system.fetch(system.endpoint_address("engine-1"), "/admin/counters");
    std::ranges::copy(burst("entry-1", 10), std::back_inserter(calls));
    system.process("entry-1").signal(SIGTERM);
    REQUIRE(system.wait_until([&] { return system.process("entry-1").has_ended(); }));
    CHECK(system.process("entry-1").exit_status() == 0);
    for (const auto& call : calls) {
        const call_result answer = system.wait(call);
        INFO(answer.body.substr(0, 300));
        CHECK(answer.status == 200);
        CHECK_FALSE(answer.failure);
        CHECK(answer.body.find("data: [DONE]") != std::string::npos);
    }
    const json after = system.fetch(system.endpoint_address("engine-1"), "/admin/counters");
    CHECK(before["finished"] == after["finished"]);
    CHECK(after.value("cancelled", 0U) == 0);
}

// Guards against the eviction of an adapter with a running request, when requests name more adapters than
// the engine has slots.
TEST_CASE("no adapter is unloaded while it serves a request") {
    const std::vector<std::string> entries{"entry-1"};
    deployment system{{.first_port = 29'000, .entries = entries, .endpoints = {"engine-1"}}};
    start_with_keys(system, entries);
    std::vector<std::shared_ptr<tests::pending_call>> calls;
    for (std::size_t i = 0; i < 24; ++i) {
        calls.push_back(system.send(
            system.completion("entry-1", homes_key, system.adapter_of("amihan-homes", i % 12), 100, true)));
    }
    std::size_t whole = 0;
    for (const auto& call : calls) {
        const call_result answer = system.wait(call);
        whole += answer.body.find("data: [DONE]") != std::string::npos ? 1 : 0;
    }
    const json counters = system.fetch(system.endpoint_address("engine-1"), "/admin/counters");
    INFO(counters.dump());
    CHECK(counters.value("unloads_in_use", 0U) == 0);
    CHECK(counters.value("unloads", 0U) > 0);
    CHECK(whole == calls.size());
}

// Guards against a process that starts during an outage of the key-value service and serves an older
// configuration than its peers.
TEST_CASE("a process that starts during an outage takes the newest configuration from its peers") {
    const std::vector<std::string> entries{"entry-1", "entry-2"};
    deployment system{{.first_port = 29'500, .entries = entries}};
    start_with_keys(system, entries);
    const auto revision = system.configure([](config::configuration& value) {
        value.rules.keys.push_back({sha256_hex("key-of-the-last-edit-04"), "amihan-homes", "late"});
    });
    REQUIRE(system.wait_in_force(revision, entries));
    system.post(system.key_value_address("luzon"), "/admin/faults", {{"down", "silent"}});
    system.process("entry-2").kill();
    system.start_process("entry-2");
    REQUIRE(system.wait_in_force(revision, {"entry-2"}));
    CHECK(system.status("entry-2").value("revision", 0U) == revision);
}
