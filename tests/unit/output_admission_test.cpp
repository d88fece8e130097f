// Which requests of a client start while it has answers unread.
#include "routing/output_admission.h"

#include <catch2/catch.hpp>

using namespace walkpaddle;
using routing::ClientOutput;
using Verdict = routing::OutputAdmission::Verdict;

namespace {

constexpr std::size_t kLargest = 240'000;
constexpr std::size_t kPlenty = 48 << 20;
constexpr Seconds kNow = 1000;

}  // namespace

TEST_CASE("a client without unread answers starts a request, however little memory is free") {
  const routing::OutputAdmission admission;
  CHECK(admission.decide({}, 0, 0, kNow + 1, kNow) == Verdict::start);
}

TEST_CASE("requests start until the answers that are expected fill the client's share of the free memory") {
  routing::OutputAdmission admission;
  const auto started = [&](std::size_t free_bytes) {
    ClientOutput output;
    while (admission.decide(output, 0, free_bytes, kNow + 5, kNow) == Verdict::start) ++output.open_requests;
    return output.open_requests;
  };
  CHECK(started(kPlenty) == 4);  // of unknown size: taken as the largest
  CHECK(started(0) == 1);
  for (int n = 0; n < 200; ++n) admission.answered(10'000);
  CHECK(started(kPlenty) == 104);
  CHECK(started(0) == 24);
}

TEST_CASE("a client that reads slowly starts fewer requests") {
  const routing::OutputAdmission admission;
  const ClientOutput slow{.unsent_bytes = kLargest, .backlog_duration = 2, .backlog_taken = 1'000'000};
  const ClientOutput fast{.unsent_bytes = kLargest, .backlog_duration = 2, .backlog_taken = 20'000'000};
  CHECK(admission.decide(slow, 0, kPlenty, kNow + 5, kNow) == Verdict::wait);
  CHECK(admission.decide(fast, 0, kPlenty, kNow + 5, kNow) == Verdict::start);
}

TEST_CASE("a request is rejected as soon as its answer could only come after its deadline") {
  const routing::OutputAdmission admission;
  const ClientOutput slow{.unsent_bytes = kLargest, .backlog_duration = 1, .backlog_taken = 500'000};
  CHECK(admission.decide(slow, 0, kPlenty, kNow + 2.5, kNow) == Verdict::wait);
  CHECK(admission.decide(slow, 0, kPlenty, kNow + 0.5, kNow) == Verdict::reject);
  CHECK(admission.decide(slow, 10, kPlenty, kNow + 2.5, kNow) == Verdict::reject);
  CHECK(admission.decide({}, 0, kPlenty, kNow, kNow) == Verdict::reject);
}

TEST_CASE("a client whose rate is not known yet is given the benefit of the doubt") {
  const routing::OutputAdmission admission;
  const ClientOutput unknown{.unsent_bytes = kLargest, .backlog_duration = 0.1};
  CHECK(admission.decide(unknown, 30, kPlenty, kNow + 1, kNow) == Verdict::wait);
}
