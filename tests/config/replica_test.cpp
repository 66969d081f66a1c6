#include "samphiretray/config/replica.h"

#include "tests/support/sample_configuration.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using namespace samphiretray::config;
using test::sample_configuration;

namespace {

struct stored_configuration {
    std::string manifest;
    chunk_map chunks;
};

stored_configuration make_stored(std::uint64_t revision, const configuration& value) {
    auto parts = split_into_chunks(value, 2);
    parts.manifest.revision = revision;
    parts.manifest.token = "t" + std::to_string(revision);
    return {to_text(parts.manifest), parts.chunks};
}

/// Offers a manifest and the chunks that the replica lacks; returns the number of these chunks, or 0 if the
/// manifest is refused.
std::size_t transfer(replica& target, const stored_configuration& source) {
    const auto missing = target.offer_manifest(source.manifest);
    if (!missing) {
        return 0;
    }
    for (const std::string& digest : *missing) {
        static_cast<void>(target.offer_chunk(digest, source.chunks.at(digest)));
    }
    return missing->size();
}

} // namespace

TEST_CASE("a replica fetches only changed chunks") {
    configuration sample = sample_configuration(100);
    replica target;
    CHECK(target.revision() == 0);
    CHECK(transfer(target, make_stored(1, sample)) == 4);
    CHECK(target.revision() == 1);
    sample.rules.organisations[0].rate = 7;
    CHECK(transfer(target, make_stored(2, sample)) == 1);
    CHECK(target.current()->find_organisation("bagwis")->rate == 7);
}

// Guards against a peer with an outdated configuration that reverts a newer one, whether that is in force or
// its chunks are still being fetched.
TEST_CASE("a replica refuses revisions below the highest one seen") {
    configuration sample = sample_configuration(10);
    replica target;
    transfer(target, make_stored(3, sample));
    sample.rules.organisations[0].rate = 7;
    CHECK(target.offer_manifest(make_stored(2, sample).manifest).error().code == errc::stale_revision);
    const stored_configuration revision_four = make_stored(4, sample);
    REQUIRE(target.offer_manifest(revision_four.manifest));
    target.observe_revision(6);
    CHECK(transfer(target, revision_four) == 0);
    CHECK(target.revision() == 3);
    CHECK(transfer(target, make_stored(6, sample)) == 1);
    CHECK(target.revision() == 6);
}

// An invalid configuration must neither be applied nor block later ones.
TEST_CASE("an invalid configuration leaves the last valid one in force") {
    configuration sample = sample_configuration(10);
    replica target;
    transfer(target, make_stored(1, sample));
    configuration invalid = sample;
    invalid.rules.organisations[0].burst = 0;
    transfer(target, make_stored(3, invalid));
    CHECK(target.revision() == 1);
    REQUIRE(target.last_refusal());
    CHECK(target.last_refusal()->detail.find("revision 3 is refused: organisations[0].burst") == 0);
    CHECK(target.effective_revision(3) == 1);
    CHECK_FALSE(target.offer_manifest(make_stored(3, sample).manifest));
    sample.rules.organisations[0].rate = 7;
    transfer(target, make_stored(4, sample));
    CHECK(target.revision() == 4);
    CHECK_FALSE(target.last_refusal());
}

TEST_CASE("a chunk that does not match its digest is refused") {
    replica target;
    const stored_configuration source = make_stored(1, sample_configuration(10));
    const auto missing = target.offer_manifest(source.manifest);
    REQUIRE(missing);
    CHECK_FALSE(target.offer_chunk(missing->front(), "other text"));
    CHECK(target.missing_chunks().size() == missing->size());
}

TEST_CASE("a replica replies to a peer with its manifest and the requested chunks") {
    replica source;
    replica target;
    transfer(source, make_stored(1, sample_configuration(10)));
    const auto missing = target.offer_manifest(source.answer({}).manifest);
    REQUIRE(missing);
    for (const auto& chunk : source.answer({0, *missing}).chunks) {
        REQUIRE(target.offer_chunk(chunk.digest, chunk.text));
    }
    CHECK(target.revision() == 1);
}
