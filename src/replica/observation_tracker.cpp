#include "replica/observation_tracker.h"

#include <algorithm>
#include <utility>

namespace walkpaddle::replica {

namespace {

constexpr Seconds kNever = 1e15;
constexpr Seconds kRetryInterval = 1;  // between checks while discovery is not in contact

int severity(EndpointState state) {
  switch (state) {
    case EndpointState::gone:
      return 2;
    case EndpointState::draining:
      return 1;
    default:
      return 0;
  }
}

EndpointState state_of(Health health) {
  if (health == Health::down) return EndpointState::gone;
  if (health == Health::draining) return EndpointState::draining;
  return EndpointState::ready;
}

// The router's own listing with the fleet's state or start where these are worse or later; never better.
ObservationTracker::Listing worse_of(const ObservationTracker::Listing& own, const EndpointView& view) {
  auto listing = own;
  if (view.started > own.started) listing.started = view.started;
  if (view.started < own.started) return listing;  // the observations are of an earlier start
  const EndpointState state = state_of(view.health);
  if (severity(state) > severity(own.state)) listing.state = state;
  return listing;
}

}  // namespace

ObservationTracker::ObservationTracker(std::uint64_t self, int routers,
                                       const EndpointObservations::Bounds& observations, const Bounds& bounds,
                                       Seconds max_ahead, std::uint32_t seed)
    : self_(self),
      bounds_(bounds),
      longest_wait_(std::min(bounds.max_wait, bounds.wait_per_router * (routers - 1))),
      random_(seed),
      clock_(max_ahead),
      observations_(observations),
      check_at_(kNever) {}

Seconds ObservationTracker::random_wait() {
  return longest_wait_ * std::uniform_real_distribution<>(0, 1)(random_);
}

void ObservationTracker::update_listing(int index, const Listing& listing, Seconds now) {
  if (index < 0 || static_cast<std::size_t>(index) >= bounds_.endpoints) return;
  const auto place = static_cast<std::size_t>(index);
  if (place >= endpoints_.size())
    endpoints_.resize(place + 1, TrackedEndpoint{.own = {}, .reported = {}, .check_at = kNever});
  auto& endpoint = endpoints_[place];
  const auto before = std::exchange(endpoint.own, listing);
  endpoint.reported.reset();  // the policy gets this listing from discovery directly
  if (before && before->state == listing.state && before->started == listing.started) return;
  endpoint.since = now;
  endpoint.recovered = before && before->state != EndpointState::ready &&
                       listing.state == EndpointState::ready && before->started == listing.started;
  endpoint.check_at = now + random_wait();
  check_at_ = std::min(check_at_, endpoint.check_at);
}

void ObservationTracker::publish(const TrackedEndpoint& endpoint, Health health, Seconds now) {
  observations_.join({.endpoint = endpoint.own->hash,
                      .started = endpoint.own->started,
                      .observer = self_,
                      .observed_at = clock_.tick(now),
                      .health = health,
                      .concurrency_limit = 0});
  updates_.push_back({endpoint.own->hash, self_});
}

// Publishes the endpoint's listing if the fleet does not know of it, and sets the time of the next check.
void ObservationTracker::check(TrackedEndpoint& endpoint, Seconds now) {
  endpoint.check_at = kNever;
  const auto& own = *endpoint.own;
  const auto view = view_endpoint(observations_, own.hash, clock_.last());
  if (view && view->started > own.started) return;  // this router's list is out of date
  if (own.state == EndpointState::ready)
    check_ready(endpoint, view, now);
  else
    check_unavailable(endpoint, view, now);
}

void ObservationTracker::check_ready(TrackedEndpoint& endpoint, const std::optional<EndpointView>& view,
                                     Seconds now) {
  const auto& own = *endpoint.own;
  // A recent start that the fleet does not know yet is a restart, which leaves the endpoint cold for all
  // routers.
  const bool restarted = own.started > 0 && now - own.started <= observations_.bounds().soft_lifetime &&
                         (!view || view->started < own.started);
  if (restarted) {
    publish(endpoint, Health::cold, now);
    return;
  }
  const auto* published = observations_.find(own.hash, self_);
  const bool published_bad =
      published != nullptr && published->started == own.started && published->health >= Health::draining;
  const bool publish_recovery =
      published_bad || (endpoint.recovered && view && view->health >= Health::draining);
  if (!publish_recovery) return;
  if (discovery_fresh(now))
    publish(endpoint, Health::ready, now);
  else
    endpoint.check_at = now + kRetryInterval;
}

void ObservationTracker::check_unavailable(TrackedEndpoint& endpoint, const std::optional<EndpointView>& view,
                                           Seconds now) {
  // An endpoint that is gone from one router's list is gone from all lists within seconds. Two minutes of
  // renewals are ample, and keep the set free of endpoints that are long gone. A drain is renewed as long as
  // it lasts.
  constexpr Seconds kRenewGoneFor = 120;
  const auto& own = *endpoint.own;
  if (own.state == EndpointState::gone && now > endpoint.since + kRenewGoneFor) return;
  const Health health = own.state == EndpointState::gone ? Health::down : Health::draining;
  // Renewed a third of the lifetime after any router last published it, so two renewals may be lost. An
  // observation that a quorum overrides does not count as published.
  const Seconds renewal = observations_.bounds().hard_lifetime / 3;
  const bool in_force = view && view->health >= health;
  const Seconds last = in_force ? last_observed(observations_, own.hash, own.started, health).seconds() : 0;
  const Seconds due = last > 0 ? last + renewal : now;
  if (now < due) {
    endpoint.check_at = due + random_wait();
  } else if (!discovery_fresh(now)) {
    endpoint.check_at = now + kRetryInterval;
  } else {
    publish(endpoint, health, now);
    endpoint.check_at = now + renewal + random_wait();
  }
}

void ObservationTracker::publish_due(Seconds now) {
  constexpr Seconds kTrimInterval = 1;
  if (now >= trim_at_) {
    observations_.trim(now);
    trim_at_ = now + kTrimInterval;
  }
  if (now < check_at_) return;
  check_at_ = kNever;
  for (auto& endpoint : endpoints_) {
    if (now >= endpoint.check_at) check(endpoint, now);
    check_at_ = std::min(check_at_, endpoint.check_at);
  }
}

EndpointObservations::JoinResult ObservationTracker::receive(const EndpointObservation& observation,
                                                             Seconds now) {
  const bool not_in_fleet =
      !fleet_.empty() && std::ranges::find(fleet_, observation.observer) == fleet_.end();
  const bool expired = observation.observed_at.seconds() < now - observations_.bounds().retention;
  if (not_in_fleet || expired || !clock_.receive(observation.observed_at, now)) {
    ++refused_;
    return EndpointObservations::JoinResult::refused;
  }
  const auto result = observations_.join(observation);
  if (result == EndpointObservations::JoinResult::changed)
    updates_.push_back({observation.endpoint, observation.observer});
  return result;
}

std::vector<ObservationTracker::Change> ObservationTracker::take_changes(Seconds now) {
  std::vector<Change> changes;
  const HybridTimestamp at{.micros = std::max(clock_.last().micros, static_cast<std::int64_t>(now * 1e6)),
                           .count = 0};
  for (std::size_t n = 0; n < endpoints_.size(); ++n) {
    auto& endpoint = endpoints_[n];
    if (!endpoint.own) continue;
    const auto view = view_endpoint(observations_, endpoint.own->hash, at);
    const auto listing = view ? worse_of(*endpoint.own, *view) : *endpoint.own;
    // The policy gets discovery's listings directly; only differences from these are reported here.
    const auto& before = endpoint.reported ? *endpoint.reported : *endpoint.own;
    if (listing == before) continue;
    endpoint.reported = listing;
    changes.push_back({static_cast<int>(n), listing});
  }
  return changes;
}

Seconds ObservationTracker::next_due() const { return std::min(check_at_, trim_at_); }

}  // namespace walkpaddle::replica
