/// \file
/// Inputs and decisions of the routing policy as plain data. Endpoints, requests and locations are small
/// indices assigned by the host; objects and endpoints also have a stable hash of their name. Points in time
/// are seconds on the host's monotonic clock.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace walkpaddle {

/// Whether a request may run more than once.
enum class Idempotency {
  idempotent,
  with_key,       ///< endpoints drop repeats by their idempotency key within the deduplication window
  non_idempotent  ///< no retry follows an attempt that may have run
};

/// The set of endpoints that share the idempotency keys they have received, and so drop each other's repeats.
enum class DeduplicationScope { all, location, cell };

/// State of an endpoint in the endpoint list.
enum class EndpointState { gone, ready, draining };

/// Which sibling caches can be the source of a fill.
enum class SiblingFills { none, location, any };

/// What an answer reports of the fill behind it: nothing, whether it was a hit, or the full outcome.
enum class FillReporting { none, hit, all };

/// How an attempt ended. The values are those of the simulator's wire protocol.
enum class AttemptOutcome {
  served,
  error,              ///< the endpoint answered with an error
  rejected,           ///< the endpoint shed it before it ran
  timed_out,          ///< no answer arrived in time
  unreachable,        ///< no connection was established
  connection_broken,  ///< the connection ended first; the request may have run
  cancelled,          ///< cancelled by this router
  not_sent,           ///< ended before anything was sent
  not_cached,         ///< the source has no copy, and the attempt asked for nothing but a copy
  stale               ///< the copy was older than the attempt allowed
};
/// The name of an outcome in the log.
std::string_view to_string(AttemptOutcome outcome);

/// What an answer reports of its fill. The values are those of the simulator's wire protocol.
enum class FillOutcome {
  none,
  hit,
  filled,
  from_origin,
  coalesced,  ///< waited for a fill that was already running
  stale_copy,
  source_rejected,
  source_unreachable,
  source_not_cached,
  no_fill_capacity,
  origin_failed
};

/// Settings of one request class.
struct RequestClass {
  Idempotency idempotency = Idempotency::idempotent;           ///< whether a request may run more than once
  DeduplicationScope deduplication = DeduplicationScope::all;  ///< which endpoints drop repeats
  Seconds deduplication_window = 0;      ///< for requests with a key: how long repeats are dropped
  Seconds latency_objective = 0;         ///< an answer within this time has its full value
  double latency_objective_stretch = 0;  ///< multiple of the answer's sending time added to the objective
  Seconds deadline = 0;                  ///< time from the receipt of a request to its expiry
  double priority = 1;                   ///< value of an answer in time, relative to other classes
  Seconds max_age = 0;                   ///< maximum age of a copy; 0: unlimited
  bool in_parts = false;                 ///< objects are requested part by part
  bool uncacheable = false;              ///< requests are passed to the origin and never cached
};

/// Location of this router and number of routers.
struct RouterPlacement {
  int location = 0;             ///< index among the settings' locations
  int routers_in_location = 1;  ///< routers that serve this location
  int routers = 1;              ///< routers in all locations
};

/// Which endpoint models are parents and origins; all others are caches.
struct EndpointRoles {
  int parent_kind = -1;  ///< model of parent caches; -1: none
  int origin_kind = -1;  ///< model of origins; -1: none
  bool direct = false;   ///< attempts can also be sent to parents and origins, without a cache between
};

/// The platform's limits on retries.
struct RetrySettings {
  int max_attempts = 1;     ///< attempts of one request
  bool can_cancel = false;  ///< a running attempt can be cancelled at its endpoint
};

/// Capabilities of the platform's caches.
struct FillSettings {
  SiblingFills siblings = SiblingFills::none;     ///< which sibling caches can be sources
  bool coalesces = false;                         ///< an attempt can wait for a fill that is already running
  FillReporting reporting = FillReporting::none;  ///< what answers report of their fill
  double client_rate = 0;                         ///< maximum transfer rate to a client, in KB/s
};

/// Slow start: the load that a cold endpoint may receive.
struct SlowStartSettings {
  double initial_share = 1;  ///< share of its capacity that an endpoint has when it starts
  double multiple = 1;       ///< work allowed in `window`, as a multiple of the capacity at the time
  Seconds duration = 0;      ///< time from its start until an endpoint is warm
  Seconds window = 1;        ///< length of the window that `multiple` applies to
};

/// Behaviour of clients.
struct ClientSettings {
  bool marks_retries = false;   ///< a client's retry is marked as one
  Seconds max_retry_after = 0;  ///< longest Retry-After that clients accept; 0: none is sent
};

/// State that a router saves for its next start. All of it is an estimate: after a restore, slow start still
/// limits cold endpoints, and limits that were reduced since stay reduced.
struct WarmStartSnapshot {
  /// Service time of one request class.
  struct ServiceTime {
    double mean = 0;  ///< mean sending time of an answer, in seconds
    int answers = 0;  ///< number of answers averaged
  };
  /// An endpoint to which no connection could be established.
  struct Unreachable {
    int endpoint = -1;  ///< index of the endpoint
    Seconds at = 0;     ///< time of the last failed connection; no attempt was served since
  };
  /// Concurrency limits of one endpoint.
  struct Limits {
    int endpoint = -1;    ///< index of the endpoint
    double attempts = 0;  ///< limit of attempts
    double fills = 0;     ///< limit of fills
  };
  /// Reference counter of one object, as counted by this router.
  struct ObjectCount {
    std::uint64_t object = 0;  ///< stable hash of the object's name
    double count = 0;          ///< value of its reference counter
  };
  std::vector<ServiceTime> service_times{};  ///< by request class
  std::vector<Unreachable> unreachable{};    ///< endpoints that could not be reached
  std::vector<Limits> limits{};              ///< limits of the endpoints that were warm
  std::vector<ObjectCount> objects{};        ///< objects above the forwarding threshold
  double link_limit = 0;                     ///< limit of fills over the location's link; 0: not known
  double miss_ratio = -1;  ///< share of attempts at a cache that need a fill; < 0: not known
  Seconds age = 0;         ///< age of the limits and counters
};

/// Why a request ends without an attempt that served it.
enum class ShedReason { none, deadline_exceeded, attempts_used, not_idempotent, no_capacity };
/// The name of a reason in the log.
std::string_view to_string(ShedReason reason);

/// Number of ejections by cause.
struct Ejections {
  std::uint64_t unreachable = 0;  ///< a failure that ejects at once, such as no connection or a time-out
  std::uint64_t failing = 0;      ///< too many recent attempts failed, or one of a half-open trial did
  std::uint64_t silent = 0;       ///< several attempts were in flight and no answer arrived
};

/// An action for the host to carry out.
struct Decision {
  /// The action.
  enum class Kind {
    forward,        ///< send an attempt
    reject,         ///< shed the request: the client may safely send it again
    fail,           ///< end the request: an attempt may have run
    cancel,         ///< cancel an attempt
    wake_up,        ///< call timer_fired() at `time`
    poll_discovery  ///< request the endpoint list
  };
  Kind kind = Kind::wake_up;  ///< determines which of the other fields apply
  int request = -1;           ///< the request; for all kinds but wake_up and poll_discovery
  int endpoint = -1;          ///< forward: the endpoint of the attempt
  int source = -1;            ///< forward: the source of a fill; equal to `endpoint` if there is to be none
  int attempt = 0;            ///< cancel: number of the attempt in its request, from 0
  int retention_rank = 0;     ///< forward: 0: a fill is not cached; 1 to 3: rank under which it is cached
  Seconds time = 0;           ///< forward: attempt time-out; reject: Retry-After; wake_up: when to call
  Seconds start_by = 0;       ///< forward: latest time at which the attempt may start; 0: no limit
  Seconds max_age = 0;        ///< forward: maximum age of a copy; 0: that of the request class
  bool join_fill = false;     ///< forward: wait for a fill that is already running
  bool cached_only = false;   ///< forward: the source supplies only what it has cached
  ShedReason reason = ShedReason::none;  ///< reject and fail: the cause
};

}  // namespace walkpaddle
