#include "samphiretray/config/snapshot.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <unordered_map>

namespace samphiretray::config {

namespace {

std::optional<std::uint8_t> hex_digit_value(char c) {
    if (c >= '0' && c <= '9') {
        return static_cast<std::uint8_t>(c - '0');
    }
    if (c >= 'a' && c <= 'f') {
        return static_cast<std::uint8_t>(c - 'a' + 10);
    }
    return std::nullopt;
}

template <std::size_t Size>
std::optional<std::array<std::uint8_t, Size>> parse_hex(std::string_view text) {
    if (text.size() != 2 * Size) {
        return std::nullopt;
    }
    std::array<std::uint8_t, Size> bytes{};
    for (std::size_t i = 0; i < Size; ++i) {
        const auto high = hex_digit_value(text[2 * i]);
        const auto low = hex_digit_value(text[2 * i + 1]);
        if (!high || !low) {
            return std::nullopt;
        }
        bytes[i] = static_cast<std::uint8_t>(*high << 4U | *low);
    }
    return bytes;
}

template <typename T>
std::vector<T> sorted_by_name(std::vector<T> values) {
    std::ranges::sort(values, {}, &T::name);
    values.shrink_to_fit();
    return values;
}

template <typename T>
const T* find_by_name(const std::vector<T>& values, std::string_view name) {
    const auto found = std::ranges::lower_bound(values, name, {}, &T::name);
    return found != values.end() && found->name == name ? &*found : nullptr;
}

template <typename T>
std::size_t index_of(const std::vector<T>& values, std::string_view name) {
    return static_cast<std::size_t>(find_by_name(values, name) - values.data());
}

template <typename T>
std::size_t heap_bytes(const std::vector<T>& values) {
    return values.capacity() * sizeof(T);
}

} // namespace

struct snapshot::builder {
    snapshot& target;
    /// The names that are stored already, without those of adapters.
    std::unordered_map<std::string_view, name_range> interned;

    name_range intern(std::string_view name) {
        const auto found = interned.find(name);
        if (found != interned.end()) {
            return found->second;
        }
        return interned.emplace(name, append(name)).first->second;
    }

    name_range append(std::string_view name) {
        const name_range range{static_cast<std::uint32_t>(target.names_.size()),
                               static_cast<std::uint32_t>(name.size())};
        target.names_ += name;
        return range;
    }

    void add_keys(const std::vector<key_grant>& keys) {
        for (const key_grant& key : keys) {
            const auto organisation = index_of(target.organisations_, key.organisation);
            target.keys_.push_back(
                {*parse_hex<32>(key.digest), static_cast<std::uint32_t>(organisation), intern(key.label)});
        }
        target.keys_.shrink_to_fit();
        std::ranges::sort(target.keys_, {}, &packed_key::digest);
    }

    void add_adapters(const inventory& rows) {
        std::vector<const adapter_record*> ordered;
        ordered.reserve(rows.size());
        std::ranges::transform(rows, std::back_inserter(ordered), [](const auto& row) { return &row; });
        std::ranges::sort(ordered, {}, [](const auto* row) { return std::tie(row->adapter, row->version); });
        target.adapters_.reserve(rows.size());
        for (const adapter_record* row : ordered) {
            const auto organisation = index_of(target.organisations_, row->organisation);
            const auto service = index_of(target.services_, row->service);
            target.adapters_.push_back({intern_adapter_name(row->adapter), intern(row->version),
                                        static_cast<std::uint16_t>(organisation),
                                        static_cast<std::uint16_t>(service), row->current});
        }
    }

    /// Rows of one adapter are adjacent, so it is enough to compare the name with that of the last row.
    name_range intern_adapter_name(std::string_view name) {
        if (!target.adapters_.empty() && target.name_at(target.adapters_.back().adapter) == name) {
            return target.adapters_.back().adapter;
        }
        return append(name);
    }
};

snapshot snapshot::build(std::uint64_t revision, const configuration& value) {
    snapshot built;
    built.revision_ = revision;
    built.organisations_ = sorted_by_name(value.rules.organisations);
    built.services_ = sorted_by_name(value.rules.services);
    built.endpoints_ = sorted_by_name(value.rules.endpoints);
    builder packing{built, {}};
    packing.add_keys(value.rules.keys);
    packing.add_adapters(value.inventory);
    built.names_.shrink_to_fit();
    return built;
}

std::string_view snapshot::name_at(name_range range) const noexcept {
    return std::string_view{names_}.substr(range.offset, range.length);
}

adapter_entry snapshot::unpack(const packed_adapter& row) const {
    return {name_at(row.adapter), name_at(row.version), &organisations_[row.organisation],
            &services_[row.service], row.current};
}

std::optional<key_entry> snapshot::find_key(std::string_view digest) const {
    const auto bytes = parse_hex<32>(digest);
    if (!bytes) {
        return std::nullopt;
    }
    const auto found = std::ranges::lower_bound(keys_, *bytes, {}, &packed_key::digest);
    if (found == keys_.end() || found->digest != *bytes) {
        return std::nullopt;
    }
    return key_entry{&organisations_[found->organisation], name_at(found->label)};
}

const organisation* snapshot::find_organisation(std::string_view name) const {
    return find_by_name(organisations_, name);
}

const service* snapshot::find_service(std::string_view name) const {
    return find_by_name(services_, name);
}

const endpoint_rule* snapshot::find_endpoint(std::string_view name) const {
    return find_by_name(endpoints_, name);
}

std::optional<adapter_entry> snapshot::find_adapter(std::string_view adapter,
                                                    std::string_view version) const {
    const auto name = [this](const packed_adapter& row) { return name_at(row.adapter); };
    const auto versions = std::ranges::equal_range(adapters_, adapter, {}, name);
    const auto found = std::ranges::find_if(versions, [&](const packed_adapter& row) {
        return version.empty() ? row.current : name_at(row.version) == version;
    });
    if (found == versions.end()) {
        return std::nullopt;
    }
    return unpack(*found);
}

std::size_t snapshot::memory_bytes() const noexcept {
    return names_.capacity() + heap_bytes(organisations_) + heap_bytes(services_) + heap_bytes(endpoints_) +
           heap_bytes(keys_) + heap_bytes(adapters_);
}

} // namespace samphiretray::config
