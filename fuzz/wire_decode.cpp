#include "samphiretray/wire/messages.h"

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

// Feeds mutated frames to the decoder. The encoding of an accepted frame must be accepted too, and encode to
// the same bytes again.

using namespace samphiretray;

namespace {

constexpr int input_count = 200'000;
constexpr std::uint64_t seed = 1;

std::vector<std::string> seed_frames() {
    wire::state_reply reply;
    reply.regions = {{"luzon", 5, std::nullopt}, {"visayas", std::nullopt, 7}};
    reply.leaving = {{"vm1", "i1"}};
    wire::config_reply config;
    config.chunks = {{"d1", "text"}, {"d2", std::string{"\0\xff", 2}}};
    wire::request_open open;
    open.body = "{\"model\": \"a@1\"}";
    return {wire::encode(wire::hello{}),
            wire::encode(open),
            wire::encode(reply),
            wire::encode(config),
            wire::encode(wire::answer_end{}),
            wire::encode(wire::grant_request{})};
}

/// Changes, removes, inserts or repeats a few bytes, or truncates the frame.
void mutate(std::string& frame, std::mt19937_64& random) {
    const auto below = [&random](std::size_t limit) { return static_cast<std::size_t>(random() % limit); };
    for (std::size_t mutation_count = 1 + below(4); mutation_count > 0; --mutation_count) {
        const std::size_t at = frame.empty() ? 0 : below(frame.size());
        switch (below(5)) {
        case 0:
            frame.insert(at, 1, static_cast<char>(random()));
            break;
        case 1:
            frame.erase(at, 1 + below(8));
            break;
        case 2:
            frame.insert(at, frame.substr(at, below(32)));
            break;
        case 3:
            frame.resize(at);
            break;
        default:
            if (!frame.empty()) {
                frame[at] = static_cast<char>(random());
            }
        }
    }
}

void check_round_trip(const std::string& frame) {
    const auto decoded = wire::decode(frame);
    if (!decoded) {
        return;
    }
    const std::string encoded = wire::encode(*decoded);
    const auto again = wire::decode(encoded);
    if (!again || wire::encode(*again) != encoded) {
        std::puts("an accepted frame changed in an encode-decode round trip");
        std::abort();
    }
}

} // namespace

int main() {
    std::mt19937_64 random{seed};
    const auto seeds = seed_frames();
    for (int i = 0; i < input_count; ++i) {
        std::string frame = seeds[random() % seeds.size()];
        mutate(frame, random);
        check_round_trip(frame);
    }
    std::printf("%d inputs\n", input_count);
}
