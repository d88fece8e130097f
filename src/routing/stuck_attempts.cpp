#include "routing/stuck_attempts.h"

#include <cstddef>
#include <map>

namespace walkpaddle::routing {

void StuckAttempts::eject_silent_endpoints() {
  constexpr int kMinWaiting = 2;
  std::map<int, int> waiting;  // number of waiting attempts by silent endpoint
  for (const auto& request : parts_.requests) {
    if (request.represented_requests > 0) continue;  // the router does not see represented requests
    for (const auto& attempt : request.attempts) {
      if (!attempt.in_flight) continue;
      if (const int silent = parts_.outliers.silent_endpoint(attempt); silent >= 0) ++waiting[silent];
    }
  }
  for (const auto& [endpoint, attempts] : waiting)
    if (attempts >= kMinWaiting) parts_.outliers.eject_silent(endpoint);
}

bool StuckAttempts::may_cancel(const RequestState& request) const {
  const auto& request_class = parts_.context.classes[static_cast<std::size_t>(request.request_class)];
  return request.open && request.represented_requests <= 0 &&
         request_class.idempotency == Idempotency::idempotent;
}

// The endpoint or source that will not answer the attempt, because it is silent and ejected or because the
// loss timeout has passed; -1 if the attempt may still be answered.
int StuckAttempts::lost_endpoint(const RequestState& request, const AttemptState& attempt) {
  const int silent = parts_.outliers.silent_endpoint(attempt);
  if (silent >= 0 && parts_.outliers.ejected(parts_.endpoints[silent])) return silent;
  // A single attempt can be lost while its endpoint answers others; without the timeout it would wait until
  // its deadline.
  const Seconds now = parts_.context.now;
  if (now - attempt.waiting_since() < parts_.service_times.loss_timeout(request)) return -1;
  const int lost_endpoint = attempt.may_fill ? attempt.source : attempt.endpoint;
  auto& endpoint = parts_.endpoints[lost_endpoint];
  (attempt.may_fill ? endpoint.fills : endpoint.attempts).record_lost(now);
  return lost_endpoint;
}

void StuckAttempts::cancel(std::vector<Decision>& decisions) {
  for (std::size_t index = 0; index < parts_.requests.size(); ++index) {
    auto& request = parts_.requests[index];
    if (!may_cancel(request)) continue;
    for (std::size_t n = 0; n < request.attempts.size(); ++n) {
      auto& attempt = request.attempts[n];
      if (!attempt.in_flight || attempt.being_cancelled) continue;
      const int endpoint = lost_endpoint(request, attempt);
      if (endpoint < 0) continue;
      attempt.being_cancelled = true;
      (endpoint == attempt.endpoint ? attempt.endpoint_failed : attempt.source_failed) = true;
      decisions.push_back({.kind = Decision::Kind::cancel,
                           .request = static_cast<int>(index),
                           .attempt = static_cast<int>(n)});
    }
  }
}

}  // namespace walkpaddle::routing
