#include "samphiretray/net/http_server.h"

#include "http_server_core.h"
#include "listener.h"

#include <utility>

namespace samphiretray::net {

namespace {

class h2o_server final : public http_server {
public:
    explicit h2o_server(std::shared_ptr<http_server_core> core) : core_(std::move(core)) {}
    ~h2o_server() override {
        listener_.reset();
        core_->close();
    }
    h2o_server(const h2o_server&) = delete;
    h2o_server& operator=(const h2o_server&) = delete;

    void set_listener(std::unique_ptr<listener> new_listener) { listener_ = std::move(new_listener); }

    [[nodiscard]] address local_address() const override { return listener_->local_address(); }
    void stop_accepting() override { listener_->stop(); }
    void begin_graceful_shutdown() override { core_->begin_graceful_shutdown(); }
    status reload_certificates() override { return core_->load_certificates(); }
    void set_limits(std::size_t max_body_bytes, duration idle_timeout) override {
        core_->set_limits(max_body_bytes, idle_timeout);
    }
    [[nodiscard]] std::size_t open_connections() const noexcept override { return core_->open_connections(); }

    [[nodiscard]] std::uint64_t refused_requests() const noexcept override {
        return core_->refused_requests();
    }
    [[nodiscard]] std::uint64_t displaced_connections() const noexcept override {
        return core_->displaced_connections();
    }
    [[nodiscard]] std::uint64_t abandoned_requests() const noexcept override {
        return core_->abandoned_requests();
    }
    [[nodiscard]] std::uint64_t accept_pauses() const noexcept override { return core_->accept_pauses(); }
    [[nodiscard]] double link_use() const override { return core_->link_use(); }

private:
    std::shared_ptr<http_server_core> core_;
    std::unique_ptr<listener> listener_;
};

} // namespace

void http_response::send(int status, const http_headers& headers, std::string_view body) {
    if (is_started()) {
        abort();
        return;
    }
    http_headers with_length = headers;
    with_length.push_back({"content-length", std::to_string(body.size())});
    start(status, with_length);
    write(body);
    finish();
}

result<std::unique_ptr<http_server>> http_server::create(loop& events, http_server_options options,
                                                         http_handler handler) {
    const address listen = options.listen;
    auto core = std::make_shared<http_server_core>(events, std::move(options), std::move(handler));
    auto server = std::make_unique<h2o_server>(core);
    if (const status loaded = core->load_certificates(); !loaded) {
        return loaded.error();
    }
    auto new_listener =
        listener::create(events, listen, [core](h2o_socket_t* socket) { core->add_connection(socket); },
                         {core->backlog(), [core] { return core->wait_before_accept(); }});
    if (!new_listener) {
        return new_listener.error();
    }
    server->set_listener(std::move(new_listener).value());
    return std::unique_ptr<http_server>{std::move(server)};
}

} // namespace samphiretray::net
