// A hybrid logical clock (Kulkarni, Demirbas, Madappa, Avva, Leone, "Logical Physical Clocks", 2014): a stamp
// is the greatest physical time seen, to the microsecond, and a count of what happened within it. Each stamp
// given here is later than every one given or heard before, however far the routers' clocks are apart, and it
// stays within a bound of this router's physical time: a stamp heard from further ahead is refused. No I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace walkpaddle::replica {

struct Stamp {
  std::int64_t micros = 0;
  std::uint32_t count = 0;
  auto operator<=>(const Stamp&) const = default;
  Seconds seconds() const { return static_cast<double>(micros) * 1e-6; }
};

class Clock {
 public:
  // most_ahead: how far a heard stamp may lead the physical clock here. One second: more than loopback and a
  // data centre's clocks stray apart under NTP, less than a fact's life, so a wild clock cannot outlive news.
  explicit Clock(Seconds most_ahead = 1.0) : most_ahead_(most_ahead) {}

  Stamp tick(Seconds physical);                                // something happens here, or is sent
  std::optional<Stamp> heard(Stamp remote, Seconds physical);  // nullopt: refused, too far ahead
  Stamp last() const { return last_; }

 private:
  static std::int64_t micros(Seconds physical);
  const Seconds most_ahead_;
  Stamp last_;
};

}  // namespace walkpaddle::replica
