// The ids of open and of ended requests.
#include "guard/request_ids.h"

#include <catch2/catch.hpp>

using namespace walkpaddle::guard;

TEST_CASE("an id is free again after its request, unless that may have run") {
  RequestIds ids;
  {
    auto first = ids.reserve(1);
    auto second = ids.reserve(2);
    REQUIRE(first);
    REQUIRE(second);
    CHECK(ids.reserve(1).error() == IdRefusal::is_open);
    first->remember();
  }
  CHECK(ids.open() == 0);
  CHECK(ids.reserve(1).error() == IdRefusal::may_have_run);
  CHECK(ids.reserve(2));
}

TEST_CASE("a reservation that is moved still remembers its id") {
  RequestIds ids;
  {
    RequestIds::Reservation kept;
    {
      auto reservation = std::move(*ids.reserve(1));
      reservation.remember();
      kept = std::move(reservation);
    }
    CHECK(ids.open() == 1);
  }
  CHECK(ids.reserve(1).error() == IdRefusal::may_have_run);
}

TEST_CASE("the number of remembered ids is bounded, and the oldest are forgotten first") {
  RequestIds ids;
  for (std::uint64_t id = 0; id <= RequestIds::kMaxRemembered; ++id) ids.reserve(id)->remember();
  CHECK(ids.reserve(0));
  CHECK_FALSE(ids.reserve(1));
  CHECK_FALSE(ids.reserve(RequestIds::kMaxRemembered));
}
