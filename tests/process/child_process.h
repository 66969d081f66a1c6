#pragma once

#include <sys/types.h>

#include <csignal>
#include <filesystem>
#include <string>
#include <vector>

namespace samphiretray::tests {

/// A process of the system or a stand-in, started by a test and killed when the object goes.
class child_process {
public:
    child_process() = default;
    /// Starts `arguments[0]` in `folder`; its output and its standard error go to `log`.
    child_process(const std::vector<std::string>& arguments, const std::filesystem::path& folder,
                  const std::filesystem::path& log);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void signal(int number) const;
    /// SIGKILL, and waits for the end.
    void kill();
    /// True once the process has ended by itself; its exit status is then in `exit_status`.
    [[nodiscard]] bool has_ended();
    [[nodiscard]] int exit_status() const noexcept { return exit_status_; }
    [[nodiscard]] pid_t id() const noexcept { return pid_; }
    [[nodiscard]] bool is_running() { return pid_ > 0 && !has_ended(); }

private:
    pid_t pid_ = 0;
    int exit_status_ = 0;
};

} // namespace samphiretray::tests
