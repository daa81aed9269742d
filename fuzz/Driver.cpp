#include "FuzzTarget.h"

#include <algorithm>
#include <iostream>
#include <random>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::uint64_t, runs, 20'000, "inputs to try");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the inputs");

namespace {

constexpr std::size_t mostChanges = 8;
constexpr std::size_t longestInsert = 32;

/// Derives an input from `text` by a few random edits.
std::string mutate(std::string text, const std::vector<std::string> &seeds, std::mt19937_64 &random)
{
    const auto at = [&] { return text.empty() ? 0 : random() % text.size(); };
    for (std::size_t i = 0, count = 1 + random() % mostChanges; i < count; ++i) {
        switch (random() % 6) {
        case 0:
            if (!text.empty())
                text[at()] = static_cast<char>(random());
            break;
        case 1:
            if (!text.empty())
                text[at()] ^= static_cast<char>(1U << (random() % 8));
            break;
        case 2:
            text.erase(at(), random() % longestInsert);
            break;
        case 3:
            text.insert(at(), std::string(random() % longestInsert, static_cast<char>(random())));
            break;
        case 4:
            text.resize(at());
            break;
        default: {
            const std::string &other = seeds[random() % seeds.size()];
            const std::size_t from = other.empty() ? 0 : random() % other.size();
            text.insert(at(), other.substr(from, random() % longestInsert));
        }
        }
    }
    return text;
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    const std::vector<std::string> seeds = fuzzSeeds();
    std::mt19937_64 random(absl::GetFlag(FLAGS_seed));
    const std::uint64_t runs = absl::GetFlag(FLAGS_runs);
    for (std::uint64_t run = 0; run < runs; ++run) {
        const std::string &seed = seeds[random() % seeds.size()];
        const std::string input = run < seeds.size() ? seeds[run] : mutate(seed, seeds, random);
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(input.data()), input.size());
    }
    std::cout << runs << " inputs\n";
    return 0;
}
