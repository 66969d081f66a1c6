#include "standins/vm_list_server.h"

#include "samphiretray/base/file_text.h"
#include "samphiretray/base/log.h"

#include <utility>

namespace samphiretray::standins {

namespace {

/// Interval at which the file is read.
constexpr duration read_interval = 200ms;

} // namespace

vm_list_server::vm_list_server(net::loop& events, std::string file, duration lag)
    : events_(&events), file_(std::move(file)), list_(lag) {}

status vm_list_server::start() {
    if (!read_file()) {
        return make_error(errc::invalid_argument, step::settings, "",
                          "cannot read a JSON object with the field \"vms\" from file " + file_);
    }
    timer_ = events_->every(read_interval, [this] {
        if (!read_file()) {
            log_event(log_level::warning, "vm_list_unreadable", {{"file", file_}});
        }
    });
    return success();
}

net::http_handler vm_list_server::handler() {
    return [this](const net::http_request& request, const response_handle& response) {
        if (request.path != "/v1/vms") {
            send_error(*response, 404, "no such call");
            return;
        }
        response->send(200, {{"content-type", "application/json"}}, list_.visible(events_->now()));
    };
}

bool vm_list_server::read_file() {
    const auto text = read_text_file(file_);
    const auto document = nlohmann::json::parse(text.value_or(""), nullptr, false, true);
    // The file may be incomplete while it is being written; the last valid list remains in use.
    if (!document.is_object() || !document.contains("vms")) {
        return false;
    }
    list_.observe(document.dump(), events_->now());
    return true;
}

} // namespace samphiretray::standins
