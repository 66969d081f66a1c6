#include "tests/process/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <stdexcept>
#include <utility>

extern char** environ;

namespace samphiretray::tests {

child_process::child_process(const std::vector<std::string>& arguments, const std::filesystem::path& folder,
                             const std::filesystem::path& log) {
    std::vector<char*> argv;
    for (const std::string& argument : arguments) {
        argv.push_back(const_cast<char*>(argument.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 2, 1);
    posix_spawn_file_actions_addchdir_np(&actions, folder.c_str());
    const int spawn_error = posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (spawn_error != 0) {
        pid_ = 0;
        throw std::runtime_error("cannot start process " + arguments[0]);
    }
}

child_process::~child_process() {
    kill();
}

child_process::child_process(child_process&& other) noexcept
    : pid_(std::exchange(other.pid_, 0)), exit_status_(other.exit_status_) {}

child_process& child_process::operator=(child_process&& other) noexcept {
    if (this != &other) {
        kill();
        pid_ = std::exchange(other.pid_, 0);
        exit_status_ = other.exit_status_;
    }
    return *this;
}

void child_process::signal(int number) const {
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

void child_process::kill() {
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, &exit_status_, 0);
        pid_ = 0;
    }
}

bool child_process::has_ended() {
    if (pid_ > 0 && ::waitpid(pid_, &exit_status_, WNOHANG) == pid_) {
        pid_ = 0;
    }
    return pid_ == 0;
}

} // namespace samphiretray::tests
