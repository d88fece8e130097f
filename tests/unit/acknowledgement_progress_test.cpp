#include "net/acknowledgement_progress.h"

#include <catch2/catch.hpp>

using walkpaddle::net::AcknowledgementProgress;

TEST_CASE("a client that takes nothing between two samples has stalled") {
  AcknowledgementProgress progress;
  CHECK(progress.stalled_for(1000, 400, 10) == 0);
  CHECK(progress.stalled_for(1000, 400, 11) == 1);
  CHECK(progress.stalled_for(3000, 2400, 12) == 2);
  CHECK(progress.stalled_for(3000, 2399, 13) == 0);
}

TEST_CASE("a client that took all answers since an old sample has not stalled on later ones") {
  AcknowledgementProgress progress;
  CHECK(progress.stalled_for(1000, 400, 10) == 0);
  CHECK(progress.stalled_for(9000, 5000, 20) == 0);
  CHECK(progress.stalled_for(9000, 0, 21) == 0);
  CHECK(progress.stalled_for(9500, 500, 30) == 0);
  CHECK(progress.stalled_for(9500, 501, 31) == 1);  // the end of the stream is pending too
}
