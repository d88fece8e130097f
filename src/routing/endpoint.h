/// \file
/// State of one endpoint. Each group of fields names the class that writes it.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.h"
#include "routing/concurrency_limit.h"

namespace walkpaddle::routing {

/// Role of an endpoint.
enum class Role { cache, parent, origin };
/// Number of roles.
constexpr std::size_t kRoles = 3;

/// An endpoint that is or was in the endpoint list.
struct Endpoint {
  /// \name Discovery (EndpointTable)
  /// @{
  std::uint64_t hash = 0;         ///< stable hash of its name
  int location = -1;              ///< index among the settings' locations
  int cell = -1;                  ///< endpoints of a cell share the idempotency keys they have received
  Role role = Role::cache;        ///< derived from its model
  double weight = 1;              ///< capacity relative to other endpoints, above 0
  bool listed = false;            ///< in the endpoint list and not gone
  bool ready = false;             ///< ready according to the list, so not draining
  bool ever_listed = false;       ///< was in the list at least once
  bool in_current_list = false;   ///< named by the complete list that is being read
  bool counted = false;           ///< included in EndpointTable::ready_count()
  Role counted_as = Role::cache;  ///< role that it is counted under
  /// @}

  /// \name Slow start (SlowStart)
  /// @{
  Seconds started = kLongAgo;  ///< time of its last known start
  bool may_be_cold = false;    ///< SlowStart checks whether it is still cold
  double budget_spent = 0;     ///< work charged to its budget at `spent_at`, in seconds
  Seconds spent_at = 0;        ///< time at which `budget_spent` was computed
  /// @}

  /// \name Health (OutlierDetector)
  /// @{
  double failure_rate = 0;             ///< moving average over about ten attempts
  Seconds ejected_until = kLongAgo;    ///< end of its last ejection
  Seconds ejection_time = 0;           ///< length of its last ejection
  int trials_left = 0;                 ///< half-open: trial attempts that must still be served; 0: closed
  bool unreachable = false;            ///< its last connection failed, and no attempt was served since
  Seconds last_answer_at = kLongAgo;   ///< time of its last answer of any kind
  Seconds mean_answer_interval = 0.1;  ///< mean time between two answers while attempts are in flight
  /// @}

  /// \name Load (AttemptAccounting, OutcomeEvaluator)
  /// @{
  int in_flight = 0;                     ///< attempts, plus fills that it is the source of
  Seconds busy_since = 0;                ///< time since which at least one has been in flight
  double reported_load = -1;             ///< share of its capacity in use by its load report; -1: none
  ConcurrencyLimit attempts{};           ///< limit of attempts
  ConcurrencyLimit fills{{.floor = 1}};  ///< limit of fills that it fetches or is the source of
  /// @}
};

}  // namespace walkpaddle::routing
