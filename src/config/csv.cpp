#include "csv.h"

#include <algorithm>

namespace samphiretray::config {

std::optional<std::string_view> csv_reader::next_line() {
    if (rest_.empty()) {
        return std::nullopt;
    }
    const std::size_t end = std::min(rest_.find('\n'), rest_.size());
    std::string_view line = rest_.substr(0, end);
    rest_.remove_prefix(std::min(end + 1, rest_.size()));
    ++line_;
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    return line;
}

std::optional<std::vector<std::string>> csv_reader::next() {
    while (!malformed_) {
        const auto line = next_line();
        if (!line) {
            break;
        }
        if (!line->empty()) {
            return split(*line);
        }
    }
    return std::nullopt;
}

std::optional<std::string> csv_reader::take_quoted(std::string_view& line) {
    std::string field;
    line.remove_prefix(1);
    for (std::size_t i = 0; i < line.size(); ++i) {
        if (line[i] != '"') {
            field += line[i];
        } else if (i + 1 < line.size() && line[i + 1] == '"') {
            field += line[i++];
        } else {
            line.remove_prefix(i + 1);
            return field;
        }
    }
    return std::nullopt;
}

std::optional<std::vector<std::string>> csv_reader::split(std::string_view line) {
    std::vector<std::string> fields;
    while (true) {
        if (line.starts_with('"')) {
            auto field = take_quoted(line);
            if (!field || !(line.empty() || line.front() == ',')) {
                malformed_ = true;
                return std::nullopt;
            }
            fields.push_back(*std::move(field));
        } else {
            const std::size_t end = std::min(line.find(','), line.size());
            fields.emplace_back(line.substr(0, end));
            line.remove_prefix(end);
        }
        if (line.empty()) {
            return fields;
        }
        line.remove_prefix(1);
    }
}

} // namespace samphiretray::config
