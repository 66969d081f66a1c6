#include "websocket_session.h"

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

#include <cstdint>
#include <random>
#include <utility>

namespace samphiretray::net {

namespace {

/// Generates the masking keys of frames. Masking protects intermediaries that could misinterpret frames as
/// HTTP. Between the processes of this system the keys need not be unpredictable, and the random source of
/// the operating system would cost a call for each frame.
struct mask_generator {
    std::uint32_t operator()() { return static_cast<std::uint32_t>(engine()); }
    std::minstd_rand engine{std::random_device{}()};
};

/// The websocketpp configuration that client and server share: single-threaded, no log output.
template <typename Base>
struct session_config : Base {
    using type = session_config;
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::stub;
    using alog_type = websocketpp::log::stub;
    using rng_type = mask_generator;
    static constexpr bool enable_multithreading = false;
    // Each connection allocates a read buffer of this size.
    static constexpr std::size_t connection_read_buffer_size = 4096;

    struct transport_config : Base::transport_config {
        using concurrency_type = websocketpp::concurrency::none;
        using elog_type = websocketpp::log::stub;
        using alog_type = websocketpp::log::stub;
        static constexpr bool enable_multithreading = false;
    };
    using transport_type = websocketpp::transport::iostream::endpoint<transport_config>;
};

using client_endpoint = websocketpp::client<session_config<websocketpp::config::core_client>>;
using server_endpoint = websocketpp::server<session_config<websocketpp::config::core>>;

template <typename Endpoint>
class session final : public websocket_session {
public:
    using connection_ptr = typename Endpoint::connection_ptr;

    session(std::size_t max_message_bytes, session_events events) : events_(std::move(events)) {
        endpoint_.set_max_message_size(max_message_bytes);
    }
    ~session() override {
        ended_ = true;
        if (connection_) {
            // The connection holds a reference to itself while it waits for input; the end of input releases
            // it.
            connection_->eof();
        }
    }
    session(const session&) = delete;
    session& operator=(const session&) = delete;

    Endpoint& endpoint() { return endpoint_; }

    void set_connection(connection_ptr connection) {
        connection_ = std::move(connection);
        connection_->set_write_handler(
            [this](const websocketpp::connection_hdl&, const char* bytes, std::size_t size) {
                if (!ended_) {
                    events_.write({bytes, size});
                }
                return websocketpp::lib::error_code{};
            });
        connection_->set_open_handler([this](const websocketpp::connection_hdl&) {
            if (!ended_) {
                events_.on_open();
            }
        });
        connection_->set_message_handler(
            [this](const websocketpp::connection_hdl&, const typename Endpoint::message_ptr& message) {
                if (!ended_) {
                    events_.on_message(message->get_payload());
                }
            });
        connection_->set_close_handler(
            [this](const websocketpp::connection_hdl&) { end(session_end_reason::closed); });
        connection_->set_fail_handler(
            [this](const websocketpp::connection_hdl&) { end(session_end_reason::protocol_error); });
    }

    void open() override {
        if constexpr (std::is_same_v<Endpoint, client_endpoint>) {
            endpoint_.connect(connection_);
        }
    }

    void receive(std::string_view bytes) override { connection_->read_all(bytes.data(), bytes.size()); }

    void send_binary(std::string_view message) override {
        const auto failure =
            connection_->send(message.data(), message.size(), websocketpp::frame::opcode::binary);
        if (failure) {
            end(session_end_reason::protocol_error);
        }
    }

    void ping() override {
        websocketpp::lib::error_code ignored;
        connection_->ping("", ignored);
    }

    void close() override {
        websocketpp::lib::error_code ignored;
        connection_->close(websocketpp::close::status::normal, "", ignored);
    }

private:
    void end(session_end_reason reason) {
        if (std::exchange(ended_, true)) {
            return;
        }
        const auto too_big = websocketpp::close::status::message_too_big;
        const bool too_large =
            connection_->get_local_close_code() == too_big || connection_->get_remote_close_code() == too_big;
        const bool is_protocol_error =
            connection_->get_local_close_code() == websocketpp::close::status::protocol_error;
        if (too_large) {
            reason = session_end_reason::too_large;
        } else if (is_protocol_error) {
            reason = session_end_reason::protocol_error;
        }
        events_.on_end(reason, connection_->get_ec().message());
    }

    session_events events_;
    Endpoint endpoint_;
    connection_ptr connection_;
    bool ended_ = false;
};

} // namespace

std::unique_ptr<websocket_session> make_client_session(const std::string& host, std::size_t max_message_bytes,
                                                       session_events events) {
    auto created = std::make_unique<session<client_endpoint>>(max_message_bytes, std::move(events));
    websocketpp::lib::error_code failure;
    auto connection = created->endpoint().get_connection("ws://" + host + "/peer", failure);
    if (failure) {
        return nullptr;
    }
    created->set_connection(std::move(connection));
    return created;
}

std::unique_ptr<websocket_session> make_server_session(std::size_t max_message_bytes, session_events events) {
    auto created = std::make_unique<session<server_endpoint>>(max_message_bytes, std::move(events));
    auto connection = created->endpoint().get_connection();
    created->set_connection(connection);
    connection->start();
    return created;
}

} // namespace samphiretray::net
