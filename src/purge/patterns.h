/// \file
/// Matches object names against purge patterns with RE2 (Cox, 2010), which takes time linear in the name and
/// bounded memory. Patterns are grouped into sets, and each set is matched in one pass.
///
/// Threads: not thread-safe.
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

/// Purges by pattern, in the order in which they were added.
class PurgePatterns {
 public:
  PurgePatterns();
  ~PurgePatterns();

  /// Why the pattern cannot be used, as a message for the operator; nullopt if it can. A pattern must match
  /// the whole name.
  static std::optional<std::string> rejection_reason(std::string_view pattern);

  /// Adds a pattern that rejection_reason() accepts. Recompiles the newest set, which takes about 0.2 ms.
  void add(std::string_view pattern, Seconds valid_since);
  /// The newest `valid_since` of the matching patterns, 0 if none matches. The first `since` patterns ever
  /// added may be left out. If a set exceeds its memory limit, all its patterns count as matching.
  Seconds newest_match(std::string_view name, std::uint64_t since) const;
  /// Number of patterns ever added.
  std::uint64_t added() const { return added_; }
  /// Number of patterns held now.
  std::size_t size() const { return size_; }
  /// Drops the oldest sets while all their patterns are older than `expired_before` or there are too many
  /// sets. Returns the newest `valid_since` of the sets dropped for the second reason, 0 if there are none;
  /// the caller must treat all copies from before that time as stale.
  Seconds trim(Seconds expired_before);

 private:
  struct Set;

  static constexpr std::size_t kPatternsPerSet = 16;  // compiling a full set takes about 0.2 ms
  static constexpr std::size_t kMaxSets = 64;  // at most 64 * 256 KB for compiled patterns, usually far less

  std::deque<std::unique_ptr<Set>> sets_;
  std::uint64_t added_ = 0;
  std::size_t size_ = 0;
};

}  // namespace walkpaddle::purge
