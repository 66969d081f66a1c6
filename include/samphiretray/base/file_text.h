#pragma once

#include <fstream>
#include <iterator>
#include <optional>
#include <string>

namespace samphiretray {

/// Returns the content of the file, or nothing if it cannot be opened.
[[nodiscard]] inline std::optional<std::string> read_text_file(const std::string& path) {
    std::ifstream stream{path, std::ios::binary};
    if (!stream) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{stream}, {}};
}

} // namespace samphiretray
