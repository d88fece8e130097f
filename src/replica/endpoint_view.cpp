#include "replica/endpoint_view.h"

#include <algorithm>

namespace walkpaddle::replica {

namespace {

using Endpoint = EndpointObservations::Endpoint;
using Bounds = EndpointObservations::Bounds;

bool is_soft(Health health) { return health == Health::slow || health == Health::cold; }

Seconds age(HybridTimestamp observed_at, HybridTimestamp now) {
  return now.seconds() - observed_at.seconds();
}

// The observation's health during its lifetime, `ready` afterwards.
Health health_in_force(const EndpointObservation& o, const Bounds& bounds, HybridTimestamp now) {
  if (o.health == Health::ready) return o.health;
  const Seconds lifetime = is_soft(o.health) ? bounds.soft_lifetime : bounds.hard_lifetime;
  return age(o.observed_at, now) > lifetime ? Health::ready : o.health;
}

// Whether enough other observers saw the endpoint ready after this observation.
bool outvoted(const Endpoint& endpoint, const EndpointObservation& o, const Bounds& bounds) {
  const auto ready_later = std::ranges::count_if(endpoint.by_observer, [&](const auto& entry) {
    const auto& other = entry.second;
    return other.observer != o.observer && other.health == Health::ready && other.observed_at > o.observed_at;
  });
  return ready_later >= bounds.quorum;
}

}  // namespace

std::optional<EndpointView> view_endpoint(const EndpointObservations& observations, std::uint64_t id,
                                          HybridTimestamp now) {
  const auto* endpoint = observations.find(id);
  if (endpoint == nullptr) return std::nullopt;
  const auto& bounds = observations.bounds();
  EndpointView view{.started = endpoint->started,
                    .observers = static_cast<int>(endpoint->by_observer.size()),
                    .newest = {}};
  for (const auto& [observer, o] : endpoint->by_observer) {
    view.newest = std::max(view.newest, o.observed_at);
    if (o.concurrency_limit > 0 && age(o.observed_at, now) <= bounds.soft_lifetime)
      view.concurrency_limit = view.concurrency_limit == 0
                                   ? o.concurrency_limit
                                   : std::min(view.concurrency_limit, o.concurrency_limit);
    const Health health = health_in_force(o, bounds, now);
    if (health > view.health && !outvoted(*endpoint, o, bounds)) view.health = health;
  }
  return view;
}

HybridTimestamp last_observed(const EndpointObservations& observations, std::uint64_t id, Seconds started,
                              Health at_least) {
  HybridTimestamp last;
  const auto* endpoint = observations.find(id);
  if (endpoint == nullptr || endpoint->started != started) return last;
  for (const auto& [observer, o] : endpoint->by_observer)
    if (o.health >= at_least) last = std::max(last, o.observed_at);
  return last;
}

}  // namespace walkpaddle::replica
