// The queue of requests that wait for a decision.
#include <catch2/catch.hpp>

#include "routing/admission.h"

using namespace walkpaddle;
using namespace walkpaddle::routing;

namespace {

struct QueueFixture {
  QueueFixture() {
    context.classes.push_back({.latency_objective = 1, .deadline = 2});
    service_times.add_class(context.classes.front());
    for (auto& request : requests) request = {.open = true, .expires = 10};
  }
  PolicyContext context;
  std::vector<RequestState> requests{2};
  ServiceTimes service_times{context};
  AdmissionQueue queue{context, requests, service_times};
};

}  // namespace

// Prevents that a request which is decided anew each millisecond leaves an entry each time.
TEST_CASE("a request that waits has one time at which it is woken, the earliest") {
  QueueFixture s;
  for (int n = 0; n < 1000; ++n) s.queue.wait_for_capacity(0, 5 - n * 0.001);
  s.queue.wait_for_capacity(1, 4.5);
  CHECK(s.queue.due_count() == 2);
  CHECK(s.queue.next_due() == Approx(4.001));
  s.context.now = 4.2;
  s.queue.wake_due();
  CHECK(s.queue.due_count() == 1);
  CHECK(s.requests[0].awaits_decision);
  CHECK_FALSE(s.requests[1].awaits_decision);
}

TEST_CASE("a request does not inherit the time of the one that had its index before") {
  QueueFixture s;
  s.queue.wait_for_capacity(0, 3);
  s.queue.cancel_wake_up(0);
  s.requests[0] = {.open = true, .expires = 10};
  s.queue.wait_for_capacity(0, 5);
  CHECK(s.queue.due_count() == 1);
  CHECK(s.queue.next_due() == 5);
}
