/// \file
/// What the end of an attempt proves, and which attempts may follow, by the request's idempotency (RFC
/// 9110, 9.2.2).
#pragma once

#include "routing/endpoint.h"
#include "routing/request_state.h"
#include "routing/types.h"

namespace walkpaddle::routing {

/// The request did not run at the endpoint, whatever it does.
bool proves_not_run(AttemptOutcome outcome);
/// The endpoint is alive: something came from it.
bool proves_endpoint_alive(AttemptOutcome outcome);
/// The attempt says something of its endpoint or source, which it failed at.
bool proves_failure(AttemptOutcome outcome);

/// Whether another attempt may follow those that were made.
bool may_retry(const RequestState& request, const RequestClass& request_class, Seconds now);
/// Whether a repeat at `candidate` meets the endpoints that drop it, the first attempt having gone to
/// `first`. True where nothing needs to be dropped.
bool repeat_is_dropped(const RequestState& request, const RequestClass& request_class, const Endpoint& first,
                       const Endpoint& candidate);
/// Whether it may be answered that the request never ran.
bool may_reject(const RequestState& request, const RequestClass& request_class);
/// A repeat has to begin by then, or those that drop it may have forgotten the first; 0: any time will do.
Seconds latest_start(const RequestState& request, const RequestClass& request_class);

/// The pause before an attempt that follows a rejected one: it grows, so that a crowd is not answered with a
/// storm. `earlier`: rejections of this request before that.
Seconds pause_after_rejection(FillOutcome fill, int earlier);
/// The pause before an attempt that follows one that failed at once, from the second on: the attempts that
/// are left are spread over a part of the time that is left. Prevents requests rejected with most of their
/// time left, where every endpoint fails for a moment.
Seconds pause_after_immediate_failure(Seconds time_left, int attempts_left);

}  // namespace walkpaddle::routing
