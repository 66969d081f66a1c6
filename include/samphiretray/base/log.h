#pragma once

#include "samphiretray/base/name_table.h"

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace samphiretray {

enum class log_level { debug, info, warning, error };

template <>
inline constexpr auto name_table<log_level> = std::to_array<std::pair<log_level, std::string_view>>({
    {log_level::debug, "debug"},
    {log_level::info, "info"},
    {log_level::warning, "warning"},
    {log_level::error, "error"},
});

/// One key=value pair of a log line.
struct log_field {
    std::string_view key;
    std::string value;

    log_field(std::string_view name, std::string text) : key(name), value(std::move(text)) {}
    log_field(std::string_view name, std::string_view text) : key(name), value(text) {}
    log_field(std::string_view name, const char* text) : key(name), value(text) {}
    template <typename Number>
        requires std::integral<Number> || std::floating_point<Number>
    log_field(std::string_view name, Number number) : key(name), value(std::to_string(number)) {}
};

/// Default limit of log lines per second of a process. A busy entry writes three lines for each request.
inline constexpr std::uint32_t default_log_lines_per_s = 1000;

/// Configures logging to standard output; `minimum` is the lowest level written. Call once at start. Writing
/// never blocks: lines beyond the rate limit `lines_per_s`, with a burst of one second, and lines for which
/// the reader of standard output is too slow are dropped. Lines about a request, whose first field is
/// "request", leave a part of the rate to the others. The next line written is followed by
/// "event=log_lines_dropped" with their number.
void configure_logging(log_level minimum, std::uint32_t lines_per_s = default_log_lines_per_s);

/// Writes one line "event=<event> key=value ...". Values with spaces, quotes or control characters are
/// quoted and escaped, so an event is always one line. Never pass API keys or request bodies.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

/// Formats the line that `log_event` writes, without time, level and line break.
[[nodiscard]] std::string format_event(std::string_view event, std::initializer_list<log_field> fields);

} // namespace samphiretray
