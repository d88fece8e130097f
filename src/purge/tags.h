// What is known of an object beside its name: the tags that its answers named, and what patterns said of it.
// Bounded; what it does not hold counts as unknown.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "base/time.h"

namespace walkpaddle::purge {

class Tags {
 public:
  struct Known {
    static constexpr std::size_t kMost = 6;  // an object with more counts as unknown
    std::uint64_t object = 0;
    std::array<std::uint64_t, kMost> tags{};  // stable hashes
    Seconds used = 0;
    Seconds pattern_from = 0;         // newest purge by pattern that covers it, of those asked so far
    std::uint64_t patterns_seen = 0;  // how many that were
    std::uint8_t count = 0;
    bool told = false, too_many = false;
    bool tags_known() const { return told && !too_many; }
    std::span<const std::uint64_t> all() const { return {tags.data(), count}; }
  };

  // `objects` is rounded up to whole sets; nothing is held before the first use.
  explicit Tags(std::size_t objects) : sets_(std::max<std::size_t>(1, (objects + kWays - 1) / kWays)) {}

  const Known* find(std::uint64_t object) const;
  Known& at(std::uint64_t object, Seconds now);  // a new one takes the place of the one longest unused
  // Adds to what is known: copies of some age may still have the tags that were told before.
  void learn(std::uint64_t object, std::span<const std::uint64_t> tags, Seconds now);

 private:
  static constexpr std::size_t kWays = 4;
  const std::size_t sets_;
  std::vector<Known> table_;
};

}  // namespace walkpaddle::purge
