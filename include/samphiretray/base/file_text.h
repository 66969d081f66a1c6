#pragma once

#include <fstream>
#include <iterator>
#include <optional>
#include <string>

namespace samphiretray {

/// The whole file, or nothing if it cannot be read.
[[nodiscard]] inline std::optional<std::string> read_text_file(const std::string& name) {
    std::ifstream stream{name, std::ios::binary};
    if (!stream) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{stream}, {}};
}

} // namespace samphiretray
