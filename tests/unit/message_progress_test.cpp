#include "net/message_progress.h"

#include <catch2/catch.hpp>

using walkpaddle::kNoTime;
using walkpaddle::net::MessageProgress;

TEST_CASE("silence counts from the last byte of an unfinished message") {
  MessageProgress message;
  CHECK(message.last_received_at() == kNoTime);
  message.begin(10);
  CHECK(message.last_received_at() == 10);
  message.received(5, 11.5);
  CHECK(message.last_received_at() == 11.5);
  CHECK(message.age(12) == 2);
  message.finish();
  CHECK(message.last_received_at() == kNoTime);
  CHECK(message.age(20) == 0);
}

TEST_CASE("the rate of a message is that of its last seconds") {
  MessageProgress message;
  message.received(47'000, 0);
  for (int second = 1; second <= 10; ++second) message.received(1, second);
  CHECK(message.rate(10) < 2);
  for (int step = 0; step < 40; ++step) message.received(500, 10 + step * 0.1);
  CHECK(message.rate(14) == Approx(5000).epsilon(0.2));
  CHECK(message.rate(30) < 1500);  // after a long silence
}
