#include "samphiretray/entry/service_levels.h"

#include "tests/entry/recorded_response.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace samphiretray;

namespace {

constexpr time_point now{duration{48h}};

void record(entry::service_levels& levels, int status, bool answered, duration first_byte_after) {
    entry::request_context request{1, {}, std::make_shared<tests::recorded_response>(), now};
    request.organisation = "members";
    request.service = "desk";
    request.completion.emplace();
    request.first_byte = now + first_byte_after;
    entry::request_summary summary;
    summary.status = status;
    summary.answered = answered;
    levels.record(request, summary, now + 2s);
}

} // namespace

// Guards against alerts that callers' errors trigger, and against server errors that trigger none.
TEST_CASE("service_levels: server errors burn the error budget, errors that callers cause do not") {
    entry::service_levels levels;
    record(levels, 401, false, 0s);
    record(levels, 429, false, 0s);
    CHECK(levels.report(false, now + 3s) == "{\"answers\": [], \"first_token\": []}");
    record(levels, 503, false, 0s);
    record(levels, 200, true, 1s);
    record(levels, 200, true, 2s);
    const std::string report = levels.report(false, now + 3s);
    CHECK(report.find("\"total\":3") != std::string::npos);
    CHECK(report.find("\"total\":2") != std::string::npos);
}
