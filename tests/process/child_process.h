#pragma once

#include <sys/types.h>

#include <csignal>
#include <filesystem>
#include <string>
#include <vector>

namespace samphiretray::tests {

/// A child process, of the system or a stand-in, that is killed when the object is destroyed.
class child_process {
public:
    child_process() = default;
    /// Starts `arguments[0]` with `folder` as its working directory; standard output and standard error are
    /// appended to `log`. Throws `std::runtime_error` if it cannot be started.
    child_process(const std::vector<std::string>& arguments, const std::filesystem::path& folder,
                  const std::filesystem::path& log);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Sends the signal `number`, unless the process is known to have ended.
    void signal(int number) const;
    /// Sends SIGKILL and waits until the process has ended.
    void kill();
    /// Whether the process has ended; does not block.
    [[nodiscard]] bool has_ended();
    /// Wait status as `waitpid` gives it; set once the process has ended.
    [[nodiscard]] int exit_status() const noexcept { return exit_status_; }
    [[nodiscard]] pid_t id() const noexcept { return pid_; }
    [[nodiscard]] bool is_running() { return pid_ > 0 && !has_ended(); }

private:
    pid_t pid_ = 0;
    int exit_status_ = 0;
};

} // namespace samphiretray::tests
