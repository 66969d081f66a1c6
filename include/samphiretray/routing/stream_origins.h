#pragma once

#include "samphiretray/base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

/// What two versions of a server's software write does not fit together, and servers do not check it: a
/// stream may go on only at servers of the version that began it.
namespace samphiretray::routing {

/// Identifies a stream by the attempt that brought its first event.
using stream_key = std::uint64_t;

/// The organisation is part of the key, so that a caller learns nothing of another one's attempts.
[[nodiscard]] stream_key make_stream_key(std::string_view organisation, std::string_view attempt_id);

/// Where a stream has begun.
struct stream_origin {
    std::string service;
    /// Version of the server's software. An empty one is not known, and is equal to none.
    std::string software_version;

    [[nodiscard]] bool operator==(const stream_origin&) const = default;
};

/// True if a server of `service` with this version may go on with a stream from `origin`.
[[nodiscard]] bool may_continue(const stream_origin& origin, std::string_view service,
                                std::string_view software_version);

/// The streams that this process has passed on, and where each has begun. Bounded in number and age; a
/// process that does not know a stream says so, and never guesses.
class stream_origins {
public:
    /// 40 streams a second for the whole retention, three times what the entries of the largest fleet begin.
    static constexpr std::size_t max_streams = 8192;
    /// Counts from the last time that the stream was noted. Callers take a stream up within their deadline.
    static constexpr duration retention = 3min;

    /// A stream that is noted with two origins belongs to none from then on.
    void note(stream_key stream, const stream_origin& origin, time_point now);
    [[nodiscard]] std::optional<stream_origin> find(stream_key stream, time_point now) const;
    [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }
    /// Streams that had to be forgotten before their time.
    [[nodiscard]] std::uint64_t evicted() const noexcept { return evicted_; }

private:
    struct record {
        /// Position in `origins_`; nothing if the stream was noted with two origins.
        std::optional<std::size_t> origin;
        time_point noted_at;
    };
    struct noted_stream {
        stream_key stream = 0;
        time_point at;
    };

    [[nodiscard]] std::size_t intern(const stream_origin& origin);
    void expire(time_point now);
    /// Returns true if that was the last noting of the stream.
    bool forget_oldest();

    std::unordered_map<stream_key, record> records_;
    /// In the order of noting; a stream that is noted again stands here twice.
    std::deque<noted_stream> order_;
    /// The distinct origins. They are few: services times versions.
    std::deque<stream_origin> origins_;
    std::uint64_t evicted_ = 0;
};

} // namespace samphiretray::routing
