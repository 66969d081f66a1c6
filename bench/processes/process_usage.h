#pragma once

#include <unistd.h>

#include <fstream>
#include <string>

namespace samphiretray::bench {

/// CPU time that a process has used since its start, in seconds.
inline double cpu_seconds(pid_t process) {
    // Fields 14 and 15 of /proc/PID/stat are user and system time in clock ticks.
    std::ifstream stat{"/proc/" + std::to_string(process) + "/stat"};
    std::string word;
    double ticks = 0;
    for (int field = 1; field <= 15 && stat >> word; ++field) {
        ticks += field >= 14 ? std::stod(word) : 0;
    }
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

/// Resident set size of a process, in MB.
inline double resident_megabytes(pid_t process) {
    std::ifstream statm{"/proc/" + std::to_string(process) + "/statm"};
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

} // namespace samphiretray::bench
