#include "samphiretray/orders/claim_ledger.h"

#include "samphiretray/base/hash.h"
#include "samphiretray/base/text.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

namespace samphiretray::orders {

namespace {

constexpr std::string_view header_line = "claims 1\n";
constexpr std::string_view empty_field = "-";
constexpr std::string_view digits = "0123456789abcdef";
constexpr std::size_t claim_field_count = 5;
constexpr std::size_t done_claim_field_count = 9;

error parse_failure(std::size_t line, std::string_view detail) {
    return make_error(errc::protocol_error, step::claim, {},
                      "claims line " + std::to_string(line) + ": " + std::string{detail});
}

bool needs_no_escape(char c) {
    return c > ' ' && c < 0x7F && c != '%' && c != '+';
}

/// Encodes a space as "+", other bytes outside printable ASCII, "%" and "+" as "%xx", an empty text as "-"
/// and the text "-" as "%2d".
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
        } else if (needs_no_escape(c) && text != empty_field) {
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

bool has_valid_escapes(std::string_view text) {
    for (auto at = text.find('%'); at != std::string_view::npos; at = text.find('%', at + 1)) {
        if (!parse_escape(text.substr(at))) {
            return false;
        }
    }
    return true;
}

std::string format_claim(const claim& value) {
    std::string line = escape(value.key) + ' ' + escape(value.content_digest) + ' ' +
                       escape(value.request_id) + ' ' + std::to_string(value.claimed_at) + ' ';
    line += name_of(value.state);
    if (value.state == claim_state::done) {
        line += ' ' + std::to_string(value.answer.status) + (value.answer.body_omitted ? " 1 " : " 0 ");
        line += escape(value.answer.content_type) + ' ' + escape(value.answer.body);
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
    const bool complete = fields.size() == claim_field_count || fields.size() == done_claim_field_count;
    const auto state = complete ? parse_name<claim_state>(fields[4]) : std::nullopt;
    if (!state || (*state == claim_state::done) != (fields.size() == done_claim_field_count)) {
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

outcome outcome_without_body(std::uint16_t status) {
    return {.status = status, .content_type = {}, .body = {}, .body_omitted = true};
}

} // namespace

std::string claim_key(std::string_view organisation, std::string_view idempotency_key) {
    // The length prefix ensures that different pairs never give the same text.
    return sha256_hex(std::to_string(organisation.size()) + ':' + std::string{organisation} +
                      std::string{idempotency_key});
}

std::uint32_t claim_shard(std::string_view key, std::uint32_t shards) {
    return static_cast<std::uint32_t>(hash64(key) % std::max(shards, 1U));
}

std::string shard_key(std::uint32_t shard) {
    return "claims/" + std::to_string(shard);
}

result<claim_ledger> claim_ledger::parse(std::string_view text, ledger_limits limits) {
    claim_ledger ledger{limits};
    if (text.empty()) {
        return ledger;
    }
    if (!text.starts_with(header_line)) {
        return parse_failure(1, "unsupported header line");
    }
    std::size_t number = 1;
    text.remove_prefix(header_line.size());
    while (!text.empty()) {
        ++number;
        const std::size_t end = std::min(text.find('\n'), text.size() - 1) + 1;
        if (!ledger.insert(std::string{text.substr(0, end)})) {
            return parse_failure(number, "malformed claim or duplicate key");
        }
        text.remove_prefix(end);
    }
    return ledger;
}

std::string claim_ledger::format() const {
    std::string text{header_line};
    text.reserve(bytes());
    for (const stored_claim& each : claims_) {
        text += each.line;
    }
    return text;
}

std::size_t claim_ledger::bytes() const noexcept {
    return header_line.size() + line_bytes_;
}

std::optional<claim_ledger::stored_claim> claim_ledger::parse_stored_claim(std::string line) {
    const auto fields = split(std::string_view{line}.substr(0, line.size() - 1), ' ');
    if (fields.size() != claim_field_count && fields.size() != done_claim_field_count) {
        return std::nullopt;
    }
    const auto claimed_at = parse_number<std::int64_t>(fields[3]);
    const auto state = parse_name<claim_state>(fields[4]);
    if (!claimed_at || !state || !line.ends_with('\n') || !has_valid_escapes(line)) {
        return std::nullopt;
    }
    const bool done = *state == claim_state::done;
    if (done != (fields.size() == done_claim_field_count) || (done && !parse_outcome(fields))) {
        return std::nullopt;
    }
    const std::size_t key_size = fields[0].size();
    return stored_claim{std::move(line), key_size, *claimed_at, *state};
}

bool claim_ledger::insert(std::string line) {
    auto parsed = parse_stored_claim(std::move(line));
    if (!parsed || by_key_.contains(parsed->key())) {
        return false;
    }
    line_bytes_ += parsed->line.size();
    claims_.push_back(*std::move(parsed));
    by_key_.emplace(claims_.back().key(), std::prev(claims_.end()));
    return true;
}

void claim_ledger::erase(position at) {
    line_bytes_ -= at->line.size();
    by_key_.erase(at->key());
    claims_.erase(at);
}

std::optional<claim> claim_ledger::find(std::string_view key) const {
    const auto found = by_key_.find(escape(key));
    if (found == by_key_.end()) {
        return std::nullopt;
    }
    const std::string_view line = found->second->line;
    return parse_claim(line.substr(0, line.size() - 1));
}

bool claim_ledger::add(const claim& added) {
    const auto found = by_key_.find(escape(added.key));
    if (found != by_key_.end()) {
        if (found->second->state != claim_state::not_run) {
            return false;
        }
        erase(found->second);
    }
    std::string line = format_claim(added);
    if (bytes() + line.size() > limits_.max_bytes) {
        drop_if([](const stored_claim& each) { return each.state == claim_state::not_run; });
    }
    return bytes() + line.size() <= limits_.max_bytes && insert(std::move(line));
}

/// Changes the state and answer of a claim that is still `claimed` by `request`, and keeps its position.
bool claim_ledger::update(std::string_view key, std::string_view request, claim_state state, outcome answer) {
    const auto found = by_key_.find(escape(key));
    auto changed = find(key);
    if (!changed || changed->state != claim_state::claimed || changed->request_id != request) {
        return false;
    }
    const position at = found->second;
    changed->state = state;
    changed->answer = std::move(answer);
    std::string line = format_claim(*changed);
    if (bytes() - at->line.size() + line.size() > limits_.max_bytes) {
        changed->answer = outcome_without_body(changed->answer.status);
        line = format_claim(*changed);
    }
    by_key_.erase(found);
    line_bytes_ += line.size() - at->line.size();
    at->line = std::move(line);
    at->state = state;
    by_key_.emplace(at->key(), at);
    return true;
}

bool claim_ledger::set_done(std::string_view key, std::string_view request, outcome answer) {
    const bool too_long = answer.body.size() > limits_.max_body_bytes ||
                          answer.content_type.size() > limits_.max_content_type_bytes;
    return update(key, request, claim_state::done,
                  too_long ? outcome_without_body(answer.status) : std::move(answer));
}

bool claim_ledger::set_not_run(std::string_view key, std::string_view request) {
    return update(key, request, claim_state::not_run, {});
}

void claim_ledger::drop_expired(std::int64_t now_seconds) {
    drop_if(
        [&](const stored_claim& each) { return each.claimed_at + limits_.retention_seconds < now_seconds; });
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
