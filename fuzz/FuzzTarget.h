#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// The function that libFuzzer calls; the driver of the project calls it as well.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

/// Well-formed inputs from which the driver derives broken ones.
std::vector<std::string> fuzzSeeds();
