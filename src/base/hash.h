/// \file
/// Hashes that give the same value on every router and machine, since they are stored and compared between
/// processes.
#pragma once

#include <cstdint>
#include <string_view>

namespace walkpaddle {

/// FNV-1a hash with the first half of the finalizer of MurmurHash3. The value must not change between
/// versions.
std::uint64_t stable_hash(std::string_view text);

/// Folds a 64-bit seed into the 32 bits that the routing policy takes.
constexpr std::uint32_t fold_seed(std::uint64_t seed) {
  return static_cast<std::uint32_t>(seed ^ (seed >> 32));
}

}  // namespace walkpaddle
