/// \file
/// What the policy knows of one endpoint. Plain state: each part that decides by it names the fields that it
/// writes.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.h"
#include "routing/concurrency_limit.h"

namespace walkpaddle::routing {

/// What an endpoint is to this router.
enum class Role { cache, parent, origin };
/// How many roles there are.
constexpr std::size_t kRoles = 3;

/// One endpoint, listed now or earlier.
struct Endpoint {
  /// \name As discovery lists it (EndpointTable)
  /// @{
  std::uint64_t hash = 0;         ///< stable hash of its name
  int location = -1;              ///< index among the settings' locations
  int cell = -1;                  ///< those of one cell share what they have ever_listed
  Role role = Role::cache;        ///< by its model
  double weight = 1;              ///< its size against others, above 0
  bool listed = false;            ///< and not gone
  bool ready = false;             ///< and not draining
  bool ever_listed = false;       ///< it was listed at least once
  bool in_current_list = false;   ///< in the complete list that is being read
  bool counted = false;           ///< among the ready ones here,
  Role counted_as = Role::cache;  ///< ... of this role
  /// @}

  /// \name Slow start (SlowStart)
  /// @{
  Seconds started = kLongAgo;  ///< the last start that is known
  bool may_be_cold = false;    ///< it stands among those that are looked at for warmth
  double budget_spent = 0;     ///< work that still counts against its budget
  Seconds spent_at = 0;        ///< when that was reckoned
  /// @}

  /// \name Health (OutlierDetector)
  /// @{
  double failure_rate = 0;             ///< of the last attempts, about ten
  Seconds ejected_until = kLongAgo;    ///< no attempt goes there before
  Seconds ejection_time = 0;           ///< of the last ejection; doubled with each
  int trials_left = 0;                 ///< half-open: so many have to be served, one at a time
  bool unreachable = false;            ///< no connection came up, and no answer since
  Seconds last_answer_at = kLongAgo;   ///< last answer of any kind
  Seconds mean_answer_interval = 0.1;  ///< mean time between two answers while attempts are in flight
  /// @}

  /// \name Load (AttemptAccounting, OutcomeEvaluator)
  /// @{
  int in_flight = 0;                     ///< attempts, and fills that it is the source of
  Seconds busy_since = 0;                ///< when the first of those in flight began
  double reported_load = -1;             ///< share of its capacity in use, as it reports; -1 if it does not
  ConcurrencyLimit attempts{};           ///< of all work
  ConcurrencyLimit fills{{.floor = 1}};  ///< of what it fetches or supplies for misses
  /// @}
};

}  // namespace walkpaddle::routing
