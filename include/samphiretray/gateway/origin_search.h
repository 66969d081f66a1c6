#pragma once

#include "samphiretray/net/address.h"
#include "samphiretray/routing/stream_origins.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace samphiretray::gateway {

/// A stream that a process knows.
struct known_stream {
    routing::stream_key stream = 0;
    routing::stream_origin origin;
};

/// Decides which processes are asked where streams have begun. A stream is looked for at the processes that
/// most likely know it, then at all others. Streams that are looked for at the same time share the queries,
/// of which a process gets one at a time: after all entries have been killed, each gets many streams at once.
class origin_search {
public:
    /// Processes that are asked first: the adapter's homes are among the first engines of an order of
    /// preference.
    static constexpr std::size_t first_targets = 6;
    static constexpr std::size_t max_streams_in_query = 64;
    /// Further streams are not looked for: callers can make up attempts.
    static constexpr std::size_t max_searches = 512;

    struct query {
        net::address target;
        std::vector<routing::stream_key> streams;
    };
    struct result {
        routing::stream_key stream = 0;
        /// Nothing if no process knows the stream.
        std::optional<routing::stream_origin> origin;
        std::size_t asked = 0;
    };

    /// Looks for a stream at `targets`, the most likely ones first. Does nothing if that is being done
    /// already. Returns false if too many streams are being looked for.
    [[nodiscard]] bool begin(routing::stream_key stream, std::vector<net::address> targets);
    /// The queries to send now.
    [[nodiscard]] std::vector<query> take_queries();
    /// The answer to the query of a target; empty if it has failed.
    void on_answer(const net::address& target, const std::vector<known_stream>& known);
    /// The searches that have ended since the last call.
    [[nodiscard]] std::vector<result> take_results();
    [[nodiscard]] std::size_t size() const noexcept { return searches_.size(); }

private:
    struct search {
        std::vector<net::address> targets;
        /// Number of targets that have been asked, or are going to be.
        std::size_t asked = 0;
        std::size_t unanswered = 0;
    };
    struct target_state {
        bool is_asked = false;
        /// The streams of the query in progress that are still looked for.
        std::vector<routing::stream_key> asked;
        std::set<routing::stream_key> waiting;
    };

    void ask_next(routing::stream_key stream, search& of, std::size_t count);
    void end(routing::stream_key stream, std::optional<routing::stream_origin> origin);

    std::map<routing::stream_key, search> searches_;
    std::map<net::address, target_state> targets_;
    std::vector<result> results_;
};

} // namespace samphiretray::gateway
