/// \file
/// A hybrid logical clock (Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical Clocks", 2014). A
/// timestamp has the greatest physical time seen, in microseconds, and a count of the events within that
/// microsecond. Each timestamp is later than all those issued or received before, however far the routers'
/// clocks are apart, and stays within a bound of this router's physical time. No I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace walkpaddle::replica {

/// A timestamp of the hybrid clock.
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
  /// `max_ahead`: how far a received timestamp may be ahead of the physical clock here, in seconds. One
  /// second is more than the clocks of a data centre differ under NTP, and less than an observation's
  /// lifetime, so that observations from a router whose clock is wrong cannot outlive later ones.
  explicit HybridClock(Seconds max_ahead = 1.0) : max_ahead_(max_ahead) {}

  /// Issues the timestamp of a local event or of a message to send.
  HybridTimestamp tick(Seconds physical);
  /// Issues the timestamp of the arrival of a message with the timestamp `remote`. Returns nullopt and leaves
  /// the clock unchanged if `remote` is too far ahead.
  std::optional<HybridTimestamp> receive(HybridTimestamp remote, Seconds physical);
  /// The latest timestamp issued.
  HybridTimestamp last() const { return last_; }

 private:
  static std::int64_t micros(Seconds physical);
  const Seconds max_ahead_;
  HybridTimestamp last_;
};

}  // namespace walkpaddle::replica
