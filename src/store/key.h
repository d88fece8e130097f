/// \file
/// Keys of the store.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>

namespace walkpaddle::store {

/// A key: `prefix`, a letter or nothing, then the numbers, 8 bytes each, big end first, so that keys sort as
/// their numbers do.
inline std::string encode_key(std::string prefix, std::initializer_list<std::uint64_t> numbers) {
  constexpr unsigned kByteMask = 255;
  for (const auto number : numbers)
    for (int shift = 56; shift >= 0; shift -= 8) prefix += static_cast<char>(number >> shift & kByteMask);
  return prefix;
}

}  // namespace walkpaddle::store
