#include "samphiretray/ports/http_vm_list.h"

#include "samphiretray/base/log.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <utility>

namespace samphiretray::ports {

static_assert(vm_list<http_vm_list>);

namespace {

using json = nlohmann::json;

// The target size is 1,190 VMs with about 300 bytes each.
constexpr std::size_t max_list_bytes = 16U << 20U;

/// Reads the fields of one entry and remembers the name of the first invalid one.
class entry_reader {
public:
    explicit entry_reader(const json& entry) : entry_(entry) {}

    std::string required(const char* name) {
        const auto found = entry_.find(name);
        if (found == entry_.end() || !found->is_string()) {
            mark_invalid(name);
            return {};
        }
        return found->get<std::string>();
    }

    std::string optional(const char* name) { return entry_.contains(name) ? required(name) : std::string{}; }

    unsigned optional_unsigned(const char* name) {
        const auto found = entry_.find(name);
        if (found == entry_.end()) {
            return 0;
        }
        const bool in_range = found->is_number_unsigned() &&
                              found->get<std::uint64_t>() <= std::numeric_limits<unsigned>::max();
        if (!in_range) {
            mark_invalid(name);
            return 0;
        }
        return found->get<unsigned>();
    }

    template <typename Enum>
    Enum required_enum(const char* name) {
        const auto parsed = parse_name<Enum>(required(name));
        if (!parsed) {
            mark_invalid(name);
        }
        return parsed.value_or(Enum{});
    }

    net::address required_address(const char* name) {
        auto parsed = net::parse_address(required(name));
        if (!parsed) {
            mark_invalid(name);
            return {};
        }
        return std::move(parsed).value();
    }

    [[nodiscard]] const std::string& invalid_field() const noexcept { return invalid_field_; }

private:
    void mark_invalid(const char* name) {
        if (invalid_field_.empty()) {
            invalid_field_ = name;
        }
    }

    const json& entry_;
    std::string invalid_field_;
};

std::optional<vm> read_entry(const json& entry) {
    entry_reader reader{entry};
    vm read;
    read.name = reader.required("name");
    read.kind = reader.required_enum<wire::role>("kind");
    read.region = reader.required("region");
    read.data_centre = reader.required("data_centre");
    read.peer_address = reader.required_address("peer_address");
    read.state = reader.required_enum<vm_state>("state");
    read.endpoint = reader.optional("endpoint");
    read.service = reader.optional("service");
    read.base_model = reader.optional("base_model");
    read.adapter_slots = reader.optional_unsigned("slots");
    if (!reader.invalid_field().empty()) {
        log_event(log_level::warning, "vm_list_entry_skipped",
                  {{"vm", read.name}, {"field", reader.invalid_field()}});
        return std::nullopt;
    }
    return read;
}

} // namespace

result<std::vector<vm>> parse_vm_list(std::string_view body) {
    const json parsed = json::parse(body, nullptr, false);
    const auto list = parsed.is_object() ? parsed.find("vms") : parsed.end();
    if (list == parsed.end() || !list->is_array()) {
        return make_error(errc::protocol_error, step::parse, "", "the VM list has no list \"vms\"");
    }
    std::vector<vm> vms;
    for (const json& entry : *list) {
        if (auto read = read_entry(entry)) {
            vms.push_back(std::move(*read));
        }
    }
    return vms;
}

http_vm_list::http_vm_list(net::http_client& client, net::address service, duration timeout)
    : client_(client), service_(std::move(service)), timeout_(timeout) {}

void http_vm_list::fetch(completion<std::vector<vm>> done) {
    net::http_call call;
    call.peer = service_;
    call.target = "/v1/vms";
    call.timeout = timeout_;
    const std::string peer = to_string(service_);
    calls_.fetch(client_, std::move(call), max_list_bytes,
                 [peer, done = std::move(done)](const result<net::fetched_response>& response) {
                     if (!response) {
                         done(response.error());
                     } else if (response->status != 200) {
                         done(make_error(errc::unavailable, step::receive, peer,
                                         "status " + std::to_string(response->status)));
                     } else {
                         done(parse_vm_list(response->body));
                     }
                 });
}

} // namespace samphiretray::ports
