#pragma once

#include "samphiretray/gateway/origin_search.h"
#include "samphiretray/net/http_client.h"
#include "samphiretray/net/loop.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::gateway {

/// Path at the control addresses of entries and agents. The query `streams` lists keys in hexadecimal; the
/// answer has those that the process knows.
inline constexpr std::string_view stream_origins_path = "/stream-origins";

/// The answer to such a query: a JSON object of the known streams, each with its service and software
/// version.
[[nodiscard]] std::string answer_origin_query(std::string_view query, const routing::stream_origins& known,
                                              time_point now);
/// Fails with `protocol_error` if `text` is no such answer.
[[nodiscard]] result<std::vector<known_stream>> decode_origin_answer(std::string_view text,
                                                                     std::string_view peer);

/// Asks entries and agents where streams have begun.
class origin_exchange {
public:
    /// `asked` is the number of processes that have been asked.
    using completion =
        std::function<void(const std::optional<routing::stream_origin>& origin, std::size_t asked)>;

    origin_exchange(net::loop& events, net::http_client& http) : loop_(events), http_(http) {}

    /// Calls `done` later, with nothing if no process knows the stream. Returns false, and never calls it, if
    /// too many streams are being looked for.
    [[nodiscard]] bool find(routing::stream_key stream, std::vector<net::address> targets, completion done);

private:
    /// The longest round trip is 62 ms; the rest allows for a busy process.
    static constexpr duration answer_timeout = 400ms;

    void advance();
    void send(const origin_search::query& query);
    void on_answer(const net::address& target, const result<net::fetched_response>& answer);

    net::loop& loop_;
    net::http_client& http_;
    origin_search search_;
    std::map<routing::stream_key, std::vector<completion>> waiting_;
    std::map<net::address, std::unique_ptr<net::http_exchange>> calls_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace samphiretray::gateway
