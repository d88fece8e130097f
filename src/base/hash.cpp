#include "base/hash.h"

namespace walkpaddle {

std::uint64_t stable_hash(std::string_view text) {
  constexpr std::uint64_t kOffsetBasis = 14695981039346656037u;
  constexpr std::uint64_t kPrime = 1099511628211u;
  constexpr std::uint64_t kMultiplier = 0xff51afd7ed558ccdu;
  std::uint64_t hash = kOffsetBasis;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  hash = (hash ^ (hash >> 33)) * kMultiplier;
  return hash ^ (hash >> 33);
}

}  // namespace walkpaddle
