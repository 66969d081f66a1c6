#include "samphiretray/wire/messages.h"

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

// Feeds mutated frames to the decoder. Whatever it accepts must survive encoding and decoding again.

using namespace samphiretray;

namespace {

constexpr int rounds = 200'000;
constexpr std::uint64_t seed = 1;

std::vector<std::string> seeds() {
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

/// Changes, removes, inserts or repeats a few bytes.
void mutate(std::string& frame, std::mt19937_64& random) {
    const auto below = [&random](std::size_t limit) { return static_cast<std::size_t>(random() % limit); };
    for (std::size_t changes = 1 + below(4); changes > 0; --changes) {
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

void check(const std::string& frame) {
    const auto decoded = wire::decode(frame);
    if (!decoded) {
        return;
    }
    const std::string encoded = wire::encode(*decoded);
    const auto again = wire::decode(encoded);
    if (!again || wire::encode(*again) != encoded) {
        std::puts("an accepted frame does not survive a round trip");
        std::abort();
    }
}

} // namespace

int main() {
    std::mt19937_64 random{seed};
    const auto frames = seeds();
    for (int i = 0; i < rounds; ++i) {
        std::string frame = frames[random() % frames.size()];
        mutate(frame, random);
        check(frame);
    }
    std::printf("%d inputs\n", rounds);
}
