// How much of a client's message is read, over a socket pair.
#include "net/message_intake.h"

#include <fcntl.h>
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <string>

using namespace walkpaddle;
using net::MessageIntake;

namespace {

struct IntakeFixture {
  explicit IntakeFixture(std::size_t budget_bytes) : budget(scheduler, budget_bytes) {
    int fds[2];
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds) == 0);
    client = Fd(fds[0]);
    stream = std::make_unique<Stream>(scheduler, outbox, Fd(fds[1]));
    intake = std::make_unique<MessageIntake>(*stream, budget);
  }
  void send(const std::string& bytes) const {
    REQUIRE(::send(client.get(), bytes.data(), bytes.size(), 0) == static_cast<ssize_t>(bytes.size()));
  }
  // Reads as a connection does, without handling whole messages.
  void read() {
    while (const auto max_bytes = intake->max_read_bytes()) {
      if (stream->read(max_bytes) != Stream::ReadResult::bytes) return;
      intake->messages_consumed();
    }
  }
  Scheduler scheduler;
  Outbox outbox{scheduler, 1 << 20};
  BufferBudget budget;
  Fd client;
  std::unique_ptr<Stream> stream;
  std::unique_ptr<MessageIntake> intake;
};

constexpr std::size_t kBodyBytes = 40'000;
const std::string kHead = "*2\r\n$4\r\nEXEC\r\n$40000\r\n";

}  // namespace

TEST_CASE("with free memory a large message is read as it arrives") {
  IntakeFixture s(100'000);
  s.send(kHead + std::string(kBodyBytes / 2, 's'));
  s.read();
  CHECK(s.stream->in().size() == kHead.size() + kBodyBytes / 2);
  CHECK(s.intake->holds_memory());
  s.intake->message_finished();
  CHECK(s.budget.free_bytes() == 100'000);
}

TEST_CASE("without memory the rest of a large message is read once it has arrived whole") {
  IntakeFixture s(100'000);
  BufferBudget::Reservation other(s.budget, [] {});
  other.request(90'000);
  s.send(kHead + std::string(kBodyBytes / 2, 's'));
  s.read();
  CHECK(s.intake->awaits_memory());
  CHECK(s.stream->in().size() <= MessageIntake::kUnreservedBytes);
  CHECK_FALSE(s.intake->may_have_unread_message());
  s.send(std::string(kBodyBytes / 2, 's') + "\r\n");
  CHECK(s.intake->may_have_unread_message());
  s.read();
  CHECK(s.stream->in().size() == kHead.size() + kBodyBytes + 2);
}

// Prevents that a message with several large strings is read string by string without memory for it.
TEST_CASE("without memory the rest is not read while strings behind it are missing") {
  IntakeFixture s(100'000);
  BufferBudget::Reservation other(s.budget, [] {});
  other.request(90'000);
  s.send("*3\r\n$4\r\nEXEC\r\n$40000\r\n" + std::string(kBodyBytes, 's') + "\r\n");
  s.read();
  CHECK(s.stream->in().size() <= MessageIntake::kUnreservedBytes);
  other.release();
  s.read();
  CHECK(s.stream->in().size() > kBodyBytes);
}
