#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::config {

/// Reads CSV as in RFC 4180. A quoted field must end on its line; blank lines are skipped.
class csv_reader {
public:
    explicit csv_reader(std::string_view text) : rest_(text) {}

    /// The fields of the next line, or nothing at the end or at a broken line.
    [[nodiscard]] std::optional<std::vector<std::string>> next();
    /// Number of the line that `next` read last; the first is 1.
    [[nodiscard]] std::size_t line() const noexcept { return line_; }
    /// True after a line with a quoted field that does not end, or with text after its end.
    [[nodiscard]] bool is_broken() const noexcept { return broken_; }

private:
    [[nodiscard]] std::optional<std::string_view> next_line();
    [[nodiscard]] std::optional<std::vector<std::string>> split(std::string_view line);
    [[nodiscard]] static std::optional<std::string> take_quoted(std::string_view& line);

    std::string_view rest_;
    std::size_t line_ = 0;
    bool broken_ = false;
};

} // namespace samphiretray::config
