#include "samphiretray/ports/http_vm_list.h"

#include "tests/ports/fake_service.h"

using namespace samphiretray;
using namespace samphiretray::ports;
using namespace samphiretray::ports::testing;

namespace {

constexpr std::string_view two_vms = R"({"vms": [
    {"name": "a1", "kind": "agent", "region": "r", "data_centre": "d", "peer_address": "10.0.0.1:7000",
     "state": "leaving", "endpoint": "e1", "service": "s", "base_model": "m", "slots": 4},
    {"name": "e1", "kind": "entry", "region": "r", "data_centre": "d", "peer_address": "10.0.0.2:7000",
     "state": "live", "new_field": 1}]})";

} // namespace

TEST_CASE("the VM list is fetched and parsed") {
    fake_service fake;
    http_vm_list list{*fake.client, fake.address()};
    fake.queued_responses = {{200, {}, std::string{two_vms}}};
    std::optional<result<std::vector<vm>>> outcome;
    list.fetch(store(outcome));
    const auto& vms = fake.wait_for(outcome);
    REQUIRE(vms);
    REQUIRE(vms->size() == 2);
    CHECK(fake.requests[0].path == "/v1/vms");
    const vm& agent = vms->at(0);
    CHECK(agent.kind == wire::role::agent);
    CHECK(agent.state == vm_state::leaving);
    CHECK(agent.peer_address == net::address{"10.0.0.1", 7000});
    CHECK(agent.adapter_slots == 4);
    CHECK(vms->at(1).endpoint.empty());
}

TEST_CASE("a malformed VM entry is skipped and the others are kept") {
    const std::string malformed_entry =
        GENERATE("{}", "7", R"({"name": "x", "kind": "balancer"})",
                 R"({"name": "x", "kind": "entry", "region": "r", "data_centre": "d",
                                         "peer_address": "host:1", "state": "live"})",
                 R"({"name": "x", "kind": "entry", "region": "r", "data_centre": "d",
                                         "peer_address": "10.0.0.1:1", "state": "live", "slots": -1})");
    std::string body{two_vms};
    body.insert(body.find('[') + 1, malformed_entry + ",");
    const auto vms = parse_vm_list(body);
    REQUIRE(vms);
    CHECK(vms->size() == 2);
}

TEST_CASE("a body without a VM list is a protocol error") {
    for (const char* body : {"", "[]", "{}", R"({"vms": 1})", "{\"vms\": [", "\xff"}) {
        INFO(body);
        const auto vms = parse_vm_list(body);
        REQUIRE_FALSE(vms);
        CHECK(vms.error().code == errc::protocol_error);
    }
}

TEST_CASE("status 503 is reported as unavailable") {
    fake_service fake;
    http_vm_list list{*fake.client, fake.address()};
    fake.queued_responses = {{503, {}, ""}};
    std::optional<result<std::vector<vm>>> outcome;
    list.fetch(store(outcome));
    CHECK(fake.wait_for(outcome).error().code == errc::unavailable);
}
