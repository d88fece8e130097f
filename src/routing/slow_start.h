/// \file
/// What a cold endpoint may be sent. Each router spends by itself, so that all together stay inside what the
/// settings allow without knowing of each other: its part of an endpoint is the told size over the routers
/// that may send there; where no size is told, the mean rate that it lately got through the warm endpoints of
/// that role: all routers' together fit one.
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

  /// Before the first endpoint.
  void set(const SlowStartSettings& caches, const SlowStartSettings& parents);

  /// Its last start is less than the settings' duration ago.
  bool is_cold(const Endpoint& endpoint) const;
  /// The endpoint started at `started`. `mean_request`: seconds of work. The first attempts of many routers
  /// must not meet, so each begins at a random phase.
  void restart(Endpoint& endpoint, Seconds started, Seconds mean_request, std::mt19937& random);

  /// Whether the budget admits so much work. A request alone may overdraw it; a lookup, which may represent
  /// thousands, may not.
  bool admits(const Endpoint& endpoint, Seconds work, double represented_requests = 0) const;
  /// An attempt goes to it; nothing happens at a warm one.
  void spend(Endpoint& endpoint, Seconds work);
  /// A warm endpoint served so much.
  void record_served(const Endpoint& endpoint, Seconds work);
  /// A cold endpoint answered: its limits grow.
  void grow_limit(Endpoint& endpoint, ConcurrencyLimit& limit) const;
  /// Averages what the warm endpoints served since the last call, `elapsed` ago.
  void update_warm_rates(Seconds elapsed);

 private:
  /// Work that a warm endpoint of a role lately got from this router, in the mean.
  struct WarmRate {
    Seconds served = 0;  // since the last update, at all of them
    double rate = 0;     // seconds of work a second
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
