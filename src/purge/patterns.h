// Patterns over object names, by RE2: time linear in the name, memory bounded, matched in sets in one pass.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace re2 {
class RE2;
}

namespace walkpaddle::purge {

class Patterns {
 public:
  Patterns();
  ~Patterns();

  // Why the pattern cannot be used, or nothing. A pattern is matched against the whole name.
  static std::optional<std::string> refusal(std::string_view pattern);

  void add(std::string_view pattern, Seconds from);
  // The newest `from` of those that match and were added as number `since` or later; 0 for none. Where a
  // match cannot be had within its memory, all of that set count as matching.
  Seconds newest(std::string_view name, std::uint64_t since) const;
  std::uint64_t added() const { return added_; }
  std::size_t size() const { return size_; }
  // Drops what is older than `least`, and past the bound the oldest set, whose newest `from` is returned (0
  // if none was): from then on the caller counts everything older than that as covered.
  Seconds trim(Seconds least);

 private:
  struct Set;
  static constexpr std::size_t kASet = 16;  // patterns compiled together: one compilation takes about 0.2 ms
  static constexpr std::size_t kMostSets = 64;  // at most some 64 * 256 KB, as a rule far less
  std::deque<std::unique_ptr<Set>> sets_;
  std::uint64_t added_ = 0;
  std::size_t size_ = 0;
};

}  // namespace walkpaddle::purge
