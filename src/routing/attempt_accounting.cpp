#include "routing/attempt_accounting.h"

#include <algorithm>
#include <cstddef>

namespace walkpaddle::routing {

// Calls `limits` with each limit that the attempt uses and its weight there, and `count` with each endpoint.
template <class Limits, class Count>
void AttemptAccounting::apply(AttemptState& attempt, const Limits& limits, const Count& count) {
  const double fill = attempt.weight * attempt.fill_probability;
  auto& endpoint = parts_.endpoints[attempt.endpoint];
  count(endpoint);
  limits(endpoint.attempts, attempt.weight);
  if (attempt.may_fill || endpoint.role != Role::cache) {
    limits(endpoint.fills, fill);
    limits(parts_.fills.link, fill);
  }
  if (attempt.may_fill) {
    auto& source = parts_.endpoints[attempt.source];
    count(source);
    limits(source.fills, fill);
  }
  if (attempt.origin >= 0) limits(parts_.endpoints[attempt.origin].fills, attempt.origin_weight);
}

AttemptState AttemptAccounting::describe(const RequestState& request, const Route& route) const {
  const auto& request_class = parts_.context.classes[static_cast<std::size_t>(request.request_class)];
  const auto& endpoint = parts_.endpoints[route.endpoint];
  const auto& counter = parts_.counters.at(request.copy, parts_.context.now);
  const bool has_copy = counter.cache == route.endpoint && counter.recently_cached(parts_.context.now);
  AttemptState attempt{.endpoint = route.endpoint,
                       .source = route.source,
                       .may_fill = route.source != route.endpoint && !has_copy,
                       .cached_only = route.cached_only,
                       .sent_at = parts_.context.now,
                       .weight = parts_.service_times.weight(request)};
  if (!attempt.may_fill) return attempt;
  if (endpoint.role == Role::cache && !request.cache_probed && !request_class.uncacheable)
    attempt.fill_probability = parts_.fills.cache_misses.mean();
  if (parts_.endpoints[route.source].role == Role::parent && !route.cached_only) {
    attempt.origin = parts_.endpoints.first_origin();
    attempt.origin_weight = attempt.weight * attempt.fill_probability * parts_.fills.parent_misses.mean();
  }
  return attempt;
}

// Caches are charged the mean work of the request's class, other endpoints the work of the request itself.
void AttemptAccounting::spend_slow_start_budgets(const RequestState& request, const Route& route) {
  const Seconds work = parts_.service_times.work(request);
  const Seconds cold_work = parts_.service_times.cold_work(request.request_class);
  const auto cost = [&](const Endpoint& endpoint) { return endpoint.role == Role::cache ? cold_work : work; };
  auto& endpoint = parts_.endpoints[route.endpoint];
  parts_.slow_start.spend(endpoint, cost(endpoint) * std::max(1.0, request.represented_requests));
  if (route.source == route.endpoint) return;
  auto& source = parts_.endpoints[route.source];
  parts_.slow_start.spend(source, cost(source));
}

AttemptState AttemptAccounting::begin(RequestState& request, const Route& route) {
  auto attempt = describe(request, route);
  const bool probes = route.source == route.endpoint && parts_.endpoints[route.endpoint].role == Role::cache;
  request.cache_probed = request.cache_probed || probes;
  ++request.in_flight;
  const auto reserve = [](ConcurrencyLimit& limit, double weight) { limit.reserve(weight); };
  const auto count = [this](Endpoint& endpoint) {
    if (endpoint.in_flight == 0) endpoint.busy_since = parts_.context.now;
    ++endpoint.in_flight;
  };
  apply(attempt, reserve, count);
  spend_slow_start_budgets(request, route);
  return attempt;
}

void AttemptAccounting::end(RequestState& request, AttemptState& attempt) {
  --request.in_flight;
  attempt.in_flight = false;
  const Seconds now = parts_.context.now;
  const Seconds took = now - attempt.sent_at;
  const auto release = [&](ConcurrencyLimit& limit, double weight) { limit.release(weight, took, now); };
  const auto count = [](Endpoint& endpoint) { --endpoint.in_flight; };
  apply(attempt, release, count);
}

}  // namespace walkpaddle::routing
