// Case 1: clients send many commands at once: each asks for 32 large objects on its connection. Is each
// request answered whole? Nothing else is wrong: all servers answer, and the clients read all the time, at
// the rate of the site.
#include "common/deployment.h"
#include "common/stand_in.h"

using namespace review;

namespace {

constexpr int kClients = 4, kRequests = 32;    // "Up to 32 requests may be open on one connection"
constexpr std::size_t kObjectBytes = 240'000;  // "An object holds any bytes, at most 240,000"
constexpr int kMemoryMb = 32;                  // "32 to 192 MB depending on language and day"
constexpr double kReadRate = 3.9e6;            // island-linen: flow_mb_s = [3.9, 10]
constexpr double kSendingTime = 0.06;          // of an object at that rate
constexpr double kLimit = 5, kLate = 0.5, kSlack = 0.05;

// Takes the whole answers out of what was received: tag, word and size of the body of each.
struct Answer {
  int tag = 0;
  std::string word;
  std::size_t body = 0;
};
std::vector<Answer> take_answers(std::string& in) {
  std::vector<Answer> answers;
  for (;;) {
    std::size_t at = 0;
    const auto number = [&](long& value) {
      const auto end = in.find("\r\n", at);
      if (end == std::string::npos) return false;
      value = std::atol(in.c_str() + at + 1);
      at = end + 2;
      return true;
    };
    long words = 0, size = 0;
    if (!number(words)) return answers;
    Answer answer;
    for (long n = 0; n < words; ++n) {
      if (!number(size) || in.size() < at + static_cast<std::size_t>(size) + 2) return answers;
      if (n == 0) answer.tag = std::atoi(in.c_str() + at);
      if (n == 1) answer.word = in.substr(at, static_cast<std::size_t>(size));
      if (n == 3) answer.body = static_cast<std::size_t>(size);
      at += static_cast<std::size_t>(size) + 2;
    }
    in.erase(0, at);
    answers.push_back(answer);
  }
}

}  // namespace

int main() {
  begin_run();
  Record record("review/1/record.txt");
  Folder folder;
  std::vector<Member> members;
  for (int n = 0; n < 6; ++n) {
    Member m;
    m.id = 0x00c46f00u + static_cast<unsigned>(n);
    m.zone = n < 4 ? 0 : 1;
    m.kind = n < 4 ? 0 : n - 3;
    const auto id = m.text_id();
    const auto serve = [&, id](const std::shared_ptr<Link>& link, const Attempt& attempt) {
      record(id + ": attempt for " + attempt.id);
      const auto made = static_cast<long long>(now() * 1e3);
      timer().at(now() + kSendingTime, [=] {
        link->answer({attempt.id, "served",
                      format("etag=4be0c1927d55a6f3,made=%lld,tell=mem,meter=util:0.20;x0:0.70", made),
                      std::string(kObjectBytes, 'm')});
      });
    };
    m.port = (new Server(id, serve))->port();
    members.push_back(m);
  }
  Bus bus;
  const int port = free_port();
  auto d = island_linen();
  d.memory_mb = kMemoryMb;
  write_file(folder / "config.json", config_json(d, "n1", port, bus.port(), members));
  Router router("n1", folder / "config.json", "", folder / "log");
  router.start(port);
  if (!wait_ready(port, 30)) return record("the router was not ready"), 2;

  std::atomic<int> lost{0}, unanswered{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c)
    clients.emplace_back([&, c] {
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const int buffer = 65536, on = 1;  // as a line of this rate needs
      ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const auto a = loopback(port);
      if (::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) return;
      const double began = now();
      std::map<int, double> sent, answered;
      const auto ask = [&](int first, int last) {
        std::string text;
        for (int tag = first; tag <= last; ++tag)
          text += resp(
              {"EXEC", std::to_string(tag), "media",
               format("txn=9b1f%04x%08x,limit=5000,item=7f3a9c21%08x,seg=%d,bucket=17", c, tag, c, tag)});
        const bool written = send_all(fd, text);
        for (int tag = first; written && tag <= last; ++tag) sent[tag] = now();
      };
      // With trouble all at once, else one after the other.
      ask(1, trouble() ? kRequests : 1);
      std::string in;
      double read_at = now();
      for (const double until = began + 9; now() < until && answered.size() < kRequests;) {
        pollfd p{fd, POLLIN, 0};
        if (::poll(&p, 1, 50) <= 0) continue;
        char bytes[16384];
        const auto got = ::recv(fd, bytes, sizeof bytes, 0);
        if (got <= 0) {
          record(format("client %d: its connection %s at %.3f s", c, got == 0 ? "ended" : "was reset",
                        now() - began));
          break;
        }
        in.append(bytes, static_cast<std::size_t>(got));
        for (const auto& answer : take_answers(in)) {
          answered[answer.tag] = now();
          record(format("client %d: answer %d, %s, body of %d bytes, at %.3f s", c, answer.tag,
                        answer.word.c_str(), static_cast<int>(answer.body), now() - began));
          if (!trouble() && answer.tag < kRequests) ask(answer.tag + 1, answer.tag + 1);
        }
        // Reads on when the line would have brought the next bytes.
        read_at = std::max(read_at, now() - 0.02) + static_cast<double>(got) / kReadRate;
        pause(read_at - now());
      }
      for (const auto& [tag, at] : sent) {
        if (answered.contains(tag) && answered[tag] <= at + kLimit + kLate + kSlack) continue;
        ++lost;
        if (!answered.contains(tag)) ++unanswered;
        record(format("client %d: request %d has no whole answer in time: LOST", c, tag));
      }
      ::close(fd);
    });
  for (auto& client : clients) client.join();
  record(format("%d clients, %d requests each; lost: %d, %d of them never answered", kClients, kRequests,
                lost.load(), unanswered.load()));
  record("log of the router:\n" + router.log());
  router.end(SIGTERM);
  return lost > 0 ? 1 : 0;
}
