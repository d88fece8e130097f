/// \file
/// The replicated set of endpoint observations: a state-based CRDT (Shapiro et al., 2011) whose deltas are
/// single observations (Almeida et al., 2018). The join is commutative, associative and idempotent, so order,
/// loss and duplication of messages change nothing. No I/O.
///
/// The join: observations of a later start of an endpoint replace all those of earlier starts. Within one
/// start each observer has one observation, its latest. endpoint_view.h derives an endpoint's health from the
/// set.
///
/// Copies are compared by digests of ranges of endpoints. A digest is a sum of hashes, so it does not depend
/// on the order in which observations arrived. All routers drop an observation at a fixed age, so that none
/// of them brings it back.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "replica/endpoint_observation.h"

namespace walkpaddle::replica {

/// One router's copy of the replicated set.
class EndpointObservations {
 public:
  /// Sizes and lifetimes.
  struct Bounds {
    /// Endpoints in the set. A fleet's endpoint list has some hundreds; observations of endpoints beyond the
    /// limit are refused and counted.
    std::size_t endpoints = 4096;
    /// Observers of one endpoint, that is, routers of the fleet; observations of further ones are refused.
    /// Whether an observer belongs to the fleet is checked elsewhere (ObservationTracker::set_fleet).
    std::size_t observers = 512;
    /// How long `slow`, `cold` and a concurrency limit stay in force unless they are observed again. At the
    /// deployments on record a cold endpoint is warm within 18 to 22 s, and a slow period lasts 14 to 33 s.
    Seconds soft_lifetime = 20;
    /// How long `draining` and `down` stay in force unless they are renewed, so that an observer that is gone
    /// for good does not leave an endpoint unused. Observers renew after a third of this, so two renewals may
    /// be lost.
    Seconds hard_lifetime = 30;
    /// How many other observers must have seen the endpoint ready later to override an observation.
    int quorum = 2;
    /// How long observations are kept. None affects an endpoint's health for longer than `hard_lifetime`;
    /// they are kept ten times as long for routers that were away.
    Seconds retention = 300;
  };
  /// Ranges of endpoints, each with a digest. All digests take 512 bytes; of 1,000 observations some 16 fall
  /// into a range.
  static constexpr int kDigestRanges = 64;
  /// The result of joining one observation.
  enum class JoinResult : std::uint8_t {
    changed,        ///< the observation was new here
    known,          ///< the set has it, or a later one of the same observer
    earlier_start,  ///< it is of a start before the latest known
    refused         ///< a value is out of range, or a limit is reached
  };
  /// All observations of one endpoint's latest known start.
  struct Endpoint {
    Seconds started = 0;                                       ///< as in EndpointObservation
    std::map<std::uint64_t, EndpointObservation> by_observer;  ///< never empty
  };

  /// An empty set with the default bounds.
  EndpointObservations() : EndpointObservations(Bounds{}) {}
  /// An empty set with other bounds.
  explicit EndpointObservations(const Bounds& bounds) : bounds_(bounds) {}

  /// Joins one observation, this router's own or another's.
  JoinResult join(const EndpointObservation& observation);
  /// Joins all observations of another copy.
  void join(const EndpointObservations& other);
  /// Drops observations that are older than the retention time.
  void trim(Seconds now);

  /// The observation of one endpoint by one observer; null if there is none.
  const EndpointObservation* find(std::uint64_t endpoint, std::uint64_t observer) const;
  /// The observations of one endpoint; null if there are none.
  const Endpoint* find(std::uint64_t endpoint) const;
  /// All observations, in an order that is the same for equal copies.
  std::vector<EndpointObservation> all() const;

  /// The sum of the hashes of a range's observations; 0: the range is empty.
  std::uint64_t digest(int range) const { return digests_[static_cast<std::size_t>(range)]; }
  /// All observations of a range.
  std::vector<EndpointObservation> of_range(int range) const;
  /// The range that an endpoint belongs to, from 0.
  static int range_of(std::uint64_t endpoint) { return static_cast<int>(endpoint % kDigestRanges); }

  std::size_t endpoint_count() const { return endpoints_.size(); }  ///< endpoints with observations
  std::size_t size() const { return size_; }                        ///< number of observations
  std::uint64_t refused() const { return refused_; }                ///< number of observations refused so far
  const Bounds& bounds() const { return bounds_; }                  ///< as constructed

 private:
  enum class Change : std::uint8_t { added, removed };
  void update_digest(const EndpointObservation& observation, Change change);
  JoinResult refuse();

  const Bounds bounds_;
  std::map<std::uint64_t, Endpoint> endpoints_;
  std::array<std::uint64_t, kDigestRanges> digests_{};
  std::size_t size_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace walkpaddle::replica
