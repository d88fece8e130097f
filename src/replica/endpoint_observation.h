/// \file
/// One router's observation of one endpoint, the unit of replication. Plain data, no I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

#include "base/time.h"
#include "replica/hybrid_clock.h"

namespace walkpaddle::replica {

/// The health of an endpoint as observed; each value is worse than the one before. The values go over the
/// wire and into the store.
enum class Health : std::uint8_t { ready, slow, cold, draining, down };
constexpr int kHealthCount = 5;  ///< number of values of Health

/// The name in the admin socket's replies.
constexpr std::string_view to_string(Health health) {
  switch (health) {
    case Health::ready:
      return "ready";
    case Health::slow:
      return "slow";
    case Health::cold:
      return "cold";
    case Health::draining:
      return "draining";
    case Health::down:
      return "gone";
  }
  return "unknown";
}
static_assert(static_cast<int>(Health::down) + 1 == kHealthCount);

/// What one router, the observer, saw of one endpoint during one run of it, from a start to the next.
struct EndpointObservation {
  std::uint64_t endpoint = 0;     ///< stable hash of its id
  Seconds started = 0;            ///< when the endpoint started, on discovery's clock; 0: long ago
  std::uint64_t observer = 0;     ///< stable hash of the observing router's name
  HybridTimestamp observed_at;    ///< time of the observation; kept when it is passed on
  Health health = Health::ready;  ///< as observed
  double concurrency_limit = 0;   ///< attempts in flight that it was seen to sustain; 0: not known
  /// Equal in every field.
  bool operator==(const EndpointObservation&) const = default;
};

/// The key of an observation in the set: there is one for each endpoint and observer.
struct ObservationKey {
  std::uint64_t endpoint = 0;  ///< as in EndpointObservation
  std::uint64_t observer = 0;  ///< as in EndpointObservation
  /// By endpoint, then observer.
  auto operator<=>(const ObservationKey&) const = default;
};

}  // namespace walkpaddle::replica
