/// \file
/// Reference counters (docs/design.md): how often this router's own requests have recently asked for an
/// object, halved at a fixed interval. Each entry also holds what else is known of the object. The table is
/// bounded to 4,096 entries, in sets of four.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.h"

namespace walkpaddle::routing {

/// Forwarding threshold: a fill is cached if the counter is above it, so from the second request on.
constexpr double kForwardingThreshold = 1;

/// The table of reference counters, a set-associative cache.
class ReferenceCounters {
 public:
  /// Time for which a cache is assumed to keep a copy.
  static constexpr Seconds kCopyLifetime = 10;

  /// The entry of one object or of one part of an object.
  struct Entry {
    std::uint64_t object = 0;              ///< stable hash of its name, or key of the part
    float count = 0;                       ///< reference counter
    float kbytes = 0;                      ///< size by its last answer or an estimate; 0: not known
    int cache = -1;                        ///< cache that last had or filled it
    Seconds cached_at = kLongAgo;          ///< time at which that cache had it
    int expected_retries = 0;              ///< requests that ended without an answer and may be retried
    Seconds retry_expected_at = kLongAgo;  ///< time at which the last of them ended
    Seconds used_at = kLongAgo;            ///< time of the last access to the entry

    /// Records that a request ended without an answer. A retry of it by the client is no additional demand.
    void expect_retry(Seconds now);
    /// Whether a request received now may be such a retry.
    bool retry_expected(Seconds now) const;
    /// Records that an expected retry was received.
    void count_retry();
    /// Whether `cache` is assumed to have a copy still.
    bool recently_cached(Seconds now) const { return cache >= 0 && now - cached_at < kCopyLifetime; }
  };
  /// The entry of an object. If there is none, the entry of its set with the lowest counter is replaced,
  /// among equals the least recently used. The reference is valid until the next call.
  Entry& at(std::uint64_t object, Seconds now);
  /// All entries. Unused ones have object 0.
  const std::vector<Entry>& all() const { return table_; }
  void halve();  ///< halves all counters

 private:
  static constexpr std::size_t kSets = 1024;  // holds minutes of objects at tens of requests a second
  static constexpr std::size_t kWays = 4;
  std::vector<Entry> table_ = std::vector<Entry>(kSets * kWays);
};

}  // namespace walkpaddle::routing
