#include "routing/attempt_accounting.h"

namespace walkpaddle::routing {

// Hands every limit that the attempt weighs on to `limits`, with its weight there, and every endpoint to
// `count`.
template <class Limits, class Count>
void AttemptAccounting::apply(AttemptState& attempt, const Limits& limits, const Count& count) {
  const double fill = attempt.weight * attempt.fill_probability;
  auto& endpoint = endpoints_[attempt.endpoint];
  count(endpoint);
  limits(endpoint.attempts, attempt.weight);
  if (attempt.may_fill || endpoint.role != Role::cache) {
    limits(endpoint.fills, fill);
    limits(link_, fill);
  }
  if (attempt.may_fill) {
    auto& source = endpoints_[attempt.source];
    count(source);
    limits(source.fills, fill);
  }
  if (attempt.origin >= 0) limits(endpoints_[attempt.origin].fills, attempt.origin_weight);
}

void AttemptAccounting::begin(RequestState& request, AttemptState& attempt) {
  ++request.in_flight;
  attempt.in_flight = true;
  const auto reserve = [](ConcurrencyLimit& limit, double weight) { limit.reserve(weight); };
  const auto count = [this](Endpoint& endpoint) {
    if (endpoint.in_flight == 0) endpoint.busy_since = context_.now;
    ++endpoint.in_flight;
  };
  apply(attempt, reserve, count);
}

void AttemptAccounting::end(RequestState& request, AttemptState& attempt) {
  --request.in_flight;
  attempt.in_flight = false;
  const Seconds took = context_.now - attempt.sent_at;
  const auto release = [&](ConcurrencyLimit& limit, double weight) {
    limit.release(weight, took, context_.now);
  };
  const auto count = [](Endpoint& endpoint) { --endpoint.in_flight; };
  apply(attempt, release, count);
}

}  // namespace walkpaddle::routing
