#include "samphiretray/orders/claim_ledger.h"

#include "samphiretray/base/hash.h"
#include "samphiretray/base/split.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

namespace samphiretray::orders {

namespace {

constexpr std::string_view first_line = "claims 1\n";
constexpr std::string_view empty_field = "-";
constexpr std::string_view digits = "0123456789abcdef";
constexpr std::size_t fields_of_claim = 5;
constexpr std::size_t fields_of_done = 9;

error parse_failure(std::size_t line, std::string_view detail) {
    return make_error(errc::protocol_error, step::claim, {},
                      "claims line " + std::to_string(line) + ": " + std::string{detail});
}

bool is_plain(char c) {
    return c > ' ' && c < 0x7F && c != '%' && c != '+';
}

/// Space becomes "+", other bytes outside printable ASCII "%xx"; an empty text "-".
std::string escape(std::string_view text) {
    if (text.empty()) {
        return std::string{empty_field};
    }
    std::string escaped;
    escaped.reserve(text.size());
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == ' ') {
            escaped += '+';
        } else if (is_plain(c) && text != empty_field) {
            escaped += c;
        } else {
            escaped += {'%', digits[byte >> 4U], digits[byte & 0xFU]};
        }
    }
    return escaped;
}

std::optional<char> parse_escape(std::string_view text) {
    const auto high = text.size() < 3 ? std::string_view::npos : digits.find(text[1]);
    const auto low = text.size() < 3 ? std::string_view::npos : digits.find(text[2]);
    if (high == std::string_view::npos || low == std::string_view::npos) {
        return std::nullopt;
    }
    return static_cast<char>(high << 4U | low);
}

std::optional<std::string> unescape(std::string_view text) {
    std::string plain;
    if (text == empty_field) {
        return plain;
    }
    plain.reserve(text.size());
    while (!text.empty()) {
        if (text.front() != '%') {
            plain += text.front() == '+' ? ' ' : text.front();
            text.remove_prefix(1);
            continue;
        }
        const auto byte = parse_escape(text);
        if (!byte) {
            return std::nullopt;
        }
        plain += *byte;
        text.remove_prefix(3);
    }
    return plain;
}

std::string format_claim(const claim& of) {
    std::string line = escape(of.key) + ' ' + escape(of.content) + ' ' + escape(of.request) + ' ' +
                       std::to_string(of.claimed_at) + ' ';
    line += name_of(of.state);
    if (of.state == claim_state::done) {
        line += ' ' + std::to_string(of.answer.status) + (of.answer.body_omitted ? " 1 " : " 0 ");
        line += escape(of.answer.content_type) + ' ' + escape(of.answer.body);
    }
    line += '\n';
    return line;
}

std::optional<outcome> parse_outcome(const std::vector<std::string_view>& fields) {
    const auto status = parse_number<std::uint16_t>(fields[5]);
    const auto omitted = parse_number<int>(fields[6]);
    auto type = unescape(fields[7]);
    auto body = unescape(fields[8]);
    if (!status || !omitted || !type || !body) {
        return std::nullopt;
    }
    return outcome{*status, *std::move(type), *std::move(body), *omitted != 0};
}

std::optional<claim> parse_claim(std::string_view line) {
    const auto fields = split(line, ' ');
    const bool complete = fields.size() == fields_of_claim || fields.size() == fields_of_done;
    const auto state = complete ? parse_name<claim_state>(fields[4]) : std::nullopt;
    if (!state || (*state == claim_state::done) != (fields.size() == fields_of_done)) {
        return std::nullopt;
    }
    auto key = unescape(fields[0]);
    auto content = unescape(fields[1]);
    auto request = unescape(fields[2]);
    const auto claimed_at = parse_number<std::int64_t>(fields[3]);
    const auto answer = *state == claim_state::done ? parse_outcome(fields) : outcome{};
    if (!key || !content || !request || !claimed_at || !answer) {
        return std::nullopt;
    }
    return claim{*std::move(key), *std::move(content), *std::move(request), *claimed_at, *state, *answer};
}

} // namespace

std::string claim_key(std::string_view organisation, std::string_view idempotency_key) {
    // The length keeps different pairs from giving the same text.
    return sha256_hex(std::to_string(organisation.size()) + ':' + std::string{organisation} +
                      std::string{idempotency_key});
}

std::uint32_t claim_shard(std::string_view key, std::uint32_t shards) {
    return static_cast<std::uint32_t>(hash64(key) % std::max(shards, 1U));
}

std::string claims_key(std::uint32_t shard) {
    return "claims/" + std::to_string(shard);
}

result<claim_ledger> claim_ledger::parse(std::string_view text, ledger_limits limits) {
    claim_ledger ledger{limits};
    if (text.empty()) {
        return ledger;
    }
    if (!text.starts_with(first_line)) {
        return parse_failure(1, "unknown first line");
    }
    std::size_t number = 1;
    for (const std::string_view line : split(text.substr(first_line.size()), '\n')) {
        ++number;
        auto parsed = parse_claim(line);
        if (!parsed) {
            return parse_failure(number, "malformed claim");
        }
        if (ledger.by_key_.contains(parsed->key)) {
            return parse_failure(number, "second claim of a key");
        }
        ledger.insert(*std::move(parsed), line.size() + 1);
    }
    return ledger;
}

std::string claim_ledger::format() const {
    std::string text{first_line};
    text.reserve(bytes());
    for (const claim& each : claims_) {
        text += format_claim(each);
    }
    return text;
}

std::size_t claim_ledger::bytes() const noexcept {
    return first_line.size() + claim_bytes_;
}

void claim_ledger::insert(claim added, std::size_t line_bytes) {
    claims_.push_back(std::move(added));
    by_key_.emplace(claims_.back().key, std::prev(claims_.end()));
    claim_bytes_ += line_bytes;
}

void claim_ledger::erase(position at) {
    claim_bytes_ -= format_claim(*at).size();
    by_key_.erase(at->key);
    claims_.erase(at);
}

const claim* claim_ledger::find(std::string_view key) const {
    const auto found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : &*found->second;
}

claim* claim_ledger::find_live(std::string_view key, std::string_view request) {
    const auto found = by_key_.find(key);
    const bool live = found != by_key_.end() && found->second->state == claim_state::claimed &&
                      found->second->request == request;
    return live ? &*found->second : nullptr;
}

bool claim_ledger::add(claim added) {
    const auto found = by_key_.find(added.key);
    if (found != by_key_.end()) {
        if (found->second->state != claim_state::not_run) {
            return false;
        }
        erase(found->second);
    }
    const std::size_t size = format_claim(added).size();
    if (bytes() + size > limits_.max_bytes) {
        drop_if([](const claim& each) { return each.state == claim_state::not_run; });
    }
    if (bytes() + size > limits_.max_bytes) {
        return false;
    }
    insert(std::move(added), size);
    return true;
}

bool claim_ledger::set_done(std::string_view key, std::string_view request, outcome answer) {
    claim* const live = find_live(key, request);
    if (live == nullptr) {
        return false;
    }
    const std::size_t before = format_claim(*live).size();
    const bool too_long = answer.body.size() > limits_.max_body_bytes ||
                          answer.content_type.size() > limits_.max_content_type_bytes;
    live->state = claim_state::done;
    live->answer = std::move(answer);
    const std::size_t after = format_claim(*live).size();
    if (too_long || bytes() - before + after > limits_.max_bytes) {
        live->answer = {.status = live->answer.status, .content_type = {}, .body = {}, .body_omitted = true};
    }
    claim_bytes_ += format_claim(*live).size() - before;
    return true;
}

bool claim_ledger::set_not_run(std::string_view key, std::string_view request) {
    claim* const live = find_live(key, request);
    if (live == nullptr) {
        return false;
    }
    const std::size_t before = format_claim(*live).size();
    live->state = claim_state::not_run;
    claim_bytes_ += format_claim(*live).size() - before;
    return true;
}

void claim_ledger::drop_expired(std::int64_t now_seconds) {
    drop_if([&](const claim& each) { return each.claimed_at + limits_.retention_seconds < now_seconds; });
}

template <typename Predicate>
void claim_ledger::drop_if(Predicate dropped) {
    for (auto at = claims_.begin(); at != claims_.end();) {
        const auto next = std::next(at);
        if (dropped(*at)) {
            erase(at);
        }
        at = next;
    }
}

} // namespace samphiretray::orders
