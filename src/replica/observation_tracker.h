/// \file
/// Connects one router's discovery and routing policy with the replicated endpoint observations. Changes in
/// its endpoint list become observations unless the fleet knows of them already. Where the fleet's
/// observations are worse than its own list, the difference is reported for the routing policy, and nothing
/// else is. Changed observations are listed once, for gossip to spread. No I/O; called on the scheduler's
/// thread.
///
/// Hundreds of routers read the same endpoint list. Each waits a short random time before it publishes a
/// change, and does not publish what others have published lately (suppression as in scalable reliable
/// multicast: Floyd et al., 1997), so that a drain costs the fleet a few observations and not one for each
/// router. A list is published only while discovery is in contact, so that a router that was stopped, or has
/// lost its discovery, does not publish an old list as new.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "replica/endpoint_observations.h"
#include "replica/endpoint_view.h"
#include "replica/hybrid_clock.h"
#include "routing/types.h"

namespace walkpaddle::replica {

/// Combines the fleet's observations with one router's own endpoint list.
class ObservationTracker {
 public:
  /// An endpoint as listed by the router's own discovery. In a Change its state and start are those of the
  /// fleet's observations where these are worse.
  struct Listing {
    std::uint64_t hash = 0;                      ///< stable hash of its id
    int location = 0;                            ///< as in RoutingPolicy
    int kind = 0;                                ///< as in RoutingPolicy
    int cell = 0;                                ///< as in RoutingPolicy
    EndpointState state = EndpointState::ready;  ///< its state
    double weight = 0;                           ///< as in RoutingPolicy
    Seconds started = 0;                         ///< its start on discovery's clock; 0: long ago
    /// Equal in every field.
    bool operator==(const Listing&) const = default;
  };
  /// A listing that the routing policy has to use from now on.
  struct Change {
    int endpoint = 0;  ///< index in the router's own endpoint list
    Listing listing;   ///< with the present state and start
  };
  /// Sizes and times.
  struct Bounds {
    std::size_t endpoints = 4096;  ///< endpoints of the router's own list; further ones are ignored
    /// How long after the last message from discovery the list may be published. Discovery sends one every
    /// second, so two may be missed.
    Seconds max_list_age = 3;
    /// What each other router of the fleet adds to the longest random wait before publishing. Of 300 routers
    /// a few dozen publish before they receive the first observation.
    Seconds wait_per_router = 0.0005;
    /// Upper limit of the longest random wait, well below the target of half a second for spreading a change.
    Seconds max_wait = 0.15;
  };

  /// `self`: stable hash of this router's name. `routers`: size of the fleet, this router included.
  /// `max_ahead`: see HybridClock. `seed`: of the generator for random waits.
  ObservationTracker(std::uint64_t self, int routers, const EndpointObservations::Bounds& observations,
                     const Bounds& bounds, Seconds max_ahead, std::uint32_t seed);

  /// Takes the endpoint's present listing from the router's own discovery.
  void update_listing(int endpoint, const Listing& listing, Seconds now);
  /// Records a message from discovery. Before the first one the list is that of an earlier start and is not
  /// published.
  void note_discovery_message(Seconds now) { last_discovery_message_ = now; }
  /// Joins an observation of another router, or one of this router's from before its start.
  EndpointObservations::JoinResult receive(const EndpointObservation& observation, Seconds now);
  /// Sets the observers that belong to the fleet, by the stable hashes of their names. Observations of others
  /// are refused and so not passed on. Empty: all are accepted.
  void set_fleet(std::vector<std::uint64_t> observers) { fleet_ = std::move(observers); }

  /// The changes to report to the routing policy; each difference once.
  std::vector<Change> take_changes(Seconds now);
  /// The observations that changed here since the last call, for gossip to spread.
  std::vector<ObservationKey> take_updates() { return std::exchange(updates_, {}); }
  /// Publishes the observations that are due and drops those older than the retention time.
  void publish_due(Seconds now);
  /// The time at which take_changes() or publish_due() may have something to do even if no input arrives.
  Seconds next_due() const;

  /// This router's copy of the observations.
  const EndpointObservations& observations() const { return observations_; }
  /// The number of observations refused so far, for any reason.
  std::uint64_t refused() const { return observations_.refused() + refused_; }

 private:
  struct TrackedEndpoint {
    std::optional<Listing> own;       // as discovery lists it
    std::optional<Listing> reported;  // last reported in a Change; none since discovery listed it anew
    Seconds since = 0;                // start of the state in `own`
    Seconds check_at;                 // when to check next whether to publish
    bool recovered = false;           // the last change in the list was back to ready, within one start
  };
  Seconds random_wait();
  void check(TrackedEndpoint& endpoint, Seconds now);
  void check_ready(TrackedEndpoint& endpoint, const std::optional<EndpointView>& view, Seconds now);
  void check_unavailable(TrackedEndpoint& endpoint, const std::optional<EndpointView>& view, Seconds now);
  void publish(const TrackedEndpoint& endpoint, Health health, Seconds now);
  bool discovery_fresh(Seconds now) const { return now <= last_discovery_message_ + bounds_.max_list_age; }

  const std::uint64_t self_;
  const Bounds bounds_;
  const Seconds longest_wait_;
  std::mt19937 random_;
  HybridClock clock_;
  EndpointObservations observations_;
  std::vector<TrackedEndpoint> endpoints_;
  std::vector<std::uint64_t> fleet_;
  std::vector<ObservationKey> updates_;
  Seconds last_discovery_message_ = 0;
  Seconds check_at_;
  Seconds trim_at_ = 0;
  std::uint64_t refused_ = 0;  // timestamp too far ahead or too old, or observer not of the fleet
};

}  // namespace walkpaddle::replica
