/// \file
/// Slow start: limits the work sent to cold endpoints. Each router has a budget of its own, without
/// coordination, sized so that the sum over all routers stays within the settings. A router's share of an
/// endpoint is its weight divided by the number of routers that may send to it. Where weights are not given
/// as capacities, it is the mean rate at which this router was recently served by the warm endpoints of the
/// role; over all routers these rates sum to at most what one endpoint can handle.
#pragma once

#include <array>
#include <random>
#include <vector>

#include "routing/context.h"
#include "routing/endpoint_table.h"

namespace walkpaddle::routing {

/// Budgets of cold endpoints.
class SlowStart {
 public:
  /// `context` and `endpoints` must outlive it.
  SlowStart(const PolicyContext& context, EndpointTable& endpoints)
      : context_(context), endpoints_(endpoints) {}

  /// Sets the settings of caches and of parents. Must precede the first endpoint.
  void set(const SlowStartSettings& caches, const SlowStartSettings& parents);

  /// Whether the last start of the endpoint is less than the settings' duration ago. Origins are never cold.
  bool is_cold(const Endpoint& endpoint) const;
  /// Records that the endpoint started at time `started`. Its budget starts at a random phase of
  /// `mean_request` seconds of work, so that the first attempts of many routers do not coincide.
  void restart(Endpoint& endpoint, Seconds started, Seconds mean_request, std::mt19937& random);

  /// Whether the budget admits `work` seconds more. A single request may overdraw an unused budget; a lookup,
  /// which may represent thousands of requests, may not.
  bool admits(const Endpoint& endpoint, Seconds work, double represented_requests = 0) const;
  /// Charges the work of an attempt to the endpoint's budget if it is cold.
  void spend(Endpoint& endpoint, Seconds work);
  /// Records work that was served by the endpoint, if it is warm.
  void record_served(const Endpoint& endpoint, Seconds work);
  /// Grows a limit of the endpoint after an answer, if it is cold.
  void grow_limit(Endpoint& endpoint, ConcurrencyLimit& limit) const;
  /// Updates the mean rates of the warm endpoints. `elapsed`: seconds since the last call.
  void update_warm_rates(Seconds elapsed);

 private:
  /// Mean rate at which a warm endpoint of a role serves this router.
  struct WarmRate {
    Seconds served = 0;  // work served by all of them since the last update
    double rate = 0;     // seconds of work per second, per endpoint
  };
  const SlowStartSettings& settings_of(const Endpoint& endpoint) const;
  double budget_rate(const Endpoint& endpoint) const;
  double spent_now(const Endpoint& endpoint, double rate) const;
  static std::size_t warm_index(Role role) { return role == Role::parent ? 1 : 0; }

  const PolicyContext& context_;
  EndpointTable& endpoints_;
  SlowStartSettings caches_;
  SlowStartSettings parents_;
  std::array<WarmRate, 2> warm_;  // caches, parents
  std::vector<int> starting_;     // endpoints that may be cold
};

}  // namespace walkpaddle::routing
