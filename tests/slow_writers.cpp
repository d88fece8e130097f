// Clients that write a message over several seconds, to a router as a process. Each request whose last byte
// was written has its answer in time, unless its client had been told before that the connection has ended.
// Clients whose messages hardly arrive take neither connections nor memory from others. WALKPADDLE is the
// path of the program.
//
// WALKPADDLE_SEED and WALKPADDLE_PLAYS choose the drawn plays, which are printed.
#define CATCH_CONFIG_MAIN
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <vector>

#include "deployment.h"

using namespace walkpaddle;

namespace {

constexpr Seconds kAllowedLateness = 0.55;  // past its time a request is lost (protocol page, "The rules")
constexpr Seconds kCrossing = 0.05;  // a request that crosses the end of its connection by less is sent again
constexpr Seconds kWriteLimit = 3;
constexpr Seconds kObjectLimit = 5;
constexpr std::size_t kObjectBytes = 240'000, kWriteBytes = 48'000;  // the largest (protocol page)
constexpr double kMegabyte = 1e6;
constexpr Seconds kPollInterval = 0.005;

// What one client does.
struct Script {
  int objects = 0;                // large objects that it asks for before it writes
  double rate = 2.9 * kMegabyte;  // at which it reads, in bytes per second
  Seconds write_time = 2.5;       // from the first to the last byte of its write
  Seconds pause = 0;              // once in mid write, beyond write_time
  bool malformed = false;         // a malformed message precedes the write
  std::string text() const {
    return fmt::format("{} objects at {:.1f} MB/s, writes for {:.1f} s with a pause of {:.1f} s{}", objects,
                       rate / kMegabyte, write_time, pause, malformed ? ", behind a malformed message" : "");
  }
};

// A client as its script has it.
class Writer {
 public:
  Writer(const Program& router, int number, const Script& script)
      : script_(script), fd_(router.connect_client()), began_(now()), last_read_at_(began_) {
    REQUIRE(fd_);
    const int receive_buffer = 65536;  // as for a line of this rate
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    std::string asked;
    for (int tag = 1; tag <= script.objects; ++tag) asked += exec(tag, number, "page", kObjectLimit, "");
    if (script.malformed) asked += net::resp_array_text({"NONSENSE", "90", "x"});
    if (!asked.empty())
      REQUIRE(::send(fd_.get(), asked.data(), asked.size(), MSG_NOSIGNAL) ==
              static_cast<ssize_t>(asked.size()));
    ::fcntl(fd_.get(), F_SETFL, O_NONBLOCK);
    write_ = exec(kWriteTag, number, "order", kWriteLimit, std::string(kWriteBytes, 's'));
  }

  // Writes and reads what is due.
  void step() {
    if (ended_at_ < 0) write();
    read();
  }
  bool is_done() const {
    const bool answered = written_at_ >= 0 && write_answered_at_ >= 0 && objects_answered_ == script_.objects;
    return answered || ended_at_ >= 0 ||
           now() > began_ + script_.write_time + script_.pause + kObjectLimit + 2;
  }
  Seconds write_ends_at() const { return began_ + script_.write_time + script_.pause; }

  // Whether a request was lost, and how.
  std::string lost() const {
    const bool told = ended_at_ >= 0 && ended_at_ <= written_at_ + kCrossing;
    if (written_at_ >= 0 && !told && write_answered_at_ < 0) return "the write has no answer";
    if (written_at_ >= 0 && write_answered_at_ > written_at_ + kWriteLimit + kAllowedLateness)
      return "the answer to the write is late";
    if (objects_answered_ < script_.objects)
      return fmt::format("{} of {} objects, {:.2f} s after the start", objects_answered_, script_.objects,
                         (ended_at_ < 0 ? now() : ended_at_) - began_);
    if (last_object_at_ > began_ + kObjectLimit + kAllowedLateness) return "an object is late";
    return "";
  }
  bool is_served() const { return write_served_; }
  bool is_connected() const { return ended_at_ < 0; }

 private:
  static constexpr int kWriteTag = 99;

  static std::string exec(int tag, int number, const std::string& request_class, Seconds limit,
                          const std::string& body) {
    const auto id = static_cast<unsigned>((number + 1) * 1000 + tag);
    const auto fields =
        fmt::format("txn={:016x},limit={:.0f},item={:016x},seg=0,bucket=17", id, limit * 1e3, tag);
    return body.empty() ? net::resp_array_text({"EXEC", std::to_string(tag), request_class, fields})
                        : net::resp_array_text({"EXEC", std::to_string(tag), request_class, fields, body});
  }

  // The share of the write that is due: half of it before the pause.
  double share_due() const {
    const Seconds half = script_.write_time / 2;
    Seconds elapsed = now() - began_;
    if (elapsed > half) elapsed = std::max(half, elapsed - script_.pause);
    return std::min(1.0, elapsed / std::max(script_.write_time, kPollInterval));
  }
  void write() {
    const auto due =
        std::max<std::size_t>(1, static_cast<std::size_t>(share_due() * static_cast<double>(write_.size())));
    if (due <= sent_) return;
    const auto got = ::send(fd_.get(), write_.data() + sent_, due - sent_, MSG_NOSIGNAL);
    if (got < 0 && errno != EAGAIN) ended_at_ = now();
    if (got > 0) sent_ += static_cast<std::size_t>(got);
    if (sent_ == write_.size() && written_at_ < 0) written_at_ = now();
  }
  void read() {
    constexpr Seconds kMaxBurst = 0.02;
    last_read_at_ = std::max(last_read_at_, now() - kMaxBurst);
    char buffer[16384];
    while (ended_at_ < 0 && last_read_at_ < now()) {
      const auto got = ::recv(fd_.get(), buffer, sizeof buffer, 0);
      if (got < 0 && errno == EAGAIN) return;
      if (got <= 0) {
        ended_at_ = now();
        return;
      }
      last_read_at_ += static_cast<double>(got) / script_.rate;
      in_.append(buffer, static_cast<std::size_t>(got));
      take_answers();
    }
  }
  void take_answers() {
    net::RespArray answer;
    for (;;) {
      net::read_resp_array(in_, 8, 1 << 20, answer);
      if (answer.used == 0) return;
      if (answer.words[0] == std::to_string(kWriteTag)) {
        write_answered_at_ = now();
        write_served_ = answer.words[1] == "RESULT";
      } else {
        ++objects_answered_;
        last_object_at_ = now();
      }
      in_.erase(0, answer.used);
    }
  }

  const Script script_;
  const Fd fd_;
  const Seconds began_;
  std::string write_, in_;
  std::size_t sent_ = 0;
  int objects_answered_ = 0;
  bool write_served_ = false;
  Seconds last_read_at_, last_object_at_ = 0;
  Seconds written_at_ = -1, write_answered_at_ = -1, ended_at_ = -1;  // < 0: not yet
};

constexpr Seconds kNoSignal = -1;

// Plays the scripts until all are done. `sigterm_before`: how long before the end of the first client's write
// the router is told to end.
Task play(Deployment& deployment, std::vector<std::unique_ptr<Writer>>& writers, Seconds sigterm_before) {
  Event poll(deployment.scheduler);
  bool signalled = sigterm_before < 0;
  while (!std::ranges::all_of(writers, &Writer::is_done)) {
    for (const auto& writer : writers) writer->step();
    if (!signalled && now() >= writers[0]->write_ends_at() - sigterm_before) {
      signalled = true;
      ::kill(deployment.router->pid, SIGTERM);
    }
    co_await poll.wait(deployment.scheduler.now() + kPollInterval);
  }
  deployment.scheduler.stop();
}

void check(const std::vector<Script>& scripts, Seconds sigterm_before = kNoSignal) {
  Deployment deployment(R"({"sockets":512,"memory_mb":64})", kObjectBytes);
  std::vector<std::unique_ptr<Writer>> writers;
  for (const auto& script : scripts)
    writers.push_back(std::make_unique<Writer>(*deployment.router, static_cast<int>(writers.size()), script));
  const int status = deployment.run(play(deployment, writers, sigterm_before));
  INFO(deployment.log());
  for (std::size_t n = 0; n < scripts.size(); ++n) {
    INFO("client " << n << ": " << scripts[n].text());
    CHECK(writers[n]->lost() == "");
    if (sigterm_before < 0 && !scripts[n].malformed) CHECK(writers[n]->is_served());
  }
  CHECK(status == 0);
}

Script draw(std::mt19937& random) {
  const auto between = [&random](double least, double most) {
    return std::uniform_real_distribution(least, most)(random);
  };
  Script script;
  script.objects = static_cast<int>(between(0, 13));
  script.rate = between(0.9, 10) * kMegabyte;
  script.write_time = between(2, 10);
  script.pause = between(0, 1) < 0.3 ? between(0, 1.8) : 0;
  script.malformed = between(0, 1) < 0.2;
  return script;
}

}  // namespace

// Prevents that a message is cut off, or read and not answered, because it takes long to arrive.
TEST_CASE("given writes that take seconds to arrive, when bytes keep coming, then each is served") {
  check({{.write_time = 2.3},
         {.write_time = 6},
         {.write_time = 10},
         {.write_time = 2, .pause = 1.8},
         {.write_time = 8, .pause = 1.8},
         {.objects = 31, .write_time = 2.3},
         {.objects = 16, .rate = 0.9 * kMegabyte, .write_time = 4.4},
         {.objects = 4, .rate = 0.9 * kMegabyte, .write_time = 10},
         {.objects = 8, .write_time = 5, .pause = 1.8}});
}

// Prevents that requests behind a malformed message are read and dropped before the client can know of the
// end, and that answers which the kernel still holds are discarded at the end.
TEST_CASE("given a malformed message before a slow write, then the client is answered or told before") {
  check({{.write_time = 3, .malformed = true},
         {.objects = 31, .write_time = 2.3, .malformed = true},
         {.objects = 16, .rate = 0.9 * kMegabyte, .write_time = 4.4, .malformed = true},
         {.objects = 16, .rate = 0.9 * kMegabyte, .write_time = 6, .malformed = true}});
}

// Prevents that a shutdown loses messages that are arriving.
TEST_CASE(
    "given slow writes, when the router is told to end, then each is answered or its client told before") {
  check({{.objects = 31, .write_time = 2.3}, {.write_time = 2.3}, {.write_time = 2.5}}, 0.2);
  check({{.write_time = 4},
         {.write_time = 5},
         {.write_time = 8},
         {.objects = 16, .rate = 0.9 * kMegabyte, .write_time = 5}},
        2);
}

// Prevents that messages which hardly arrive take the memory for the writes of others.
TEST_CASE("given 32 MB and large messages that hardly arrive, then the writes of others are served") {
  constexpr int kDripping = 330;
  constexpr double kLimitMb = 32;
  Deployment deployment(R"({"sockets":1024,"memory_mb":32})", kObjectBytes);
  std::vector<Fd> dripping;
  const std::string part =
      "*5\r\n$4\r\nEXEC\r\n$1\r\n1\r\n$5\r\norder\r\n$1\r\n-\r\n$48000\r\n" + std::string(47'000, 's');
  for (int n = 0; n < kDripping; ++n) {
    dripping.push_back(deployment.router->connect_client());
    REQUIRE(::send(dripping.back().get(), part.data(), part.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(part.size()));
  }
  std::vector<std::unique_ptr<Writer>> writers;
  double memory_mb = 0;
  const auto scenario = [&]() -> Task {
    Event poll(deployment.scheduler);
    const Seconds began = now();
    for (Seconds drip_at = began; now() < began + 12;) {
      for (const auto& fd : dripping)
        if (now() >= drip_at) ::send(fd.get(), "s", 1, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (now() >= drip_at) drip_at += 1;
      // Writers begin when the memory has had time to be freed.
      if (now() >= began + 4 && writers.size() < 8)
        writers.push_back(std::make_unique<Writer>(*deployment.router, static_cast<int>(writers.size()),
                                                   Script{.write_time = 4}));
      for (const auto& writer : writers) writer->step();
      memory_mb = std::max(memory_mb, peak_memory_mb(deployment.router->pid));
      co_await poll.wait(deployment.scheduler.now() + kPollInterval);
    }
    deployment.scheduler.stop();
  };
  const int status = deployment.run(scenario());
  INFO(deployment.log());
  for (const auto& writer : writers) {
    CHECK(writer->lost() == "");
    CHECK(writer->is_served());
  }
  CHECK(memory_mb <= kLimitMb);
  CHECK(status == 0);
}

TEST_CASE("drawn plays of slow writers") {
  const int seed = environment_number("WALKPADDLE_SEED", 56);
  const int plays = environment_number("WALKPADDLE_PLAYS", 2);
  for (int n = 0; n < plays; ++n) {
    std::mt19937 random(static_cast<unsigned>(seed + n));
    std::vector<Script> scripts(std::uniform_int_distribution<std::size_t>(1, 32)(random));
    for (auto& script : scripts) script = draw(random);
    const bool terminated = std::uniform_int_distribution<int>(0, 2)(random) == 0;
    const Seconds sigterm_before = terminated ? std::uniform_real_distribution(0.0, 4.0)(random) : kNoSignal;
    fmt::print("seed {}: {} clients, SIGTERM {:.2f} s before\n", seed + n, scripts.size(), sigterm_before);
    check(scripts, sigterm_before);
  }
}
