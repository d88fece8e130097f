/// \file
/// A hybrid logical clock (Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical Clocks", 2014). A
/// timestamp is the greatest physical time seen, to the microsecond, and a count of the events within it.
/// Each timestamp is later than every one given or received before, however far the routers' clocks are
/// apart, and stays within a bound of this router's physical time. No I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace walkpaddle::replica {

/// A point in the fleet's hybrid time.
struct HybridTimestamp {
  std::int64_t micros = 0;  ///< physical part, microseconds since the epoch of the routers' clocks
  std::uint32_t count = 0;  ///< logical part: orders the events of one microsecond
  /// By the physical part, then the logical one.
  auto operator<=>(const HybridTimestamp&) const = default;
  /// The physical part alone.
  Seconds seconds() const { return static_cast<double>(micros) * 1e-6; }
};

/// One router's clock. Physical times are passed in, so that tests run in virtual time.
class HybridClock {
 public:
  /// `max_ahead`: how far a received timestamp may lead the physical clock here. One second is more than the
  /// clocks of a data centre stray apart under NTP, and less than an observation's lifetime, so a wild clock
  /// cannot make its observations outlive later ones.
  explicit HybridClock(Seconds max_ahead = 1.0) : max_ahead_(max_ahead) {}

  /// A local event, or a message sent. Gives its timestamp.
  HybridTimestamp tick(Seconds physical);
  /// A message received. Gives the timestamp of its arrival; nullopt if `remote` is too far ahead, which
  /// leaves the clock as it was.
  std::optional<HybridTimestamp> receive(HybridTimestamp remote, Seconds physical);
  /// The latest timestamp given.
  HybridTimestamp last() const { return last_; }

 private:
  static std::int64_t micros(Seconds physical);
  const Seconds max_ahead_;
  HybridTimestamp last_;
};

}  // namespace walkpaddle::replica
