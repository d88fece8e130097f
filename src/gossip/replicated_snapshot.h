/// \file
/// What a router's routing policy has learnt, as other routers keep it for that router. Plain data, no I/O.
#pragma once

#include <cstdint>
#include <vector>

#include "base/time.h"

namespace walkpaddle::gossip {

/// The part of a warm-start snapshot that other routers keep. Its datagrams carry it in parts; a whole one is
/// part 0 of 1.
struct ReplicatedSnapshot {
  /// An endpoint's concurrency limits.
  struct Limit {
    std::uint64_t endpoint = 0;  ///< stable hash of its id
    double attempts = 0;         ///< in flight
    double fills = 0;            ///< in flight
    /// Equal in every field.
    bool operator==(const Limit&) const = default;
  };
  /// The mean service time of a class of requests.
  struct ServiceTime {
    double mean = 0;  ///< seconds
    int answers = 0;  ///< that it is the mean of
    /// Equal in every field.
    bool operator==(const ServiceTime&) const = default;
  };
  /// An object's reference counter.
  struct ObjectCount {
    std::uint64_t object = 0;  ///< stable hash of its name
    double count = 0;          ///< of this router's own requests
    /// Equal in every field.
    bool operator==(const ObjectCount&) const = default;
  };
  std::uint64_t router = 0;                  ///< whose it is: stable hash of its name
  Seconds taken_at = 0;                      ///< on that router's clock
  int part = 0;                              ///< from 0
  int parts = 1;                             ///< of the whole
  double link_limit = 0;                     ///< of fills over the location's link; 0: not known
  double miss_ratio = -1;                    ///< under 0: not known
  std::vector<Limit> limits{};               ///< of this part
  std::vector<ObjectCount> objects{};        ///< of this part
  std::vector<ServiceTime> service_times{};  ///< by class, in the order of the settings; with part 0 alone
};

}  // namespace walkpaddle::gossip
