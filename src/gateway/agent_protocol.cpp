#include "samphiretray/gateway/agent_protocol.h"

#include "samphiretray/base/text.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <ranges>

namespace samphiretray::gateway {

namespace {

constexpr std::string_view budget_header = "samphiretray-waiting-budget-ms";
constexpr std::string_view load_header = "samphiretray-engine-load";
constexpr std::string_view refusal_header = "samphiretray-refusal";
constexpr std::string_view engine_start_header = "samphiretray-engine-start";
constexpr std::string_view refusal_wait_header = "samphiretray-refusal-wait-ms";
constexpr std::string_view engine_cold_header = "samphiretray-engine-cold-ms";
constexpr std::string_view work_time_header = "samphiretray-engine-work-time";
constexpr std::string_view sending_header = "samphiretray-sending";
constexpr std::string_view software_version_header = "samphiretray-software-version";
constexpr std::array agent_headers{work_time_header,   budget_header,       load_header,
                                   refusal_header,     engine_start_header, refusal_wait_header,
                                   engine_cold_header, sending_header,      software_version_header};
/// The header lists backlog tokens, running requests, reserved KV memory, free slots, wanted adapters and
/// reading rate, followed by the names of resident adapters.
constexpr std::size_t load_number_count = 6;
constexpr std::size_t budget_number_count = 3;
/// How long a request may wait at the first choice while other endpoints could take it, as a multiple of the
/// target latency.
constexpr double first_choice_wait_factor = 1.5;

std::string milliseconds_text(duration value) {
    return std::to_string(std::max<std::int64_t>(milliseconds_in(value), 0));
}

} // namespace

waiting_budget make_waiting_budget(const request_times& times, duration round_trip, bool may_try_others,
                                   time_point now) {
    waiting_budget budget;
    budget.until_abandoned = std::min(times.deadline, times.arrived + times.silence_timeout) - now;
    budget.until_late = times.arrived + times.target_latency - now - round_trip;
    budget.max_queue_wait = may_try_others ? std::min(scaled(times.target_latency, first_choice_wait_factor),
                                                      budget.until_abandoned)
                                           : budget.until_abandoned;
    return budget;
}

void add_waiting_budget(net::http_headers& headers, const waiting_budget& budget) {
    headers.push_back({std::string{budget_header}, milliseconds_text(budget.max_queue_wait) + "," +
                                                       milliseconds_text(budget.until_late) + "," +
                                                       milliseconds_text(budget.until_abandoned)});
}

std::optional<waiting_budget> read_waiting_budget(const net::http_headers& headers) {
    const auto parts = split(net::find_header(headers, budget_header), ',');
    if (parts.size() != budget_number_count) {
        return std::nullopt;
    }
    std::array<duration, budget_number_count> values{};
    for (std::size_t index = 0; index < budget_number_count; ++index) {
        const auto value = parse_number<std::uint32_t>(parts[index]);
        if (!value) {
            return std::nullopt;
        }
        values.at(index) = std::chrono::milliseconds{*value};
    }
    return waiting_budget{values[0], values[1], values[2]};
}

void add_engine_start(net::http_headers& headers, std::uint64_t started_at) {
    headers.push_back({std::string{engine_start_header}, std::to_string(started_at)});
}

std::optional<std::uint64_t> read_engine_start(const net::http_headers& headers) {
    return parse_number<std::uint64_t>(net::find_header(headers, engine_start_header));
}

void add_software_version(net::http_headers& headers, std::string_view version) {
    if (!version.empty()) {
        headers.push_back({std::string{software_version_header}, std::string{version}});
    }
}

std::string_view read_software_version(const net::http_headers& headers) {
    return net::find_header(headers, software_version_header);
}

void add_engine_cold(net::http_headers& headers, duration left) {
    if (left > duration::zero()) {
        headers.push_back({std::string{engine_cold_header}, milliseconds_text(left)});
    }
}

std::optional<duration> read_engine_cold(const net::http_headers& headers) {
    const auto left = parse_number<std::uint32_t>(net::find_header(headers, engine_cold_header));
    return left ? std::optional<duration>{std::chrono::milliseconds{*left}} : std::nullopt;
}

void add_sending(net::http_headers& headers, std::string_view sending) {
    if (!sending.empty()) {
        headers.push_back({std::string{sending_header}, std::string{sending}});
    }
}

std::string_view read_sending(const net::http_headers& headers) {
    return net::find_header(headers, sending_header);
}

void add_engine_load(net::http_headers& headers, const routing::engine_load& load) {
    std::string text = std::to_string(load.backlog_tokens) + "," + std::to_string(load.running) + "," +
                       std::to_string(load.kv_reserved) + "," + std::to_string(load.free_slots) + "," +
                       std::to_string(load.waiting_adapters) + "," + std::to_string(load.prefill_rate);
    for (const std::string& name : load.resident) {
        text += "," + name;
    }
    headers.push_back({std::string{load_header}, std::move(text)});
    if (load.work_time_percent > 0) {
        headers.push_back({std::string{work_time_header}, std::to_string(load.work_time_percent)});
    }
}

std::optional<routing::engine_load> read_engine_load(const net::http_headers& headers) {
    const auto parts = split(net::find_header(headers, load_header), ',');
    if (parts.size() < load_number_count) {
        return std::nullopt;
    }
    const auto backlog = parse_number<std::uint64_t>(parts[0]);
    const auto running = parse_number<std::uint32_t>(parts[1]);
    const auto reserved = parse_number<std::uint64_t>(parts[2]);
    const auto free_slots = parse_number<std::uint32_t>(parts[3]);
    const auto wanted = parse_number<std::uint32_t>(parts[4]);
    const auto rate = parse_number<std::uint32_t>(parts[5]);
    if (!backlog || !running || !reserved || !free_slots || !wanted || !rate) {
        return std::nullopt;
    }
    routing::engine_load load{*backlog, *running, *reserved, *free_slots, *wanted, *rate, {}};
    load.work_time_percent =
        parse_number<std::uint32_t>(net::find_header(headers, work_time_header)).value_or(0);
    for (const std::string_view name : parts | std::views::drop(load_number_count)) {
        load.resident.emplace_back(name);
    }
    return load;
}

void add_refusal(net::http_headers& headers, agent_refusal reason, std::optional<duration> retry_after) {
    headers.push_back({std::string{refusal_header}, std::string{name_of(reason)}});
    if (retry_after) {
        headers.push_back({std::string{refusal_wait_header}, milliseconds_text(*retry_after)});
    }
}

std::optional<duration> read_refusal_wait(const net::http_headers& headers) {
    const auto wait = parse_number<std::uint32_t>(net::find_header(headers, refusal_wait_header));
    return wait ? std::optional<duration>{std::chrono::milliseconds{*wait}} : std::nullopt;
}

std::optional<agent_refusal> read_refusal(const net::http_headers& headers) {
    const std::string_view text = net::find_header(headers, refusal_header);
    return text.empty() ? std::nullopt : parse_name<agent_refusal>(text);
}

void remove_agent_headers(net::http_headers& headers) {
    std::erase_if(headers, [](const net::http_header& header) {
        return std::ranges::any_of(agent_headers, [&header](std::string_view name) {
            return net::equals_ignore_case(header.name, name);
        });
    });
}

} // namespace samphiretray::gateway
