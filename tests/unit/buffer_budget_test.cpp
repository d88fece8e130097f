// The limit on buffered bytes, and the buffer for output.
#include "io/buffer_budget.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>

#include "io/output_buffer.h"

using namespace walkpaddle;

TEST_CASE("reservations are granted in the order of request, once memory is free") {
  Scheduler scheduler;
  BufferBudget budget(scheduler, 100);
  std::string granted;
  BufferBudget::Reservation first(budget, [&] { granted += "first "; });
  BufferBudget::Reservation large(budget, [&] { granted += "large "; });
  BufferBudget::Reservation small(budget, [&] { granted += "small "; });
  first.request(60);
  CHECK(first.bytes() == 60);
  large.request(60);
  small.request(10);  // would fit, but is not served before the one that waits
  CHECK(large.is_waiting());
  CHECK(small.is_waiting());
  CHECK(budget.is_short());
  budget.add_output(60);
  first.reduce_to(0);
  CHECK(granted.empty());
  budget.remove_output(60);
  CHECK(granted == "large small ");
  CHECK(budget.free_bytes() == 30);
  large.release();
  CHECK(budget.free_bytes() == 90);
}

TEST_CASE("a reservation that is destroyed while it waits is not granted, and lets the next one pass") {
  Scheduler scheduler;
  BufferBudget budget(scheduler, 100);
  bool granted = false;
  BufferBudget::Reservation next(budget, [&] { granted = true; });
  budget.add_output(80);
  {
    BufferBudget::Reservation gone(budget, [] { FAIL("granted after its end"); });
    gone.request(50);
    next.request(20);
    CHECK(next.is_waiting());
  }
  CHECK(granted);
}

// Prevents that the beginnings of messages take all memory and none of them can be completed.
TEST_CASE("with nothing else to receive or to send, one reservation is granted beyond the limit") {
  Scheduler scheduler;
  BufferBudget budget(scheduler, 100);
  budget.add(90);
  BufferBudget::Reservation one(budget, [] {});
  BufferBudget::Reservation other(budget, [] {});
  one.request(50);
  other.request(50);
  CHECK(one.bytes() == 50);
  CHECK(other.is_waiting());
}

TEST_CASE("a lease counts its bytes for as long as it exists, also after it was moved") {
  Scheduler scheduler;
  BufferBudget budget(scheduler, 100);
  {
    BufferBudget::Lease kept;
    {
      BufferBudget::Lease lease(budget, 30);
      kept = std::move(lease);
    }
    CHECK(budget.buffered() == 30);
  }
  CHECK(budget.buffered() == 0);
}

TEST_CASE("an output buffer holds what a string would hold") {
  std::mt19937 random(52);
  const auto draw = [&](std::size_t most) {
    return std::uniform_int_distribution<std::size_t>(0, most)(random);
  };
  OutputBuffer buffer;
  std::string expected;
  for (int step = 0; step < 2000; ++step) {
    const std::string bytes(draw(step % 50 == 0 ? 200'000 : 500), static_cast<char>('a' + step % 26));
    buffer.append(bytes);
    expected += bytes;
    const auto from = draw(expected.size());
    const auto to = from + draw(std::min<std::size_t>(expected.size() - from, 70'000));
    buffer.erase(from, to);
    expected.erase(from, to - from);
    const auto sent = draw(std::min<std::size_t>(expected.size(), 20'000));
    std::string taken;
    for (auto left = sent; left > 0;) {
      REQUIRE_FALSE(buffer.front().empty());
      const auto part = buffer.front().substr(0, left);
      taken += part;
      left -= part.size();
      buffer.consume(part.size());
    }
    REQUIRE(taken == expected.substr(0, sent));
    expected.erase(0, sent);
    REQUIRE(buffer.size() == expected.size());
    REQUIRE(buffer.front() == expected.substr(0, buffer.front().size()));
    REQUIRE(buffer.front().empty() == expected.empty());
  }
}
