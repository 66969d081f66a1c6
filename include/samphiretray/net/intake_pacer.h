#pragma once

#include "samphiretray/base/time.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace samphiretray::net {

/// Paces the connections that a process accepts by what its link can carry.
///
/// Bytes that clients send beyond that queue up on the way to the process, in front of the answers of the
/// store, its peers and the servers, and are read only after their senders have left. A connection that is
/// not accepted costs no more than its opening packets, and its client tries another process.
///
/// What a connection is going to send is not known when it is accepted: the mean of earlier requests says
/// little after a change of the mix. So the number of requests that are being received at a time is limited
/// as well, whatever they turn out to be.
class intake_pacer {
public:
    /// Part of the link that clients and answers may fill together.
    static constexpr double usable_fraction = 0.8;
    /// The bytes of so much time may come at once.
    static constexpr duration burst_time = 100ms;
    /// A larger debt is forgiven, so that a burst of answers does not shut callers out for long.
    static constexpr duration max_debt_time = 500ms;
    /// A connection is accepted after this time in any case. The process's own traffic may use what the pacer
    /// counts for longer, and callers must not be shut out meanwhile.
    static constexpr duration max_pause = 500ms;

    /// `link_bytes_per_s` is what the link carries in one direction; 0 accepts everything.
    explicit intake_pacer(double link_bytes_per_s = 0);

    /// `total` counts all bytes that the process has received on any connection.
    void on_received(std::uint64_t total, time_point now);
    /// A connection has been accepted. Its request has not come yet, so the mean of the earlier ones is
    /// charged.
    void on_accepted(time_point now);
    /// `connection` has been accepted or has sent a part of a request.
    void on_receiving(const void* connection, time_point now);
    /// `connection` has sent a whole request.
    void on_request(const void* connection);
    /// `connection` is closed, or has nothing more to send for now.
    void on_not_receiving(const void* connection);
    /// Time until the next connection may be accepted.
    [[nodiscard]] duration wait(time_point now);

    /// Whether a connection should end with its response, with `open_connections` at the process. Requests on
    /// connections that are kept open come unasked: on a busy link only so many are kept that one request of
    /// each does not fill the link for long.
    [[nodiscard]] bool should_close(std::size_t open_connections, time_point now);

    /// Connections that may wait to be accepted: the system completes their handshakes, and their requests
    /// come over the link.
    [[nodiscard]] int backlog() const;
    [[nodiscard]] double mean_request_bytes() const noexcept { return mean_request_bytes_; }
    /// Bytes received in the last whole second, as a fraction of what the link carries.
    [[nodiscard]] double link_use() const noexcept { return link_use_; }

private:
    /// A token bucket of bytes.
    struct bucket {
        double level = 0;
        void refill(double bytes, double burst);
        void take(double bytes, double max_debt);
    };

    void refill(time_point now);
    void measure(time_point now);
    void sample(time_point now);
    /// The size that a request is expected to have, as far as the next ones may be larger than earlier ones.
    [[nodiscard]] double expected_request_bytes() const;
    /// Time until the buckets allow another connection.
    [[nodiscard]] duration bucket_wait() const;
    /// Whether as many requests are being received as the link should carry at a time.
    [[nodiscard]] bool is_receiving_enough(time_point now);

    double bytes_per_s_;
    bucket received_;
    bucket expected_;
    std::uint64_t total_ = 0;
    std::uint64_t requests_ = 0;
    /// Of requests and of the answers that are received for them.
    double mean_request_bytes_ = 4096;
    struct receiving_connection {
        const void* connection = nullptr;
        time_point began_at;
    };
    /// In the order in which their requests began.
    std::list<receiving_connection> receiving_;
    /// The end of `receiving_` for those that no longer count.
    std::unordered_map<const void*, std::list<receiving_connection>::iterator> receiving_positions_;
    std::optional<time_point> sampled_at_;
    std::uint64_t sampled_total_ = 0;
    /// Bytes received in the last sample, as a fraction of what the link carries.
    double current_use_ = 0;
    std::optional<time_point> refilled_at_;
    /// Since when accepting is paused.
    std::optional<time_point> paused_at_;
    std::optional<time_point> measured_at_;
    std::uint64_t measured_total_ = 0;
    std::uint64_t measured_requests_ = 0;
    double link_use_ = 0;
};

} // namespace samphiretray::net
