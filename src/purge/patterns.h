/// \file
/// Patterns over object names, by RE2 (Cox, 2010): time linear in the name, bounded memory, matched in sets
/// in one pass.
///
/// Threads: one at a time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace walkpaddle::purge {

/// The purges by pattern, in the order in which they came.
class PurgePatterns {
 public:
  PurgePatterns();
  ~PurgePatterns();

  /// Why the pattern cannot be used, for the operator; nullopt if it can. A pattern is matched against the
  /// whole name.
  static std::optional<std::string> rejection_reason(std::string_view pattern);

  /// Adds one that rejection_reason() let pass. Compiles the last set anew: some 0.2 ms.
  void add(std::string_view pattern, Seconds valid_since);
  /// The newest `valid_since` of those that match and were added as number `since` (from 0) or later; 0 for
  /// none. Where a set cannot be matched within its memory, all of it counts as matching.
  Seconds newest_match(std::string_view name, std::uint64_t since) const;
  /// How many were ever added.
  std::uint64_t added() const { return added_; }
  /// How many there are now.
  std::size_t size() const { return size_; }
  /// Drops the sets whose patterns are all older than `expired_before`, and past the bound the oldest set.
  /// Returns the newest `valid_since` of those dropped for the bound, 0 if none was: from then on the caller
  /// treats all copies older than that as stale.
  Seconds trim(Seconds expired_before);

 private:
  struct Set;

  static constexpr std::size_t kPatternsPerSet = 16;  // one compilation takes about 0.2 ms
  static constexpr std::size_t kMaxSets = 64;         // at most some 64 * 256 KB, usually far less

  std::deque<std::unique_ptr<Set>> sets_;
  std::uint64_t added_ = 0;
  std::size_t size_ = 0;
};

}  // namespace walkpaddle::purge
