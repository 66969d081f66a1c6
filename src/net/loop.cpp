#include "samphiretray/net/loop.h"

#include "guarded_call.h"

#include <fcntl.h>
#include <h2o.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdint>
#include <limits>
#include <map>
#include <stdexcept>
#include <utility>
#include <vector>

namespace samphiretray::net {

namespace {

// Loop iterations that the destructor runs to complete pending closes; each close needs at most a few.
constexpr int shutdown_iterations = 32;

// Write end of the self-pipe of the loop that handles signals; -1 if there is none.
std::atomic<int> signal_pipe{-1};

void write_signal_to_pipe(int number) {
    const int saved_errno = errno;
    const auto byte = static_cast<unsigned char>(number);
    // If the pipe is full, the loop is going to be woken by the bytes that are in it.
    [[maybe_unused]] const auto written = ::write(signal_pipe.load(), &byte, 1);
    errno = saved_errno;
}

struct timer_entry {
    std::function<void()> action;
    // Zero for a timer that fires once.
    duration interval{0};
    bool cancelled = false;
    bool linked = false;
    std::multimap<time_point, std::shared_ptr<timer_entry>>::iterator position;
};

class timer_queue {
public:
    std::shared_ptr<timer_entry> add(time_point at, duration interval, std::function<void()> action) {
        auto entry = std::make_shared<timer_entry>();
        entry->action = std::move(action);
        entry->interval = interval;
        link(at, entry);
        return entry;
    }

    void cancel(timer_entry& entry) {
        entry.cancelled = true;
        if (entry.linked) {
            entry.linked = false;
            // The map may hold the last reference, so `entry` must not be used after this.
            entries_.erase(entry.position);
        }
    }

    /// Runs the timers that were due at `due`, and returns the longest delay of one.
    duration run(time_point due) {
        duration longest_delay{0};
        while (!entries_.empty() && entries_.begin()->first <= due) {
            const auto [deadline, entry] = *entries_.begin();
            entries_.erase(entry->position);
            entry->linked = false;
            longest_delay = std::max(longest_delay, due - deadline);
            (void)run_guarded("timer", entry->action);
            if (entry->interval > duration::zero() && !entry->cancelled) {
                link(due + entry->interval, entry);
            }
        }
        return longest_delay;
    }

    /// Removes all timers and destroys their actions without running them.
    void clear() {
        for (const auto& [at, entry] : std::exchange(entries_, {})) {
            entry->linked = false;
            entry->action = nullptr;
        }
    }

    /// The deadline of the next timer or `limit`, whichever is earlier.
    [[nodiscard]] time_point next_deadline(time_point limit) const {
        return entries_.empty() ? limit : std::min(limit, entries_.begin()->first);
    }

private:
    void link(time_point at, const std::shared_ptr<timer_entry>& entry) {
        entry->position = entries_.emplace(at, entry);
        entry->linked = true;
    }

    std::multimap<time_point, std::shared_ptr<timer_entry>> entries_;
};

class queued_timer final : public timer {
public:
    queued_timer(std::shared_ptr<timer_queue> queue, std::shared_ptr<timer_entry> entry)
        : queue_(std::move(queue)), entry_(std::move(entry)) {}
    ~queued_timer() override { queue_->cancel(*entry_); }
    queued_timer(const queued_timer&) = delete;
    queued_timer& operator=(const queued_timer&) = delete;

private:
    std::shared_ptr<timer_queue> queue_;
    std::shared_ptr<timer_entry> entry_;
};

} // namespace

struct loop::implementation {
    h2o_evloop_t* native = h2o_evloop_create();
    std::shared_ptr<timer_queue> timers = std::make_shared<timer_queue>();
    std::vector<std::function<void()>> posted;
    std::vector<std::shared_ptr<void>> pending_disposal;
    std::map<int, std::function<void()>> signal_actions;
    h2o_socket_t* signal_reader = nullptr;
    bool stopped = false;
    std::uint64_t polls = 0;
    std::uint64_t received_bytes = 0;
    duration longest_timer_delay{0};

    void run_posted() {
        const auto actions = std::exchange(posted, {});
        for (const auto& action : actions) {
            (void)run_guarded("posted", action);
        }
        std::exchange(pending_disposal, {}).clear();
    }

    /// Poll timeout in milliseconds until the next timer or `limit`, rounded up so that a timer never fires
    /// early.
    [[nodiscard]] std::int32_t wait_time(time_point limit) const {
        // Before it waits, h2o does not check for callbacks that became ready outside its own iteration.
        const bool ready = native->_pending_as_client != nullptr || native->_pending_as_server != nullptr;
        if (ready || stopped || !posted.empty() || !pending_disposal.empty()) {
            return 0;
        }
        const auto wait = timers->next_deadline(limit) - monotonic_clock::now();
        const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
        return static_cast<std::int32_t>(
            std::clamp<std::int64_t>(rounded, 0, std::numeric_limits<std::int32_t>::max()));
    }

    void poll(std::int32_t wait_ms) {
        h2o_evloop_run(native, wait_ms);
        ++polls;
    }

    void run_once(time_point limit) {
        // Waiting comes first, so that the callers can check the effects of all callbacks before the next
        // wait.
        poll(wait_time(limit));
        const time_point now = monotonic_clock::now();
        if (timers->next_deadline(time_point::max()) <= now) {
            // What a timer guards may have become ready while the callbacks of the first poll ran; the delay
            // of this process must not count as its peer's.
            poll(0);
            longest_timer_delay = std::max(longest_timer_delay, timers->run(now));
        }
        run_posted();
    }

    void dispatch_signals(h2o_socket_t* socket) {
        const std::string_view bytes{socket->input->bytes, socket->input->size};
        std::vector<int> numbers;
        for (const char byte : bytes) {
            numbers.push_back(static_cast<unsigned char>(byte));
        }
        h2o_buffer_consume(&socket->input, socket->input->size);
        for (const int number : numbers) {
            if (const auto found = signal_actions.find(number); found != signal_actions.end()) {
                (void)run_guarded("signal", found->second);
            }
        }
    }

    void open_signal_pipe() {
        std::array<int, 2> ends{};
        if (::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) != 0) {
            throw std::runtime_error("cannot create the signal pipe");
        }
        signal_pipe = ends[1];
        signal_reader = h2o_evloop_socket_create(native, ends[0], 0);
        signal_reader->data = this;
        h2o_socket_read_start(signal_reader, [](h2o_socket_t* socket, const char* failure) {
            if (failure == nullptr) {
                static_cast<implementation*>(socket->data)->dispatch_signals(socket);
            }
        });
    }

    void close_signal_pipe() {
        if (signal_reader == nullptr) {
            return;
        }
        for (const auto& [number, action] : signal_actions) {
            std::signal(number, SIG_DFL);
        }
        ::close(signal_pipe.exchange(-1));
        h2o_socket_close(signal_reader);
    }
};

loop::loop() : implementation_(std::make_unique<implementation>()) {
    // A write to a connection that the peer has closed then fails with EPIPE instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
}

loop::~loop() {
    implementation_->close_signal_pipe();
    std::exchange(implementation_->posted, {}).clear();
    implementation_->timers->clear();
    for (int i = 0; i < shutdown_iterations; ++i) {
        std::exchange(implementation_->pending_disposal, {}).clear();
        h2o_evloop_run(implementation_->native, 0);
    }
    h2o_evloop_destroy(implementation_->native);
}

timer_handle loop::after(duration delay, std::function<void()> action) {
    auto entry = implementation_->timers->add(now() + delay, duration::zero(), std::move(action));
    return std::make_unique<queued_timer>(implementation_->timers, std::move(entry));
}

timer_handle loop::every(duration interval, std::function<void()> action) {
    const duration clamped_interval = std::max<duration>(interval, 1ms);
    auto entry = implementation_->timers->add(now() + clamped_interval, clamped_interval, std::move(action));
    return std::make_unique<queued_timer>(implementation_->timers, std::move(entry));
}

void loop::post(std::function<void()> action) {
    implementation_->posted.push_back(std::move(action));
}

void loop::dispose_later(std::shared_ptr<void> object) {
    implementation_->pending_disposal.push_back(std::move(object));
}

void loop::on_signal(int signal_number, std::function<void()> action) {
    if (implementation_->signal_reader == nullptr) {
        implementation_->open_signal_pipe();
    }
    implementation_->signal_actions[signal_number] = std::move(action);
    std::signal(signal_number, write_signal_to_pipe);
}

void loop::run() {
    implementation_->stopped = false;
    while (!implementation_->stopped) {
        implementation_->run_once(time_point::max());
    }
}

bool loop::run_until(const std::function<bool()>& done, duration limit) {
    const time_point end = now() + limit;
    implementation_->stopped = false;
    while (!done()) {
        if (now() >= end || implementation_->stopped) {
            return done();
        }
        implementation_->run_once(end);
    }
    return true;
}

void loop::stop() noexcept {
    implementation_->stopped = true;
}

std::uint64_t loop::polls() const noexcept {
    return implementation_->polls;
}

duration loop::take_longest_timer_delay() noexcept {
    return std::exchange(implementation_->longest_timer_delay, duration::zero());
}

void loop::count_received(std::size_t bytes) noexcept {
    implementation_->received_bytes += bytes;
}

std::uint64_t loop::received_bytes() const noexcept {
    return implementation_->received_bytes;
}

st_h2o_evloop_t* loop::native() noexcept {
    return implementation_->native;
}

} // namespace samphiretray::net
