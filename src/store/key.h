/// \file
/// Encoding of the store's keys.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>

namespace walkpaddle::store {

/// A key made of `prefix`, a letter or nothing, and the numbers. Each number has 8 bytes in big-endian order,
/// so that keys sort in the order of their numbers.
inline std::string encode_key(std::string prefix, std::initializer_list<std::uint64_t> numbers) {
  constexpr unsigned kByteMask = 255;
  for (const auto number : numbers)
    for (int shift = 56; shift >= 0; shift -= 8) prefix += static_cast<char>(number >> shift & kByteMask);
  return prefix;
}

}  // namespace walkpaddle::store
