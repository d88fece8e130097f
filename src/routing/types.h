/// \file
/// What the routing policy is told and what it decides, as plain data. Endpoints, requests and locations are
/// small indices that the host gives; objects and endpoints come with a stable hash of their name as well.
/// Times are seconds on the host's monotonic clock, but where a span is meant.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace walkpaddle {

/// Whether a request may run more than once.
enum class Idempotency {
  idempotent,
  with_key,       ///< repeats carry an idempotency key and are dropped for a while
  non_idempotent  ///< once it may have run, no other attempt follows
};

/// Which endpoints drop the repeats of a request with an idempotency key: those that share what they have
/// seen.
enum class DeduplicationScope { all, location, cell };

/// What discovery says of an endpoint.
enum class EndpointState { gone, ready, draining };

/// Which sibling caches can supply a fill.
enum class SiblingFills { none, location, any };

/// How much an answer tells of the fill that it drew.
enum class FillReporting { none, hit, all };

/// How an attempt ended. The order is that of the simulator's wire.
enum class AttemptOutcome {
  served,
  error,     ///< the endpoint answered that it failed
  rejected,  ///< the endpoint shed it, unrun
  timed_out,
  unreachable,        ///< no connection came up in time
  connection_broken,  ///< it may have run
  cancelled,
  not_sent,
  not_cached,  ///< it was asked only for what it holds
  stale        ///< the copy was older than the attempt allowed
};
/// Its word in the log.
std::string_view to_string(AttemptOutcome outcome);

/// What an answer tells of its fill. The order is that of the simulator's wire.
enum class FillOutcome {
  none,
  hit,
  filled,
  from_origin,
  coalesced,  ///< joined a fill under way
  stale_copy,
  source_rejected,
  source_unreachable,
  source_not_cached,
  no_fill_capacity,
  origin_failed
};

/// What the settings say of one class of requests.
struct RequestClass {
  Idempotency idempotency = Idempotency::idempotent;           ///< whether it may run more than once
  DeduplicationScope deduplication = DeduplicationScope::all;  ///< who drops repeats
  Seconds deduplication_window = 0;  ///< of requests with a key: how long repeats are dropped
  Seconds latency_objective = 0;     ///< answered by then: full value
  double latency_objective_stretch =
      0;                     ///< the objective grows by this multiple of the answer's own sending time
  Seconds deadline = 0;      ///< from its receipt
  double priority = 1;       ///< value of an answer in time
  Seconds max_age = 0;       ///< of a copy; 0: no limit
  bool in_parts = false;     ///< objects are asked for part by part
  bool uncacheable = false;  ///< passed to the origin
};

/// Where this router stands.
struct RouterPlacement {
  int location = 0;             ///< index among the settings' locations
  int routers_in_location = 1;  ///< that serve this location
  int routers = 1;              ///< in all
};

/// How the models of endpoints map to their roles; -1 for none.
struct EndpointRoles {
  int parent_kind = -1;  ///< of parent caches
  int origin_kind = -1;  ///< of origins
  bool direct = false;   ///< parents and the origin take attempts too
};

/// What the platform allows of retries.
struct RetrySettings {
  int max_attempts = 1;     ///< of one request
  bool can_cancel = false;  ///< an attempt can be cancelled at its endpoint
};

/// What the platform's caches can do.
struct FillSettings {
  SiblingFills siblings = SiblingFills::none;     ///< that can supply a fill
  bool coalesces = false;                         ///< an attempt can wait for a fill under way
  FillReporting reporting = FillReporting::none;  ///< of an answer
  double client_rate = 0;                         ///< KB a second that a client is sent at most
};

/// What a cold endpoint may be sent (slow start).
struct SlowStartSettings {
  double initial_share = 1;  ///< of its capacity, at its start
  double multiple = 1;       ///< of that capacity which it bears within `window`
  Seconds duration = 0;      ///< from its start until it is warm
  Seconds window = 1;        ///< in which the multiple of its capacity counts
};

/// What clients do.
struct ClientSettings {
  bool marks_retries = false;   ///< a retry says that it is one
  Seconds max_retry_after = 0;  ///< 0: no pause is told
};

/// What one start of a router may leave to the next. Nothing of it loosens a rule.
struct WarmStartSnapshot {
  /// Of one class.
  struct ServiceTime {
    double mean = 0;  ///< seconds, the answers' own sending time
    int answers = 0;  ///< that it is the mean of
  };
  /// An endpoint that no connection came up to.
  struct Unreachable {
    int endpoint = -1;  ///< its index
    Seconds at = 0;     ///< last not reached then, and no answer since
  };
  /// Of one endpoint.
  struct Limits {
    int endpoint = -1;    ///< its index
    double attempts = 0;  ///< concurrency limit
    double fills = 0;     ///< concurrency limit
  };
  /// Of one object.
  struct ObjectCount {
    std::uint64_t object = 0;  ///< its stable hash
    double count = 0;          ///< the design's reference counter, of this router's own requests
  };
  std::vector<ServiceTime> service_times{};  ///< by class
  std::vector<Unreachable> unreachable{};    ///< endpoints
  std::vector<Limits> limits{};              ///< by endpoint, of those that were warm
  std::vector<ObjectCount> objects{};        ///< above the forwarding threshold
  double link_limit = 0;                     ///< of fills over the location's link; 0: not known
  double miss_ratio = -1;  ///< share of attempts at a cache that draw a fill; under 0: not known
  Seconds age = 0;         ///< of limits and objects
};

/// Why a request is given up without an attempt that served it.
enum class ShedReason { none, deadline_exceeded, attempts_used, not_idempotent, no_capacity };
/// Its word in the log.
std::string_view to_string(ShedReason reason);

/// How often endpoints were ejected, by what showed their fault.
struct Ejections {
  std::uint64_t unreachable = 0;  ///< no connection, or a time-out
  std::uint64_t failing = 0;      ///< too many of the last attempts, or one in a half-open trial
  std::uint64_t silent = 0;       ///< several attempts in flight and nothing heard
};

/// One thing for the host to carry out.
struct Decision {
  /// What is to be done.
  enum class Kind {
    forward,
    reject,  ///< shed the request: it never ran
    fail,
    cancel,
    wake_up,        ///< call timer_fired() at `time`
    poll_discovery  ///< ask for the endpoint list
  };
  Kind kind = Kind::wake_up;  ///< which fields count follows from it
  int request = -1;           ///< all but wake_up and poll_discovery
  int endpoint = -1;          ///< forward: where to
  int source = -1;            ///< forward: who supplies a miss; the endpoint itself for none
  int attempt = 0;            ///< cancel: which attempt of the request, from 0
  int retention_rank = 0;     ///< forward: 0 keeps no copy, 1 to 3 is the rank of the one that is cached
  Seconds time = 0;           ///< time-out of an attempt, Retry-After of a rejection, or when to wake up
  Seconds start_by = 0;       ///< forward: it begins by then or not at all; 0 for no such time
  Seconds max_age = 0;        ///< forward: the oldest copy that will do; 0 for the class's own
  bool join_fill = false;     ///< forward: wait for a fill under way
  bool cached_only = false;   ///< forward: the source gives only what it holds
  ShedReason reason = ShedReason::none;  ///< reject and fail
};

}  // namespace walkpaddle
