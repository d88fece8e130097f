/// \file
/// Hashes that are the same at every router and on every machine: they are compared between processes, and
/// stored.
#pragma once

#include <cstdint>
#include <string_view>

namespace walkpaddle {

/// FNV-1a with the finalizer of MurmurHash3 (first half): small, and stable between versions.
std::uint64_t stable_hash(std::string_view text);

/// The decision module's seed is 32 bits, hosts are handed 64.
constexpr std::uint32_t fold_seed(std::uint64_t seed) {
  return static_cast<std::uint32_t>(seed ^ (seed >> 32));
}

}  // namespace walkpaddle
