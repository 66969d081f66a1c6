#include "samphiretray/base/hash.h"
#include "samphiretray/config/chunks.h"
#include "samphiretray/config/snapshot.h"

#include "tests/support/sample_configuration.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <ranges>

using namespace samphiretray;
using namespace samphiretray::config;
using test::sample_configuration;

TEST_CASE("a snapshot finds keys, organisations, services, endpoints and adapter versions") {
    configuration sample = sample_configuration(100);
    sample.inventory.push_back({"adapter-7", "v2", "cuenca", "assistant", false});
    const snapshot built = snapshot::build(5, sample);
    CHECK(built.revision() == 5);
    CHECK(built.find_key(sha256_hex("key-1"))->organisation->name == "bagwis");
    CHECK(built.find_key(sha256_hex("key-1"))->label == "event day");
    CHECK_FALSE(built.find_key(sha256_hex("key-2")));
    CHECK_FALSE(built.find_key("short"));
    CHECK(built.find_organisation("cuenca")->rate == 50);
    CHECK(built.find_organisation("nobody") == nullptr);
    CHECK(built.find_service("orders")->kind == service_kind::plain);
    CHECK(built.find_endpoint("e1")->checks_fencing);
    CHECK(built.find_adapter("adapter-7")->version == "v1");
    CHECK(built.find_adapter("adapter-7", "v2")->organisation->name == "cuenca");
    CHECK_FALSE(built.find_adapter("adapter-7", "v3"));
    CHECK_FALSE(built.find_adapter("adapter-1000"));
    CHECK(std::ranges::all_of(sample.inventory, [&](const adapter_record& row) {
        return built.find_adapter(row.adapter, row.version)->organisation->name == row.organisation;
    }));
}

// The control part of a node has 64 MB. A snapshot of 38,000 adapters whose versions have 64 characters must
// be a small part of that.
TEST_CASE("a snapshot of 38,000 adapters takes less than 2 MB") {
    configuration sample = sample_configuration(38'000);
    for (adapter_record& row : sample.inventory) {
        row.version = std::string(64, 'v');
    }
    CHECK(snapshot::build(1, sample).memory_bytes() < 2'000'000);
}

TEST_CASE("join restores what split was given, and the order of rows does not change the chunks") {
    const configuration sample = sample_configuration(1000);
    configuration reversed = sample;
    std::ranges::reverse(reversed.inventory);
    std::ranges::reverse(reversed.rules.organisations);
    const auto parts = split_into_chunks(sample, inventory_chunk_count(1000, 0));
    CHECK(parts.manifest.inventory_chunks.size() == 16);
    CHECK(split_into_chunks(reversed, 16).manifest.chunks() == parts.manifest.chunks());
    const auto joined = join_chunks(parts.manifest, parts.chunks);
    REQUIRE(joined);
    CHECK(describe_changes(sample, *joined).empty());
}

// Guards against an edit that changes many chunks and so sends the whole inventory to every process.
TEST_CASE("a change of one adapter changes one chunk") {
    configuration sample = sample_configuration(1000);
    const auto before = split_into_chunks(sample, 8).manifest.chunks();
    sample.inventory[17].version = "v2";
    const auto after = split_into_chunks(sample, 8).manifest.chunks();
    std::vector<std::string> changed;
    std::ranges::set_difference(after, before, std::back_inserter(changed));
    CHECK(changed.size() == 1);
}

TEST_CASE("a missing or damaged chunk and a damaged manifest are refused") {
    auto parts = split_into_chunks(sample_configuration(10), 1);
    parts.manifest.revision = 1;
    auto damaged = parts.chunks;
    damaged.begin()->second += " ";
    CHECK(join_chunks(parts.manifest, damaged).error().code == errc::invalid_argument);
    parts.chunks.erase(parts.chunks.begin());
    CHECK(join_chunks(parts.manifest, parts.chunks).error().code == errc::not_found);
    const std::string text = to_text(parts.manifest);
    REQUIRE(parse_manifest(text));
    CHECK_FALSE(parse_manifest(text.substr(1)));
    CHECK_FALSE(parse_manifest("{}"));
}
