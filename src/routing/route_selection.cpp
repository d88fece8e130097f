#include "routing/route_selection.h"

#include <algorithm>
#include <optional>

namespace walkpaddle::routing {

namespace {

bool failed_at(const RequestState& request, int index) {
  return std::ranges::any_of(request.attempts, [&](const AttemptState& attempt) {
    return attempt.endpoint_failed && attempt.endpoint == index;
  });
}

bool failed_from(const RequestState& request, int index) {
  return std::ranges::any_of(request.attempts, [&](const AttemptState& attempt) {
    return attempt.source_failed && attempt.source == index;
  });
}

}  // namespace

// The first in order that is usable and fits; -1 for none.
template <class Fits>
int RouteSelector::first_usable(EndpointOrder::Ranking& ranking, Fits&& fits) const {
  for (std::size_t place = 0;; ++place) {
    const int index = ranking.at(place);
    if (index < 0 || (parts_.outliers.usable(parts_.endpoints[index]) && fits(index))) return index;
  }
}

// Whether a cache can take one more attempt of a request.
class RouteSelector::CacheCapacity {
 public:
  CacheCapacity(const RouteSelector& selector, const RequestState& request, EndpointOrder::Ranking& caches)
      : parts_(selector.parts_),
        request_(request),
        caches_(caches),
        work_(parts_.service_times.cold_work(request.request_class)),
        weight_(parts_.service_times.weight(request)) {}

  bool operator()(int index) {
    const auto& cache = parts_.endpoints[index];
    const double share = fair_share(cache);
    // No answer will make a limit grow for lookups: one that was never reduced does not bind them.
    const bool capacity = cache.attempts.admits(weight_, parts_.context.now) ||
                          (request_.represented_requests > 0 && !cache.attempts.congested());
    return !failed_at(request_, index) && capacity && cache.attempts.in_flight() + weight_ <= share &&
           parts_.slow_start.admits(cache, work_, request_.represented_requests);
  }

 private:
  // What the usable caches have in flight, and their weights, in sum.
  struct Totals {
    double in_flight = 0;
    double weight = 0;
  };

  // In requests of mean work. Less would move hot objects about, more congest a cache.
  double fair_share(const Endpoint& cache) {
    constexpr double kMinFairShare = 8;
    constexpr double kMeanMultiple = 1.3;
    constexpr double kMinWeight = 1e-9;
    if (cache.attempts.in_flight() + weight_ <= kMinFairShare) return kMinFairShare;
    if (!totals_) totals_ = sum_usable();
    return std::max(kMinFairShare, kMeanMultiple * (totals_->in_flight + 1) * cache.weight /
                                       std::max(totals_->weight, kMinWeight));
  }

  Totals sum_usable() {
    Totals totals;
    for (std::size_t place = 0; place < caches_.size(); ++place) {
      const auto& cache = parts_.endpoints[caches_.at(place)];
      if (!parts_.outliers.usable(cache)) continue;
      totals.in_flight += cache.attempts.in_flight();
      totals.weight += cache.weight;
    }
    return totals;
  }

  const Parts& parts_;
  const RequestState& request_;
  EndpointOrder::Ranking& caches_;
  const double work_;
  const double weight_;
  std::optional<Totals> totals_;  // only where a cache has more than is always fair
};

RouteSelector::KnownCopy RouteSelector::known_copy(const RequestState& request) const {
  const Seconds now = parts_.context.now;
  const auto& entry = parts_.counters.at(request.copy, now);
  return {entry.cache, entry.recently_cached(now)};
}

Route RouteSelector::select(const RequestState& request) const {
  const auto& fills = parts_.fills;
  const Seconds now = parts_.context.now;
  const double weight = parts_.service_times.weight(request);
  const auto copy = known_copy(request);
  auto caches = parts_.endpoints.ranked(Role::cache, request.copy);
  CacheCapacity can_take(*this, request, caches);
  const double fill = weight * (request.cache_probed ? 1 : fills.cache_misses.mean());

  // Where answers tell nothing, a probe does: a hit, or nothing there and then a fill. A lookup names no
  // source: what its client's misses draw is the cache's own doing, and unseen.
  const bool probe = parts_.context.fills.reporting == FillReporting::none && !request.cache_probed;
  if (probe || request.represented_requests > 0)
    if (const int cache = first_usable(caches, can_take); cache >= 0) return {cache, cache, false};

  const int cache = first_usable(caches, [&](int index) {
    if (!can_take(index)) return false;
    if (copy.recent && copy.cache == index) return true;
    return parts_.endpoints[index].fills.admits(fill, now) && fills.link.admits(fill, now);
  });
  if (cache >= 0)
    if (const auto route = select_fill(request, cache, copy); route.source >= 0) return route;
  // No capacity for a fill: the cache that would hold the object is asked for what it holds, once. Prevents
  // hits that wait behind fills, whatever holds those up.
  if (!request.cache_probed)
    if (const int cache_to_probe = first_usable(caches, can_take); cache_to_probe >= 0)
      return {cache_to_probe, cache_to_probe, false};
  return select_without_cache(request);
}

bool RouteSelector::sibling_supplies(const RequestState& request, int cache, const KnownCopy& copy) const {
  if (request.cache_fill || parts_.context.fills.siblings == SiblingFills::none) return false;
  if (!copy.recent || copy.cache == cache) return false;
  const auto& sibling = parts_.endpoints[copy.cache];
  return parts_.outliers.usable(sibling) && !failed_from(request, copy.cache) &&
         parts_.slow_start.admits(sibling, parts_.service_times.cold_work(request.request_class));
}

// With the cache chosen, who supplies a miss; no source where nobody can.
Route RouteSelector::select_fill(const RequestState& request, int cache, const KnownCopy& copy) const {
  if (sibling_supplies(request, cache, copy)) return {cache, copy.cache, true};
  Route route{cache, select_source(request), false};
  if (route.source < 0) return route;
  // No capacity at the origin behind a parent: the parent is asked for what it holds, once. Prevents an
  // origin that serves nobody in time while what parents hold waits behind it.
  const int origin = parts_.endpoints.first_origin();
  const double weight = parts_.service_times.weight(request) * parts_.fills.parent_misses.mean();
  route.cached_only = parts_.endpoints[route.source].role == Role::parent && origin >= 0 &&
                      !parts_.endpoints[origin].fills.admits(weight, parts_.context.now);
  if (route.cached_only && request.missing_at_parent) route.source = -1;
  return route;
}

// No cache of the location can take it: straight to a parent. Never because the caches are merely full.
Route RouteSelector::select_without_cache(const RequestState& request) const {
  const double work = parts_.service_times.cold_work(request.request_class);
  const double weight = parts_.service_times.weight(request);
  auto caches = parts_.endpoints.ranked(Role::cache, request.copy);
  const auto can_take = [&](int index) {
    return !failed_at(request, index) && parts_.slow_start.admits(parts_.endpoints[index], work);
  };
  if (!parts_.context.roles.direct || first_usable(caches, can_take) >= 0 ||
      !parts_.fills.link.admits(weight, parts_.context.now))
    return {};
  const int endpoint = select_source(request);
  auto origins = parts_.endpoints.ranked(Role::origin, request.object);
  const int source = first_usable(origins, [](int) { return true; });  // a parent alone fills nothing
  return source < 0 ? Route{} : Route{endpoint, source, false};
}

int RouteSelector::select_source(const RequestState& request) const {
  const double weight = parts_.service_times.weight(request);
  const Seconds work = parts_.service_times.work(request);
  const auto has_capacity = [&](int index) {
    return parts_.endpoints[index].fills.admits(weight, parts_.context.now);
  };
  auto parents = parts_.endpoints.ranked(Role::parent, request.object);
  const int parent = first_usable(parents, [&](int index) {
    return has_capacity(index) && !failed_from(request, index) &&
           parts_.slow_start.admits(parts_.endpoints[index], work);
  });
  if (parent >= 0) return parent;
  auto origins = parts_.endpoints.ranked(Role::origin, request.object);
  return first_usable(origins, has_capacity);
}

Route RouteSelector::select_uncacheable(const RequestState& request) const {
  int origin = -1;  // also while ejected: nobody else can run it
  auto origins = parts_.endpoints.ranked(Role::origin, request.object);
  for (std::size_t place = 0; place < origins.size(); ++place)
    if (const int index = origins.at(place); parts_.endpoints[index].ready) origin = index;
  if (origin < 0) return {};
  if (parts_.context.roles.direct) return {origin, origin, false};
  const Seconds work = parts_.service_times.work(request);
  auto caches = parts_.endpoints.ranked(Role::cache, request.copy);
  const int cache = first_usable(caches, [&](int index) {
    return !failed_at(request, index) && parts_.slow_start.admits(parts_.endpoints[index], work);
  });
  return {cache, cache < 0 ? -1 : origin, false};
}

}  // namespace walkpaddle::routing
