#include "samphiretray/base/json_fields.h"
#include "samphiretray/config/configuration.h"

#include "csv.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace samphiretray::config {

namespace {

using presence = json_fields::presence;

constexpr std::array<std::string_view, 5> column_names{"adapter", "version", "organisation", "service",
                                                       "current"};
constexpr std::size_t current_column = 4;
constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";

error line_error(std::string_view file, std::size_t line, const std::string& problem) {
    return make_error(errc::invalid_argument, step::configure, {},
                      "file \"" + std::string{file} + "\" line " + std::to_string(line) + " " + problem);
}

/// For each name of `column_names`, its position in the header if it is there.
using column_positions = std::array<std::optional<std::size_t>, column_names.size()>;

result<column_positions> parse_header(const std::vector<std::string>& cells, std::string_view file) {
    constexpr std::string_view allowed = "; allowed: adapter,version,organisation,service[,current]";
    column_positions positions;
    for (std::size_t position = 0; position < cells.size(); ++position) {
        const auto found = std::ranges::find(column_names, cells[position]);
        if (found == column_names.end()) {
            return line_error(file, 1,
                              "has unknown column \"" + cells[position] + "\"" + std::string{allowed});
        }
        auto& assigned = positions.at(static_cast<std::size_t>(found - column_names.begin()));
        if (assigned) {
            return line_error(file, 1, "has column \"" + cells[position] + "\" twice" + std::string{allowed});
        }
        assigned = position;
    }
    for (std::size_t column = 0; column < current_column; ++column) {
        if (!positions.at(column)) {
            return line_error(file, 1,
                              "lacks column \"" + std::string{column_names.at(column)} + "\"" +
                                  std::string{allowed});
        }
    }
    return positions;
}

std::optional<bool> parse_flag(std::string_view text) {
    if (text == "true" || text == "1") {
        return true;
    }
    if (text == "false" || text == "0") {
        return false;
    }
    return std::nullopt;
}

result<adapter_record> parse_row(const std::vector<std::string>& cells, const column_positions& positions,
                                 std::string_view file, std::size_t line) {
    const auto cell = [&](std::size_t column) { return cells.at(*positions.at(column)); };
    adapter_record row{cell(0), cell(1), cell(2), cell(3), true};
    if (!positions[current_column]) {
        return row;
    }
    const auto current = parse_flag(cell(current_column));
    if (!current) {
        return line_error(file, line,
                          "field \"current\" is \"" + cell(current_column) +
                              "\"; allowed: true, false, 1 or 0");
    }
    row.current = *current;
    return row;
}

result<inventory> parse_csv(std::string_view text, std::string_view file) {
    csv_reader reader{text};
    const auto header_cells = reader.next();
    if (!header_cells) {
        return line_error(file, 1, "has no header");
    }
    const auto positions = parse_header(*header_cells, file);
    if (!positions) {
        return positions.error();
    }
    inventory rows;
    while (const auto cells = reader.next()) {
        if (cells->size() != header_cells->size()) {
            return line_error(file, reader.line(),
                              "has " + std::to_string(cells->size()) +
                                  " fields; allowed: " + std::to_string(header_cells->size()));
        }
        auto row = parse_row(*cells, *positions, file, reader.line());
        if (!row) {
            return row.error();
        }
        rows.push_back(*std::move(row));
    }
    if (reader.is_malformed()) {
        return line_error(file, reader.line(), "has an unfinished quoted field");
    }
    return rows;
}

result<inventory> parse_json(std::string_view text, std::string_view file) {
    auto list = json_fields::parse_list(text, file, step::configure);
    if (!list) {
        return list.error();
    }
    inventory rows;
    rows.reserve(list->size());
    for (json_fields& fields : *list) {
        adapter_record& row = rows.emplace_back();
        fields.read("adapter", row.adapter, presence::required);
        fields.read("version", row.version, presence::required);
        fields.read("organisation", row.organisation, presence::required);
        fields.read("service", row.service, presence::required);
        fields.read("current", row.current);
        if (const auto done = fields.finish(); !done) {
            return done.error();
        }
    }
    return rows;
}

/// Tells JSON from CSV by the first character: a JSON text starts with a bracket, a brace or a comment.
bool is_json(std::string_view text) {
    const std::size_t first = text.find_first_not_of(" \t\r\n");
    return first != std::string_view::npos &&
           (text[first] == '[' || text[first] == '{' || text[first] == '/');
}

} // namespace

result<inventory> parse_inventory(std::string_view text, std::string_view file) {
    if (text.starts_with(byte_order_mark)) {
        text.remove_prefix(byte_order_mark.size());
    }
    return is_json(text) ? parse_json(text, file) : parse_csv(text, file);
}

std::string to_json(const inventory& value) {
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    for (const adapter_record& row : value) {
        list.push_back({{"adapter", row.adapter},
                        {"version", row.version},
                        {"organisation", row.organisation},
                        {"service", row.service},
                        {"current", row.current}});
    }
    return list.dump(1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace samphiretray::config
