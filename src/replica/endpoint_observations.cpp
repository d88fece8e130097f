#include "replica/endpoint_observations.h"

#include <xxhash.h>

#include <bit>
#include <cmath>
#include <tuple>

namespace walkpaddle::replica {

namespace {

// Hashes fixed words, so that all machines of the fleet, which share a byte order, get the same value. Never
// 0, which is the digest of an empty range.
std::uint64_t hash_of(const EndpointObservation& o) {
  const std::uint64_t words[] = {
      o.endpoint,
      std::bit_cast<std::uint64_t>(o.started),
      o.observer,
      std::bit_cast<std::uint64_t>(o.observed_at.micros),
      static_cast<std::uint64_t>(o.observed_at.count) << 8 | static_cast<std::uint64_t>(o.health),
      std::bit_cast<std::uint64_t>(o.concurrency_limit)};
  return XXH3_64bits(words, sizeof words) | 1;
}

bool valid(const EndpointObservation& o) {
  return std::isfinite(o.started) && o.started >= 0 && std::isfinite(o.concurrency_limit) &&
         o.concurrency_limit >= 0 && static_cast<int>(o.health) < kHealthCount;
}

// Whether `a` replaces `b` of the same observer. The later one does. Two with equal timestamps cannot come
// from a correct router; then the worse one does, so that all copies choose the same.
bool replaces(const EndpointObservation& a, const EndpointObservation& b) {
  return std::tuple(a.observed_at, a.health, -a.concurrency_limit) >
         std::tuple(b.observed_at, b.health, -b.concurrency_limit);
}

}  // namespace

EndpointObservations::JoinResult EndpointObservations::refuse() {
  ++refused_;
  return JoinResult::refused;
}

EndpointObservations::JoinResult EndpointObservations::join(const EndpointObservation& observation) {
  if (!valid(observation)) return refuse();
  auto it = endpoints_.find(observation.endpoint);
  if (it == endpoints_.end()) {
    if (endpoints_.size() >= bounds_.endpoints) return refuse();
    it = endpoints_.emplace(observation.endpoint, Endpoint{.started = observation.started, .by_observer = {}})
             .first;
  }
  auto& endpoint = it->second;
  if (observation.started < endpoint.started) return JoinResult::earlier_start;
  if (observation.started > endpoint.started) {
    for (const auto& [observer, earlier] : endpoint.by_observer) update_digest(earlier, Change::removed);
    endpoint.by_observer.clear();
    endpoint.started = observation.started;
  }
  const auto entry = endpoint.by_observer.find(observation.observer);
  if (entry == endpoint.by_observer.end()) {
    if (endpoint.by_observer.size() >= bounds_.observers) return refuse();
  } else if (!replaces(observation, entry->second)) {
    return JoinResult::known;
  } else {
    update_digest(entry->second, Change::removed);
  }
  endpoint.by_observer[observation.observer] = observation;
  update_digest(observation, Change::added);
  return JoinResult::changed;
}

void EndpointObservations::update_digest(const EndpointObservation& observation, Change change) {
  auto& digest = digests_[static_cast<std::size_t>(range_of(observation.endpoint))];
  if (change == Change::added) {
    digest += hash_of(observation);
    ++size_;
  } else {
    digest -= hash_of(observation);
    --size_;
  }
}

void EndpointObservations::join(const EndpointObservations& other) {
  for (const auto& observation : other.all()) join(observation);
}

void EndpointObservations::trim(Seconds now) {
  for (auto it = endpoints_.begin(); it != endpoints_.end();) {
    std::erase_if(it->second.by_observer, [&](const auto& entry) {
      const bool expired = entry.second.observed_at.seconds() < now - bounds_.retention;
      if (expired) update_digest(entry.second, Change::removed);
      return expired;
    });
    it = it->second.by_observer.empty() ? endpoints_.erase(it) : std::next(it);
  }
}

const EndpointObservations::Endpoint* EndpointObservations::find(std::uint64_t endpoint) const {
  const auto it = endpoints_.find(endpoint);
  return it == endpoints_.end() ? nullptr : &it->second;
}

const EndpointObservation* EndpointObservations::find(std::uint64_t endpoint, std::uint64_t observer) const {
  const auto* found = find(endpoint);
  if (found == nullptr) return nullptr;
  const auto it = found->by_observer.find(observer);
  return it == found->by_observer.end() ? nullptr : &it->second;
}

std::vector<EndpointObservation> EndpointObservations::of_range(int range) const {
  std::vector<EndpointObservation> observations;
  for (const auto& [id, endpoint] : endpoints_) {
    if (range_of(id) != range) continue;
    for (const auto& [observer, observation] : endpoint.by_observer) observations.push_back(observation);
  }
  return observations;
}

std::vector<EndpointObservation> EndpointObservations::all() const {
  std::vector<EndpointObservation> observations;
  for (const auto& [id, endpoint] : endpoints_)
    for (const auto& [observer, observation] : endpoint.by_observer) observations.push_back(observation);
  return observations;
}

}  // namespace walkpaddle::replica
