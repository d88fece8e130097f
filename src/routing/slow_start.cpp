#include "routing/slow_start.h"

#include <algorithm>
#include <utility>

#include "routing/outlier_detection.h"

namespace walkpaddle::routing {

void SlowStart::set(const SlowStartSettings& caches, const SlowStartSettings& parents) {
  caches_ = caches;
  parents_ = parents;
}

const SlowStartSettings& SlowStart::settings_of(const Endpoint& endpoint) const {
  return endpoint.role == Role::parent ? parents_ : caches_;
}

bool SlowStart::is_cold(const Endpoint& endpoint) const {
  return endpoint.role != Role::origin && context_.now - endpoint.started < settings_of(endpoint).duration;
}

void SlowStart::restart(Endpoint& endpoint, Seconds started, Seconds mean_request, std::mt19937& random) {
  constexpr double kInitialLimit = 2;  // grows with its answers
  endpoint.started = started;
  if (!is_cold(endpoint)) return;
  if (!std::exchange(endpoint.may_be_cold, true)) starting_.push_back(endpoints_.index_of(endpoint));
  endpoint.attempts.restart_at(kInitialLimit);
  endpoint.fills.restart_at(kInitialLimit);
  endpoint.budget_spent = mean_request * std::uniform_real_distribution<>(0, 1)(random);
  endpoint.spent_at = context_.now;
  OutlierDetector::forget_failures(endpoint);
}

double SlowStart::budget_rate(const Endpoint& endpoint) const {
  constexpr double kMargin = 0.6;  // with the burst of a quarter well under the stated multiple in any window
  constexpr Seconds kShortest = 1e-9;
  const bool is_parent = endpoint.role == Role::parent;
  const double routers = is_parent ? context_.placement.routers : context_.placement.routers_in_location;
  // At least its part of one transfer: less than any machine's size.
  const double part = context_.weights_are_transfers
                          ? endpoint.weight / routers
                          : std::max(1 / routers, warm_[warm_index(endpoint.role)].rate);
  const auto& settings = settings_of(endpoint);
  const double warm_share =
      std::clamp((context_.now - endpoint.started) / std::max(settings.duration, kShortest), 0.0, 1.0);
  const double share = settings.initial_share + (1 - settings.initial_share) * warm_share;  // of its capacity
  return kMargin * settings.multiple * share * part;
}

double SlowStart::spent_now(const Endpoint& endpoint, double rate) const {
  return std::max(0.0, endpoint.budget_spent - rate * (context_.now - endpoint.spent_at));
}

bool SlowStart::admits(const Endpoint& endpoint, Seconds work, double represented_requests) const {
  constexpr double kWindowsPerBurst = 4;  // part of the settings' window that may come at once
  if (!is_cold(endpoint)) return true;
  work *= std::max(1.0, represented_requests);
  const double rate = budget_rate(endpoint);
  const double spent = spent_now(endpoint, rate);
  return (spent <= 0 && represented_requests <= 1) ||
         spent + work <= rate * settings_of(endpoint).window / kWindowsPerBurst;
}

void SlowStart::spend(Endpoint& endpoint, Seconds work) {
  if (!is_cold(endpoint)) return;
  endpoint.budget_spent = spent_now(endpoint, budget_rate(endpoint)) + work;
  endpoint.spent_at = context_.now;
}

void SlowStart::record_served(const Endpoint& endpoint, Seconds work) {
  if (endpoint.role != Role::origin && !is_cold(endpoint)) warm_[warm_index(endpoint.role)].served += work;
}

void SlowStart::grow_limit(Endpoint& endpoint, ConcurrencyLimit& limit) const {
  constexpr double kGrowth = 0.25;  // with each answer
  if (is_cold(endpoint)) limit.grow(kGrowth);
}

void SlowStart::update_warm_rates(Seconds elapsed) {
  constexpr Seconds kTimeConstant = 4;  // smooths single heavy answers
  std::erase_if(starting_, [&](int index) {
    auto& endpoint = endpoints_[index];
    endpoint.may_be_cold = is_cold(endpoint);
    return !endpoint.may_be_cold;
  });
  for (const auto role : {Role::cache, Role::parent}) {
    auto& warm = warm_[warm_index(role)];
    const auto cold = std::ranges::count_if(
        starting_, [&](int index) { return endpoints_[index].counted && endpoints_[index].role == role; });
    const auto warm_endpoints = endpoints_.ready_count(role) - cold;
    // With none warm, what was known of them stands.
    if (warm_endpoints > 0)
      warm.rate += (warm.served / warm_endpoints / elapsed - warm.rate) * elapsed / kTimeConstant;
    warm.served = 0;
  }
}

}  // namespace walkpaddle::routing
