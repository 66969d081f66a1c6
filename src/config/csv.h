#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::config {

/// Reads CSV as in RFC 4180, except that quoted fields cannot contain line breaks. Blank lines are skipped.
class csv_reader {
public:
    explicit csv_reader(std::string_view text) : rest_(text) {}

    /// The fields of the next line, or nothing at the end of the text or from a malformed line on.
    [[nodiscard]] std::optional<std::vector<std::string>> next();
    /// Number of the line that `next` read last; the first is 1.
    [[nodiscard]] std::size_t line() const noexcept { return line_; }
    /// True after a line with an unterminated quoted field, or with text between a closing quote and the
    /// comma.
    [[nodiscard]] bool is_malformed() const noexcept { return malformed_; }

private:
    [[nodiscard]] std::optional<std::string_view> next_line();
    [[nodiscard]] std::optional<std::vector<std::string>> split(std::string_view line);
    [[nodiscard]] static std::optional<std::string> take_quoted(std::string_view& line);

    std::string_view rest_;
    std::size_t line_ = 0;
    bool malformed_ = false;
};

} // namespace samphiretray::config
