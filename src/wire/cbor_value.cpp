#include "cbor_value.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace samphiretray::wire {

namespace {

// Well above the deepest message, which is a map with a list of maps.
constexpr std::size_t max_depth = 8;
// Limits the memory that the parsed form of a frame of many one-byte items takes.
constexpr std::size_t max_items = 65'536;

// Byte strings of at least this length bypass nlohmann's parser, which copies strings byte by byte (206 us
// for 64 KB).
constexpr std::size_t min_extracted_length = 256;

/// Checks the structure of a frame from the heads of its items, without decoding them. This comes before
/// parsing because nlohmann's parser recurses for each nested list, map and string of indefinite length.
///
/// Also extracts long byte strings: `stripped` is the frame with empty byte strings in their places.
class structure_check {
public:
    explicit structure_check(std::string_view frame) : rest_(frame), uncopied_(frame.data()) {}

    /// True if the frame is exactly one item without tags and indefinite lengths, within the limits on
    /// nesting depth and number of items.
    bool run() {
        remaining_items_.push_back(1);
        while (!remaining_items_.empty()) {
            if (remaining_items_.back() == 0) {
                remaining_items_.pop_back();
                continue;
            }
            --remaining_items_.back();
            if (++item_count_ > max_items || !skip_item()) {
                return false;
            }
        }
        stripped_.append(uncopied_, rest_.data());
        return rest_.empty();
    }

    /// Valid if `run` has returned true.
    [[nodiscard]] const std::string& stripped() const noexcept { return stripped_; }
    /// One element for each byte string of the frame, in order; empty for those that stay in `stripped`.
    [[nodiscard]] const std::vector<std::string_view>& byte_strings() const noexcept { return byte_strings_; }

private:
    enum major_type : unsigned { byte_string = 2, text_string = 3, list = 4, map = 5, tag = 6, simple = 7 };

    bool skip_item() {
        if (rest_.empty()) {
            return false;
        }
        const char* start = rest_.data();
        const auto head = static_cast<unsigned char>(rest_.front());
        rest_.remove_prefix(1);
        const unsigned type = head >> 5U;
        const auto argument = read_argument(head & 0x1FU);
        if (!argument || type == tag) {
            return false;
        }
        if (type == byte_string) {
            return skip_byte_string(start, *argument);
        }
        if (type == text_string) {
            return skip_bytes(*argument);
        }
        if (type == list || type == map) {
            return open_container(*argument, type == map ? 2 : 1);
        }
        return true;
    }

    /// The argument of an item's head (RFC 8949): its value, its length in bytes or its number of elements.
    std::optional<std::uint64_t> read_argument(unsigned short_form) {
        constexpr unsigned first_long_form = 24;
        constexpr unsigned last_long_form = 27;
        if (short_form < first_long_form) {
            return short_form;
        }
        const std::size_t size = std::size_t{1} << (short_form - first_long_form);
        if (short_form > last_long_form || rest_.size() < size) {
            return std::nullopt;
        }
        std::uint64_t value = 0;
        for (const char c : rest_.substr(0, size)) {
            value = (value << 8U) | static_cast<unsigned char>(c);
        }
        rest_.remove_prefix(size);
        return value;
    }

    bool skip_byte_string(const char* start, std::uint64_t count) {
        const std::string_view content = rest_.substr(0, count);
        if (!skip_bytes(count)) {
            return false;
        }
        const bool extracted = content.size() >= min_extracted_length;
        byte_strings_.push_back(extracted ? content : std::string_view{});
        if (extracted) {
            constexpr char empty_byte_string = 0x40;
            stripped_.append(uncopied_, start);
            stripped_ += empty_byte_string;
            uncopied_ = rest_.data();
        }
        return true;
    }

    bool skip_bytes(std::uint64_t count) {
        if (count > rest_.size()) {
            return false;
        }
        rest_.remove_prefix(count);
        return true;
    }

    bool open_container(std::uint64_t count, std::uint64_t items_each) {
        // Each element takes at least one byte, so a count above the remaining bytes is invalid.
        if (remaining_items_.size() > max_depth || count > rest_.size()) {
            return false;
        }
        remaining_items_.push_back(count * items_each);
        return true;
    }

    std::string_view rest_;
    // Items left to read in each open list or map, the innermost last.
    std::vector<std::uint64_t> remaining_items_;
    std::size_t item_count_ = 0;
    std::string stripped_;
    std::vector<std::string_view> byte_strings_;
    // Start of the part of the frame that has not been copied to `stripped_`.
    const char* uncopied_;
};

/// Builds a `cbor_value` from the SAX events of nlohmann's parser. An event handler that returns false stops
/// the parser.
class value_builder {
public:
    using string_t = nlohmann::json::string_t;
    using binary_t = nlohmann::json::binary_t;

    explicit value_builder(const std::vector<std::string_view>& byte_strings) : byte_strings_(byte_strings) {}

    bool null() { return add({cbor_value::other{}}); }
    bool boolean(bool value) { return add({value}); }
    bool number_integer(std::int64_t value) { return add({value}); }
    bool number_unsigned(std::uint64_t value) { return add({value}); }
    bool number_float(double, const string_t&) { return null(); }
    bool string(string_t& value) { return add({std::move(value)}); }
    bool binary(binary_t& value) {
        const std::string_view extracted = byte_strings_.at(next_byte_string_++);
        return extracted.empty() ? add({cbor_value::byte_string{{value.begin(), value.end()}}})
                                 : add({cbor_value::byte_string{std::string{extracted}}});
    }
    bool start_object(std::size_t) { return open_container({cbor_value::map{}}); }
    bool start_array(std::size_t) { return open_container({cbor_value::list{}}); }
    bool end_object() { return close_container(); }
    bool end_array() { return close_container(); }
    bool key(string_t& name) {
        key_ = std::move(name);
        return true;
    }
    bool parse_error(std::size_t, const std::string&, const nlohmann::json::exception&) { return false; }

    [[nodiscard]] cbor_value take() { return std::move(root_); }

private:
    bool add(cbor_value value) {
        append_value(std::move(value));
        return true;
    }

    bool open_container(cbor_value value) {
        // Only the innermost open container grows, so pointers to the outer ones stay valid.
        open_containers_.push_back(&append_value(std::move(value)));
        return true;
    }

    bool close_container() {
        open_containers_.pop_back();
        return true;
    }

    cbor_value& append_value(cbor_value value) {
        if (open_containers_.empty()) {
            root_ = std::move(value);
            return root_;
        }
        auto& parent = open_containers_.back()->content;
        if (auto* list = std::get_if<cbor_value::list>(&parent)) {
            return list->emplace_back(std::move(value));
        }
        auto& map = std::get<cbor_value::map>(parent);
        return map.emplace_back(cbor_value::map_entry{std::move(key_), std::move(value)}).value;
    }

    cbor_value root_;
    std::vector<cbor_value*> open_containers_;
    std::string key_;
    const std::vector<std::string_view>& byte_strings_;
    std::size_t next_byte_string_ = 0;
};

} // namespace

cbor_value* cbor_value::find(std::string_view key) {
    auto* entries = std::get_if<map>(&content);
    if (entries == nullptr) {
        return nullptr;
    }
    const auto found = std::ranges::find(*entries, key, &map_entry::key);
    return found == entries->end() ? nullptr : &found->value;
}

std::optional<cbor_value> parse_cbor(std::string_view frame) {
    structure_check structure{frame};
    if (!structure.run()) {
        return std::nullopt;
    }
    value_builder builder{structure.byte_strings()};
    try {
        const bool is_complete = nlohmann::json::sax_parse(structure.stripped(), &builder,
                                                           nlohmann::json::input_format_t::cbor, true);
        return is_complete ? std::optional{builder.take()} : std::nullopt;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace samphiretray::wire
