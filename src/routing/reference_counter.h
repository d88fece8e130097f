/// \file
/// The design's reference counters (docs/design.md): how often this router's own requests lately asked for an
/// object, halved as time goes. Beside them stands what else is remembered of an object. Bounded: a table of
/// 4,096 entries in sets of four.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.h"

namespace walkpaddle::routing {

/// The design's forwarding threshold: a fill is cached from the second request on.
constexpr double kForwardingThreshold = 1;

/// The table of counters.
class ReferenceCounters {
 public:
  /// About as long as pooled caches keep what they had.
  static constexpr Seconds kCopyLifetime = 10;

  /// One object, or one part of it.
  struct Entry {
    std::uint64_t object = 0;              ///< its stable hash
    float count = 0;                       ///< requests, halved as time goes
    float kbytes = 0;                      ///< its size as last answered; 0: not known
    int cache = -1;                        ///< that lately hit or filled it
    Seconds cached_at = kLongAgo;          ///< when that was seen
    int expected_retries = 0;              ///< requests that ended without an answer and may come again
    Seconds retry_expected_at = kLongAgo;  ///< when the last of them ended
    Seconds used_at = kLongAgo;            ///< last asked for

    /// A client that got no answer may come again; that is no new demand.
    void expect_retry(Seconds now);
    /// Whether a request that comes now may be such a retry.
    bool retry_expected(Seconds now) const;
    /// It was: one less is expected.
    void count_retry();
    /// `cache` still has it, as far as caches keep things.
    bool recently_cached(Seconds now) const { return cache >= 0 && now - cached_at < kCopyLifetime; }
  };
  /// The entry of an object, made anew where there is none: a full set gives up its lowest count, of equals
  /// the one longest unused. The reference stands until another object is asked for.
  Entry& at(std::uint64_t object, Seconds now);
  /// Unused entries are of object 0.
  const std::vector<Entry>& all() const { return table_; }
  void halve();  ///< all counts

 private:
  static constexpr std::size_t kSets = 1024;  // minutes of objects at some tens of requests a second
  static constexpr std::size_t kWays = 4;
  std::vector<Entry> table_ = std::vector<Entry>(kSets * kWays);
};

}  // namespace walkpaddle::routing
