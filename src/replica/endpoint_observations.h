/// \file
/// The replicated set of endpoint observations: a state-based CRDT (Shapiro et al., 2011) whose deltas are
/// single observations (Almeida et al., 2018). The join is commutative, associative and idempotent, so order,
/// loss and duplication of messages change nothing. No I/O.
///
/// The join: a later start of an endpoint wins outright and drops what was known of the earlier ones. Within
/// a start each observer has one observation, its latest. What an endpoint is taken for is read from the set
/// by endpoint_view.h.
///
/// Copies are compared by digests of ranges of endpoints: equal sums, equal observations, whatever order they
/// came in. An observation is dropped a fixed time after it was seen, at all routers alike, so that none
/// brings it back.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "replica/endpoint_observation.h"

namespace walkpaddle::replica {

/// One router's copy of the set.
class EndpointObservations {
 public:
  /// Sizes and lifetimes.
  struct Bounds {
    /// A fleet's endpoint list holds some hundreds; beyond this a new one is refused and counted.
    std::size_t endpoints = 4096;
    /// Routers of one fleet; past this a new observer is refused. Who is of the fleet is the host's to say
    /// (ObservationTracker::set_fleet).
    std::size_t observers = 512;
    /// `slow`, `cold` and a concurrency limit hold this long unless seen again: a cold endpoint is warm
    /// within 18 to 22 s at the deployments on record, a slow spell lasts 14 to 33 s.
    Seconds soft_lifetime = 20;
    /// `draining` and `down` hold this long unless renewed. The observer renews after a third of it, so two
    /// renewals may be lost. Prevents an endpoint left idle by an observer that is gone for good.
    Seconds hard_lifetime = 30;
    /// So many other observers that saw it ready later outweigh one observer's bad news.
    int quorum = 2;
    /// Nothing that is read lasts longer than hard_lifetime; ten of these, for routers that were away.
    Seconds retention = 300;
  };
  /// Ranges of endpoints, each with a digest: 512 bytes; 1,000 observations are 16 a range.
  static constexpr int kDigestRanges = 64;
  /// What joining one observation did.
  enum class JoinResult : std::uint8_t {
    changed,        ///< it was new here
    known,          ///< the copy holds it, or a later one of the same observer
    earlier_start,  ///< it is of a start that a later one replaced
    refused         ///< a value out of range, or no room
  };
  /// All observations of one endpoint's latest known start.
  struct Endpoint {
    Seconds started = 0;                                       ///< as in EndpointObservation
    std::map<std::uint64_t, EndpointObservation> by_observer;  ///< never empty
  };

  /// With the default bounds.
  EndpointObservations() : EndpointObservations(Bounds{}) {}
  /// With bounds of a test.
  explicit EndpointObservations(const Bounds& bounds) : bounds_(bounds) {}

  /// Joins one observation; a router's own come the same way as others'.
  JoinResult join(const EndpointObservation& observation);
  /// Joins all of another copy.
  void join(const EndpointObservations& other);
  /// Drops what is past its retention.
  void trim(Seconds now);

  /// Null if there is none.
  const EndpointObservation* find(std::uint64_t endpoint, std::uint64_t observer) const;
  /// Null if nothing is known of it.
  const Endpoint* find(std::uint64_t endpoint) const;
  /// All, in a fixed order that is the same for equal copies.
  std::vector<EndpointObservation> all() const;

  /// The sum of a range's hashes; 0: the range is empty.
  std::uint64_t digest(int range) const { return digests_[static_cast<std::size_t>(range)]; }
  /// All observations of a range.
  std::vector<EndpointObservation> of_range(int range) const;
  /// The range that an endpoint falls into, from 0.
  static int range_of(std::uint64_t endpoint) { return static_cast<int>(endpoint % kDigestRanges); }

  std::size_t endpoint_count() const { return endpoints_.size(); }  ///< endpoints with an observation
  std::size_t size() const { return size_; }                        ///< observations
  std::uint64_t refused() const { return refused_; }                ///< how many were refused so far
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
