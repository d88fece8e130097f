/// \file
/// What the policy holds of one open request and of its attempts.
#pragma once

#include <cstdint>
#include <vector>

#include "base/time.h"

namespace walkpaddle::routing {

/// One attempt, in flight or over.
struct AttemptState {
  int endpoint = -1;             ///< where it goes
  int source = -1;               ///< who supplies a miss; the endpoint itself for none
  int origin = -1;               ///< behind a parent, where its miss goes; -1 for none
  bool in_flight = true;         ///< not over yet
  bool endpoint_failed = false;  ///< the endpoint is to be avoided by this request
  bool source_failed = false;    ///< the source is to be avoided by this request
  bool being_cancelled = false;  ///< the host was asked to cancel it
  bool may_fill = false;         ///< its miss draws a fill from `source`
  bool cached_only = false;      ///< `source` was asked only for what it holds
  Seconds sent_at = 0;           ///< when it was decided
  double weight = 0;             ///< in attempts of mean work
  double fill_probability = 1;   ///< that it draws a fill
  double origin_weight = 0;      ///< what of it is reserved at the origin behind
};

/// One request, from its receipt until its answer and the end of its attempts.
struct RequestState {
  bool open = false;                     ///< it waits for an answer
  bool awaits_decision = false;          ///< it is decided in this turn
  bool cache_fill = false;               ///< its object's reference counter is above the forwarding threshold
  bool cache_probed = false;             ///< a cache was asked for what it holds
  bool missing_at_parent = false;        ///< a parent that was asked only for what it holds had none
  bool had_error = false;                ///< an endpoint answered it with an error
  bool size_from_client = false;         ///< the client said how large it is
  int request_class = 0;                 ///< index among the classes
  int in_flight = 0;                     ///< attempts
  int rejections = 0;                    ///< attempts that endpoints rejected
  int immediate_failures = 0;            ///< attempts that failed at once
  std::uint64_t object = 0;              ///< stable hash of its name
  std::uint64_t copy = 0;                ///< key of the part of the object that it asks for
  std::uint32_t group = 0;               ///< of the object; purges name it
  double kbytes = 0;                     ///< 0: not known
  double represented_in_flight = 1;      ///< of a lookup: requests at a time
  double represented_requests = 0;       ///< of a lookup: what follows it unseen; 0 for any other request
  Seconds received_at = 0;               ///< when it came
  Seconds expires = 0;                   ///< its deadline
  Seconds may_have_run_at = kNever;      ///< sending time of the first attempt that is not proved unrun
  int may_have_run_on = -1;              ///< its endpoint
  Seconds valid_since = 0;               ///< copies made before are purged; 0 for none
  std::vector<AttemptState> attempts{};  ///< in the order of their sending
};

}  // namespace walkpaddle::routing
