#include "samphiretray/platform/http_vm_list.h"

#include "samphiretray/base/json_fields.h"

#include <limits>
#include <utility>

namespace samphiretray::platform {

namespace {

constexpr duration fetch_timeout = 2s;
constexpr std::string_view list_name = "VM list";

result<vm> parse_vm(json_fields& fields) {
    vm parsed;
    std::string peer_address;
    std::uint64_t slots = 0;
    fields.read("name", parsed.name, json_fields::presence::required);
    fields.read_enum("kind", parsed.kind, json_fields::presence::required);
    fields.read("region", parsed.region, json_fields::presence::required);
    fields.read("data_centre", parsed.data_centre, json_fields::presence::required);
    fields.read("peer_address", peer_address, json_fields::presence::required);
    fields.read_enum("state", parsed.state);
    fields.read("endpoint", parsed.endpoint);
    fields.read("service", parsed.service);
    fields.read("base_model", parsed.base_model);
    fields.read("slots", slots, 0, std::numeric_limits<std::uint32_t>::max());
    if (auto finished = fields.finish(); !finished) {
        return finished.error();
    }
    auto address = net::parse_address(peer_address);
    if (!address) {
        return address.error();
    }
    parsed.peer_address = std::move(*address);
    parsed.slots = static_cast<unsigned>(slots);
    return parsed;
}

} // namespace

result<std::vector<vm>> parse_vm_list(std::string_view text) {
    auto fields = json_fields::parse(text, list_name, step::configure);
    if (!fields) {
        return fields.error();
    }
    std::vector<vm> list;
    for (json_fields& each : fields->read_list("vms", json_fields::presence::required)) {
        auto parsed = parse_vm(each);
        if (!parsed) {
            return parsed.error();
        }
        list.push_back(std::move(*parsed));
    }
    if (auto finished = fields->finish(); !finished) {
        return finished.error();
    }
    return list;
}

http_vm_list::http_vm_list(net::http_client& client, net::address service)
    : service_(std::move(service)), calls_(client) {}

void http_vm_list::fetch(completion<std::vector<vm>> done) {
    net::http_call call;
    call.peer = service_;
    call.target = "/v1/vms";
    call.timeout = fetch_timeout;
    calls_.fetch(std::move(call), [done = std::move(done),
                                   peer = to_string(service_)](const result<net::http_answer>& answer) {
        if (!answer) {
            done(answer.error());
        } else if (answer->status != 200) {
            done(make_error(errc::unavailable, step::configure, peer,
                            "unexpected status " + std::to_string(answer->status)));
        } else {
            done(parse_vm_list(answer->body));
        }
    });
}

} // namespace samphiretray::platform
