/// \file
/// What one router saw of one endpoint: the unit that the fleet replicates. Plain data, no I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

#include "base/time.h"
#include "replica/hybrid_clock.h"

namespace walkpaddle::replica {

/// How an endpoint was seen; each value is worse than the one before. The numbers are on the wire and stored.
enum class Health : std::uint8_t { ready, slow, cold, draining, down };
constexpr int kHealthCount = 5;  ///< values of Health

/// The name as operators read it.
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

/// What one router, the observer, saw of one endpoint in one of its starts.
struct EndpointObservation {
  std::uint64_t endpoint = 0;     ///< stable hash of its id
  Seconds started = 0;            ///< the endpoint's start as discovery tells it, on its clock; 0: long ago
  std::uint64_t observer = 0;     ///< stable hash of the observing router's name
  HybridTimestamp observed_at;    ///< when it was seen; passing it on does not change it
  Health health = Health::ready;  ///< as it was seen
  double concurrency_limit = 0;   ///< attempts in flight that it was seen to bear; 0: not known
  /// Equal in every field.
  bool operator==(const EndpointObservation&) const = default;
};

/// Names one observation: what one router saw of one endpoint.
struct ObservationKey {
  std::uint64_t endpoint = 0;  ///< as in EndpointObservation
  std::uint64_t observer = 0;  ///< as in EndpointObservation
  /// By endpoint, then observer.
  auto operator<=>(const ObservationKey&) const = default;
};

}  // namespace walkpaddle::replica
