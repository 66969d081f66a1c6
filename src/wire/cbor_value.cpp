#include "cbor_value.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace samphiretray::wire {

namespace {

// The deepest message is a map with a list of maps.
constexpr std::size_t max_depth = 8;
// Bounds the memory of a frame that is divided into one-byte items.
constexpr std::size_t max_items = 65'536;

// nlohmann's parser copies strings byte by byte (206 us for 64 KB), so longer byte strings go around it.
constexpr std::size_t long_byte_string = 256;

/// Walks over the heads of the items without decoding them. nlohmann's parser recurses for each nested list,
/// map and string of indefinite length, so the shape of a frame is checked before it sees the frame.
///
/// Long byte strings are cut out on the way: `reduced` is the frame with empty ones in their places.
class shape_check {
public:
    explicit shape_check(std::string_view frame) : rest_(frame), unsaved_(frame.data()) {}

    /// True for one item without tags and indefinite lengths, within the limits of depth and number.
    bool run() {
        open_.push_back(1);
        while (!open_.empty()) {
            if (open_.back() == 0) {
                open_.pop_back();
                continue;
            }
            --open_.back();
            if (++items_ > max_items || !skip_item()) {
                return false;
            }
        }
        reduced_.append(unsaved_, rest_.data());
        return rest_.empty();
    }

    /// Valid if `run` has returned true.
    [[nodiscard]] const std::string& reduced() const noexcept { return reduced_; }
    /// Each byte string of the frame in order; empty for the short ones, which stay in `reduced`.
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
            return open(*argument, type == map ? 2 : 1);
        }
        return true;
    }

    /// The number behind an item's head: its value, its length in bytes or its count.
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
        const bool cut = content.size() >= long_byte_string;
        byte_strings_.push_back(cut ? content : std::string_view{});
        if (cut) {
            constexpr char empty_byte_string = 0x40;
            reduced_.append(unsaved_, start);
            reduced_ += empty_byte_string;
            unsaved_ = rest_.data();
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

    bool open(std::uint64_t count, std::uint64_t items_each) {
        // Each item takes at least one byte, so a larger count cannot be true.
        if (open_.size() > max_depth || count > rest_.size()) {
            return false;
        }
        open_.push_back(count * items_each);
        return true;
    }

    std::string_view rest_;
    // Items left in each open list or map.
    std::vector<std::uint64_t> open_;
    std::size_t items_ = 0;
    std::string reduced_;
    std::vector<std::string_view> byte_strings_;
    // Start of the part of the frame that is not yet in `reduced_`.
    const char* unsaved_;
};

/// Builds a `cbor_value` from the events of nlohmann's parser. Returning false stops the parser.
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
        const std::string_view cut = byte_strings_.at(next_byte_string_++);
        return cut.empty() ? add({cbor_value::byte_string{{value.begin(), value.end()}}})
                           : add({cbor_value::byte_string{std::string{cut}}});
    }
    bool start_object(std::size_t) { return open({cbor_value::map{}}); }
    bool start_array(std::size_t) { return open({cbor_value::list{}}); }
    bool end_object() { return close(); }
    bool end_array() { return close(); }
    bool key(string_t& name) {
        key_ = std::move(name);
        return true;
    }
    bool parse_error(std::size_t, const std::string&, const nlohmann::json::exception&) { return false; }

    [[nodiscard]] cbor_value take() { return std::move(root_); }

private:
    bool add(cbor_value value) {
        place(std::move(value));
        return true;
    }

    bool open(cbor_value value) {
        // Only the innermost open item grows, so pointers to the outer ones stay valid.
        parents_.push_back(&place(std::move(value)));
        return true;
    }

    bool close() {
        parents_.pop_back();
        return true;
    }

    cbor_value& place(cbor_value value) {
        if (parents_.empty()) {
            root_ = std::move(value);
            return root_;
        }
        auto& parent = parents_.back()->content;
        if (auto* list = std::get_if<cbor_value::list>(&parent)) {
            return list->emplace_back(std::move(value));
        }
        auto& map = std::get<cbor_value::map>(parent);
        return map.emplace_back(cbor_value::map_entry{std::move(key_), std::move(value)}).value;
    }

    cbor_value root_;
    std::vector<cbor_value*> parents_;
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
    shape_check shape{frame};
    if (!shape.run()) {
        return std::nullopt;
    }
    value_builder builder{shape.byte_strings()};
    try {
        const bool whole =
            nlohmann::json::sax_parse(shape.reduced(), &builder, nlohmann::json::input_format_t::cbor, true);
        return whole ? std::optional{builder.take()} : std::nullopt;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace samphiretray::wire
