/// \file
/// State of a request and of its attempts.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "base/time.h"

namespace walkpaddle::routing {

/// One attempt, in flight or ended.
struct AttemptState {
  int endpoint = -1;             ///< endpoint that it is sent to
  int source = -1;               ///< source of a fill; equal to `endpoint` if there is to be none
  int origin = -1;               ///< origin that a parent as source may fetch from; -1: none
  bool in_flight = true;         ///< has not ended
  bool endpoint_failed = false;  ///< later attempts of the request avoid the endpoint
  bool source_failed = false;    ///< later attempts of the request avoid the source
  bool being_cancelled = false;  ///< a cancel decision was issued
  bool may_fill = false;         ///< a miss causes a fill from `source`
  bool cached_only = false;      ///< `source` supplies only what it has cached
  Seconds sent_at = 0;           ///< time of the decision
  Seconds delayed_until = 0;     ///< until then the router itself did not read its answer on
  double weight = 0;             ///< in attempts of mean work
  double fill_probability = 1;   ///< probability that it causes a fill
  double origin_weight = 0;      ///< weight reserved at `origin`

  /// Since when the endpoint could have been heard.
  Seconds waiting_since() const { return std::max(sent_at, delayed_until); }
};

/// One request, from its receipt until it is answered and all its attempts have ended.
struct RequestState {
  bool open = false;                     ///< not answered yet
  bool awaits_decision = false;          ///< queued for a decision in the current turn
  bool cache_fill = false;               ///< the reference counter exceeds the threshold: a fill is cached
  bool cache_probed = false;             ///< a cache was asked for its copy only
  bool missing_at_parent = false;        ///< a parent that was asked for its copy only had none
  bool had_error = false;                ///< an endpoint answered it with an error
  bool size_from_client = false;         ///< `kbytes` was given with the request
  int request_class = 0;                 ///< index of its class
  int in_flight = 0;                     ///< number of attempts in flight
  int rejections = 0;                    ///< number of attempts that endpoints rejected
  int immediate_failures = 0;            ///< number of attempts that failed immediately
  std::uint64_t object = 0;              ///< stable hash of the object's name
  std::uint64_t copy = 0;                ///< key of the requested part of the object
  std::uint32_t group = 0;               ///< object group, which purges can name
  double kbytes = 0;                     ///< size of the object; 0: not known
  double represented_in_flight = 1;      ///< of a lookup: represented requests in flight at a time
  double represented_requests = 0;       ///< of a lookup: number of represented requests; otherwise 0
  Seconds received_at = 0;               ///< time of receipt
  Seconds expires = 0;                   ///< deadline, as a point in time
  Seconds wake_at = kNever;              ///< when it is queued for a decision at the latest; kNever: not set
  Seconds may_have_run_at = kNever;      ///< sending time of the first attempt that may have run
  int may_have_run_on = -1;              ///< endpoint of that attempt
  Seconds valid_since = 0;               ///< copies made earlier are purged; 0: none are
  std::vector<AttemptState> attempts{};  ///< in the order of sending
};

}  // namespace walkpaddle::routing
