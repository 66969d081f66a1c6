#include "samphiretray/base/log.h"

#include "samphiretray/base/text.h"
#include "samphiretray/base/time.h"

#include <easylogging++.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace samphiretray {

namespace {

bool needs_quotes(std::string_view value) {
    return value.empty() || !is_utf8(value) || std::ranges::any_of(value, [](unsigned char c) {
               return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7F;
           });
}

void append_escaped(std::string& line, std::string_view value) {
    const bool is_text = is_utf8(value);
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else if (byte < ' ' || byte == 0x7F || (byte > 0x7F && !is_text)) {
            std::array<char, 5> escaped{};
            std::snprintf(escaped.data(), escaped.size(), "\\x%02x", byte);
            line += escaped.data();
        } else {
            line += c;
        }
    }
}

void append_field(std::string& line, std::string_view key, std::string_view value) {
    line += key;
    line += '=';
    if (!needs_quotes(value)) {
        line += value;
        return;
    }
    line += '"';
    append_escaped(line, value);
    line += '"';
}

el::Level to_el_level(log_level level) {
    switch (level) {
    case log_level::debug:
        return el::Level::Debug;
    case log_level::info:
        return el::Level::Info;
    case log_level::warning:
        return el::Level::Warning;
    case log_level::error:
        break;
    }
    return el::Level::Error;
}

/// Writes lines to standard output and limits their rate with a token bucket.
class log_output {
public:
    explicit log_output(std::uint32_t lines_per_s) : lines_per_s_(lines_per_s), tokens_(lines_per_s) {}

    /// Takes a token for a line. Returns false if the line is to be dropped.
    bool admit(bool concerns_request) {
        refill();
        const double reserve = concerns_request ? lines_per_s_ * reserved_fraction : 0.0;
        if (tokens_ < 1.0 + reserve) {
            ++dropped_;
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

    void write(std::string line) {
        if (dropped_ > 0) {
            line += format_event("log_lines_dropped", {{"lines", dropped_}}) + "\n";
        }
        // A line is shorter than PIPE_BUF, so a pipe takes it whole or not at all.
        if (::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size())) {
            dropped_ = 0;
        } else {
            ++dropped_;
        }
    }

private:
    /// Part of the rate that is kept for lines about the process itself. There are few of them, and under
    /// load lines about requests would displace the ones that tell what the process believed.
    static constexpr double reserved_fraction = 0.2;

    void refill() {
        const time_point now = monotonic_clock::now();
        const std::chrono::duration<double> elapsed = now - refilled_at_;
        tokens_ = std::min(lines_per_s_, tokens_ + elapsed.count() * lines_per_s_);
        refilled_at_ = now;
    }

    double lines_per_s_;
    double tokens_;
    time_point refilled_at_ = monotonic_clock::now();
    std::uint64_t dropped_ = 0;
};

log_output output{default_log_lines_per_s};

} // namespace

void configure_logging(log_level minimum, std::uint32_t lines_per_s) {
    output = log_output{lines_per_s};
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    settings.setGlobally(el::ConfigurationType::Format, "%msg");
    constexpr std::array levels{log_level::debug, log_level::info, log_level::warning, log_level::error};
    for (const log_level level : levels) {
        settings.set(to_el_level(level), el::ConfigurationType::Enabled, level >= minimum ? "true" : "false");
    }
    el::Loggers::reconfigureLogger("default", settings);
}

std::string format_event(std::string_view event, std::initializer_list<log_field> fields) {
    std::string line;
    append_field(line, "event", event);
    for (const log_field& field : fields) {
        line += ' ';
        append_field(line, field.key, field.value);
    }
    return line;
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    el::Logger* logger = el::Loggers::getLogger("default");
    if (!logger->typedConfigurations()->enabled(to_el_level(level))) {
        return;
    }
    const bool concerns_request = fields.size() > 0 && fields.begin()->key == "request";
    if (!output.admit(concerns_request)) {
        return;
    }
    constexpr std::array<std::string_view, 4> names{"debug", "info", "warning", "error"};
    constexpr int millisecond_digits = 3;
    const el::base::SubsecondPrecision precision{millisecond_digits};
    std::string line = "time=";
    line += el::base::utils::DateTime::getDateTime("%Y-%M-%dT%H:%m:%s.%g", &precision);
    line += " level=";
    line += names.at(static_cast<std::size_t>(level));
    line += ' ';
    line += format_event(event, fields);
    line += '\n';
    output.write(std::move(line));
}

} // namespace samphiretray
