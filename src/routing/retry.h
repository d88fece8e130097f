/// \file
/// What the outcome of an attempt proves, and which retries are allowed, by the idempotency of the request
/// (RFC 9110, 9.2.2).
#pragma once

#include "routing/endpoint.h"
#include "routing/request_state.h"
#include "routing/types.h"

namespace walkpaddle::routing {

/// Whether the outcome proves that the request did not run at the endpoint.
bool proves_not_run(AttemptOutcome outcome);
/// Whether the outcome proves that the endpoint is alive, since it sent something.
bool proves_endpoint_alive(AttemptOutcome outcome);
/// Whether the outcome proves a failure of the endpoint or of its source.
bool proves_failure(AttemptOutcome outcome);

/// Whether another attempt may follow the earlier ones.
bool may_retry(const RequestState& request, const RequestClass& request_class, Seconds now);
/// Whether `candidate` would drop a repeat if the attempt at `first` ran, because the two share idempotency
/// keys. Also true where no repeat needs to be dropped.
bool repeat_is_dropped(const RequestState& request, const RequestClass& request_class, const Endpoint& first,
                       const Endpoint& candidate);
/// Whether the request may be rejected, which lets the client send it again: no attempt ran, or a repeat is
/// harmless.
bool may_reject(const RequestState& request, const RequestClass& request_class);
/// Latest start of a retry, after which endpoints may have forgotten the key of the first attempt; 0: no
/// limit.
Seconds latest_start(const RequestState& request, const RequestClass& request_class);

/// Pause before a retry of a rejected attempt. It doubles with each rejection, up to a bound, so that retries
/// do not add to an overload. `earlier`: number of earlier rejections of the request.
Seconds pause_after_rejection(FillOutcome fill, int earlier);
/// Pause before a retry of an attempt that failed immediately, from the second such failure on. The remaining
/// attempts are spread over a part of the remaining time. Without the pause a request uses up its attempts
/// within milliseconds when all endpoints fail for a moment, and is rejected with most of its time left.
Seconds pause_after_immediate_failure(Seconds time_left, int attempts_left);

}  // namespace walkpaddle::routing
