/// \file
/// One router's side of the replicated endpoint observations. What its own discovery says becomes its
/// observations, as far as the fleet does not know it yet; where the fleet's observations are worse than its
/// own discovery, the routing policy is to hear of it, and of nothing else. What changes here is named once,
/// for gossip to spread. No I/O; called on the scheduler's thread.
///
/// Hundreds of routers read one endpoint list. Each waits a short random time before it publishes what its
/// list says, and stays silent when others have lately published it (suppression as in scalable reliable
/// multicast: Floyd et al., 1997), so that a drain costs the fleet some observations, not one for each
/// router. Only a list that was heard of lately is published. Prevents a router that was stopped, or whose
/// discovery is cut, from publishing an old list as new.
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

/// Joins the observations of a fleet with one router's own endpoint list.
class ObservationTracker {
 public:
  /// An endpoint as the router's own discovery gives it; in a Change with state and start from the fleet's
  /// observations where they are worse.
  struct Listing {
    std::uint64_t hash = 0;                      ///< stable hash of its id
    int location = 0;                            ///< as in RoutingPolicy
    int kind = 0;                                ///< as in RoutingPolicy
    int cell = 0;                                ///< as in RoutingPolicy
    EndpointState state = EndpointState::ready;  ///< as discovery says
    double weight = 0;                           ///< as discovery says
    Seconds started = 0;                         ///< on discovery's clock; 0: long ago
    /// Equal in every field.
    bool operator==(const Listing&) const = default;
  };
  /// What the routing policy is to take an endpoint for from now on.
  struct Change {
    int endpoint = 0;  ///< index in the router's own list
    Listing listing;   ///< with state and start as they stand now
  };
  /// Sizes and times.
  struct Bounds {
    std::size_t endpoints = 4096;  ///< of the router's own list; later ones are passed over
    /// Discovery says something every second: two may be missed.
    Seconds list_fresh = 3;
    /// Random wait before publishing, for each router of the fleet: of 300 a few dozen publish before they
    /// hear the first.
    Seconds wait_per_router = 0.0005;
    /// The longest random wait, well under the half second that is aimed at.
    Seconds max_wait = 0.15;
  };

  /// `self`: stable hash of this router's name. `routers`: of the fleet, this one included. `max_ahead`: see
  /// HybridClock. `seed`: of the random waits.
  ObservationTracker(std::uint64_t self, int routers, const EndpointObservations::Bounds& observations,
                     const Bounds& bounds, Seconds max_ahead, std::uint32_t seed);

  /// The router's own discovery lists the endpoint so.
  void update_listing(int endpoint, const Listing& listing, Seconds now);
  /// Discovery spoke now. Until it has, the list is that of an earlier start and is not published.
  void note_discovery_message(Seconds now) { last_discovery_message_ = now; }
  /// Joins an observation of another router, or of this one's last start.
  EndpointObservations::JoinResult receive(const EndpointObservation& observation, Seconds now);
  /// The observers of this fleet: an observation of any other is refused. Empty: any. Prevents a stranger's
  /// observation from being passed on.
  void set_fleet(std::vector<std::uint64_t> observers) { fleet_ = std::move(observers); }

  /// The endpoints of which the routing policy is to hear; each difference once.
  std::vector<Change> take_changes(Seconds now);
  /// The observations that changed here since the last call, to be spread.
  std::vector<ObservationKey> take_updates() { return std::exchange(updates_, {}); }
  /// Publishes what is due; drops what is past its retention.
  void publish_due(Seconds now);
  /// When take_changes() or publish_due() may have more without an input.
  Seconds next_due() const;

  /// This router's copy.
  const EndpointObservations& observations() const { return observations_; }
  /// Observations refused so far, for whatever reason.
  std::uint64_t refused() const { return observations_.refused() + refused_; }

 private:
  struct TrackedEndpoint {
    std::optional<Listing> own;     // as discovery says
    std::optional<Listing> handed;  // as the policy was last told here; none since discovery last spoke of it
    Seconds since = 0;              // of the state that discovery says
    Seconds check_at;               // when to see whether there is something to publish
    bool recovered = false;         // discovery said that it drains, and then that it is ready
  };
  Seconds random_wait();
  void check(TrackedEndpoint& endpoint, Seconds now);
  void check_ready(TrackedEndpoint& endpoint, const std::optional<EndpointView>& view, Seconds now);
  void check_unavailable(TrackedEndpoint& endpoint, const std::optional<EndpointView>& view, Seconds now);
  void publish(const TrackedEndpoint& endpoint, Health health, Seconds now);
  bool discovery_fresh(Seconds now) const { return now <= last_discovery_message_ + bounds_.list_fresh; }

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
  std::uint64_t refused_ = 0;  // for a timestamp too far ahead or past its retention, or of a stranger
};

}  // namespace walkpaddle::replica
