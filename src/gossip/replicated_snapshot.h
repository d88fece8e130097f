/// \file
/// The state that a router's routing policy has learnt, as other routers store it for that router. Plain
/// data, no I/O.
#pragma once

#include <cstdint>
#include <vector>

#include "base/time.h"

namespace walkpaddle::gossip {

/// The part of a warm-start snapshot that other routers store. It is sent in parts, one in a datagram; a
/// complete snapshot is part 0 of 1.
struct ReplicatedSnapshot {
  /// An endpoint's concurrency limits.
  struct Limit {
    std::uint64_t endpoint = 0;  ///< stable hash of its id
    double attempts = 0;         ///< limit of attempts in flight
    double fills = 0;            ///< limit of fills in flight
    /// Equal in every field.
    bool operator==(const Limit&) const = default;
  };
  /// The mean service time of a class of requests.
  struct ServiceTime {
    double mean = 0;  ///< seconds
    int answers = 0;  ///< number of answers in the mean
    /// Equal in every field.
    bool operator==(const ServiceTime&) const = default;
  };
  /// An object's reference counter.
  struct ObjectCount {
    std::uint64_t object = 0;  ///< stable hash of its name
    double count = 0;          ///< counted from the router's own requests
    /// Equal in every field.
    bool operator==(const ObjectCount&) const = default;
  };
  std::uint64_t router = 0;            ///< stable hash of the name of the router that it belongs to
  Seconds taken_at = 0;                ///< time on that router's clock
  int part = 0;                        ///< index of this part, from 0
  int parts = 1;                       ///< number of parts of the snapshot
  double link_limit = 0;               ///< concurrency limit of fills over the location's link; 0: not known
  double miss_ratio = -1;              ///< 0 to 1; under 0: not known
  std::vector<Limit> limits{};         ///< those in this part
  std::vector<ObjectCount> objects{};  ///< those in this part
  std::vector<ServiceTime> service_times{};  ///< by request class, in settings order; in part 0 only
};

}  // namespace walkpaddle::gossip
