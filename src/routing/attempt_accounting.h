/// \file
/// What attempts in flight weigh on: their endpoint, and by their probability of a fill the location's link,
/// their source and the origin behind a parent.
#pragma once

#include "routing/context.h"
#include "routing/endpoint_table.h"
#include "routing/request_state.h"

namespace walkpaddle::routing {

class AttemptAccounting {
 public:
  /// All three must outlive it. `link`: this router's fills over the location's incoming link.
  AttemptAccounting(const PolicyContext& context, EndpointTable& endpoints, ConcurrencyLimit& link)
      : context_(context), endpoints_(endpoints), link_(link) {}

  void begin(RequestState& request, AttemptState& attempt);
  void end(RequestState& request, AttemptState& attempt);

 private:
  template <class Limits, class Count>
  void apply(AttemptState& attempt, const Limits& limits, const Count& count);

  const PolicyContext& context_;
  EndpointTable& endpoints_;
  ConcurrencyLimit& link_;
};

}  // namespace walkpaddle::routing
