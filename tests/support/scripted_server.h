#pragma once

#include "samphiretray/net/address.h"
#include "samphiretray/net/http.h"
#include "samphiretray/net/loop.h"

#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::net::testing {

/// How an answer tells where its body ends.
enum class answer_framing { length, chunks, until_close };

/// What a server does with the connection once the bytes of an answer have been written. `half_close` ends
/// the direction towards the client and waits for the client's close.
enum class answer_ending { keep_open, close, half_close, reset };

/// The bytes of an answer, which need not be a valid one.
struct scripted_answer {
    std::string bytes;
    answer_ending ending = answer_ending::keep_open;
    /// The bytes are given this time to arrive before a reset.
    duration pause_before_ending{20ms};
    /// More bytes than these are written in several parts, a poll interval apart.
    std::size_t max_part = std::numeric_limits<std::size_t>::max();
};

/// A head with this status and these headers, followed by the whole of `body` in this framing.
[[nodiscard]] std::string format_answer(answer_framing framing, const http_headers& headers,
                                        std::string_view body, int status = 200);

/// An HTTP/1.1 server that sends the bytes which a test chooses, so that answers may break any rule. The
/// requests on a connection are answered one after the other.
class scripted_server {
public:
    using handler = std::function<scripted_answer(const http_request& request)>;

    scripted_server(loop& events, handler answer);
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    [[nodiscard]] address local_address() const;

    /// From now on answers a request as soon as its head has come, and never reads its body. The small window
    /// of new connections blocks the writer of a large one.
    void ignore_bodies();

private:
    struct connection;
    void poll();
    void read(connection& from);
    void begin_answer(connection& to);
    void write(connection& to);
    void finish_answer(connection& to);

    loop& events_;
    handler answer_;
    bool ignores_bodies_ = false;
    int descriptor_;
    std::vector<std::unique_ptr<connection>> connections_;
    timer_handle poll_timer_;
};

} // namespace samphiretray::net::testing
