// Purges at three routers as processes, with fake servers, clients that send requests, operators that issue
// purges, and random faults: frozen and restarted servers, killed and stalled routers, cut links. Every
// answer is checked: once a purge has been accepted for longer than the promised delay, no answer has a
// version from before it.
//   fleet_sockets [SEED [SECONDS]]  prints counts to standard error
//   fleet_sockets measure           time until all three routers hold a new purge, without faults
//   fleet_sockets cut               rate of fills while each router is cut off from the others
#include <fcntl.h>
#include <fmt/core.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <unordered_map>

#include "base/error.h"
#include "base/text.h"
#include "fakes/servers.h"
#include "net/resp_parser.h"
#include "platform.h"

using namespace walkpaddle;
using fakes::Relay, fakes::Server;

namespace {

constexpr int kRouters = 3, kCacheServers = 6, kObjects = 60;
constexpr Seconds kLease = 1;
// Added to the promised delay: the time that an answer may take to arrive here on a busy machine.
constexpr Seconds kSlack = 1;
constexpr std::uint32_t kLoopback = 0x7f000001;

std::string object_name(int n) { return fmt::format("{:016x}", 0x1000 + n); }
std::string tag_name(int n) { return fmt::format("contract{}", n % 7); }

struct Router {
  int port = 0, fleet_port = 0;
  pid_t pid = -1;
  Seconds restart_at = -1, stopped_until = -1;
  std::string folder;
};

struct Purge {
  std::map<int, int> versions;  // of the objects that it covers: the versions created with it
  pid_t pid = -1;
  Seconds issued = 0, accepted = -1;
};

struct PendingRequest {
  int object = 0;
  Seconds at = 0;
};

class Scenario {
 public:
  Scenario(unsigned seed, Seconds duration)
      : random_(seed), duration_(duration), outbox_(scheduler_, 64 << 20) {
    program_ = std::getenv("WALKPADDLE");
    if (program_ == nullptr) throw std::runtime_error("WALKPADDLE is not set");
    folder_ =
        (std::filesystem::temp_directory_path() / fmt::format("walkpaddle-fleet-{}", ::getpid())).string();
    std::filesystem::create_directory(folder_);
    for (int n = 0; n < kCacheServers + 2; ++n)
      servers_.push_back(std::make_unique<Server>(scheduler_, outbox_, fmt::format("s-{:08x}", 0xc0 + n),
                                                  n < kCacheServers    ? Server::Kind::cache
                                                  : n == kCacheServers ? Server::Kind::parent
                                                                       : Server::Kind::origin,
                                                  Server::Options{}));
    std::vector<Server*> all;
    for (auto& s : servers_) all.push_back(s.get());
    for (auto& s : servers_) s->set_sources(all);
    for (int n = 0; n < kObjects; ++n) origin().change(object_name(n), tags_of(n));
    routers_.resize(kRouters);
    for (auto& r : routers_) r.port = ports_.take(), r.fleet_port = ports_.take();
    for (int a = 0; a < kRouters; ++a)
      for (int b = a + 1; b < kRouters; ++b)
        relays_[{a, b}] = std::make_unique<Relay>(scheduler_, outbox_, routers_[b].fleet_port);
    for (int n = 0; n < kRouters; ++n) write_files(n), start(n);
  }
  ~Scenario() {
    for (auto& r : routers_)
      if (r.pid > 0) ::kill(r.pid, SIGKILL), ::waitpid(r.pid, nullptr, 0);
    scheduler_.drop_tasks();
    std::filesystem::remove_all(folder_);
  }

  bool run() {
    scheduler_.start(issue_purges_and_faults());
    for (int n = 0; n < kRouters; ++n) scheduler_.start(clients_of(n));
    scheduler_.run();
    return report();
  }

  void measure_partition() {
    scheduler_.start(measure_partition_task());
    for (int n = 0; n < kRouters; ++n) scheduler_.start(clients_of(n));
    scheduler_.run();
  }

  void measure(int purges) {
    scheduler_.start(measure_purges_task(purges));
    for (int n = 0; n < kRouters; ++n) scheduler_.start(clients_of(n));
    scheduler_.run();
    std::ranges::sort(replication_times_);
    const auto at = [&](double share) {
      return 1e3 *
             replication_times_[static_cast<std::size_t>(share * double(replication_times_.size() - 1))];
    };
    std::uint64_t bytes = 0;
    for (const auto& [pair, relay] : relays_) bytes += relay->bytes_passed();
    std::printf(
        "%zu purges, time from issue until all three routers hold it: median %.1f ms, 99th percentile %.1f, "
        "maximum %.1f; %.0f bytes per second between routers\n",
        replication_times_.size(), at(0.5), at(0.99), at(1), double(bytes) / (scheduler_.now() - started_));
  }

 private:
  Server& origin() { return *servers_[kCacheServers + 1]; }
  // A random number from 0 to 1.
  double uniform_random() { return std::uniform_real_distribution<>(0, 1)(random_); }
  static std::vector<std::string> tags_of(int object) { return {tag_name(object), tag_name(object / 3)}; }

  void write_files(int n) {
    auto& r = routers_[n];
    r.folder = fmt::format("{}/r{}", folder_, n);
    std::filesystem::create_directory(r.folder);
    std::string members;
    for (int s = 0; s < kCacheServers + 2; ++s) {
      if (s > 0) members += ",";
      members += endpoint_json(servers_[s]->id(), servers_[s]->port(), s < kCacheServers ? "edge" : "hub",
                               s < kCacheServers    ? "cache"
                               : s == kCacheServers ? "parent"
                                                    : "origin");
    }
    std::ofstream(r.folder + "/config.json") << platform_config_json(
        fmt::format("r{}", n), r.port, 0, members, R"({"sockets":128,"memory_mb":32})");
    std::ofstream file(r.folder + "/walkpaddle.conf");
    file << fmt::format(
        "fleet {{\n name = \"r{}\"\n listen = \"127.0.0.1:{}\"\n lease = {}\n copy_life = 1000\n", n,
        r.fleet_port, kLease);
    for (int p = 0; p < kRouters; ++p)
      if (p != n)
        file << fmt::format(" peer \"r{}\" {{ address = \"127.0.0.1:{}\" }}\n", p,
                            p > n ? relays_[{n, p}]->port() : routers_[p].fleet_port);
    file << fmt::format(
        "}}\nstore {{ folder = \"{0}/store\" }}\ncontrol {{ socket = \"{0}/control\" }}\nboxes {{ "
        "tell_purges = true }}\n",
        r.folder);
  }

  pid_t spawn(const std::vector<std::string>& words, const std::string& folder, const std::string& output) {
    // Opened before the fork: a process without a log would write to this test's output.
    const Fd out(::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
    if (!out) throw SystemError(output, errno);
    max_fd_ = std::max(max_fd_, out.get());
    const pid_t pid = ::fork();
    if (pid != 0) return pid;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a test that is aborted leaves no router running
    ::setenv("LB_CONFIG", (folder + "/config.json").c_str(), 1);
    ::unsetenv("LB_LISTEN");
    ::dup2(out.get(), 1), ::dup2(out.get(), 2);
    std::vector<char*> args{const_cast<char*>(program_)};
    for (const auto& w : words) args.push_back(const_cast<char*>(w.c_str()));
    args.push_back(nullptr);
    ::execv(program_, args.data());
    ::_exit(127);
  }

  void start(int n) {
    auto& r = routers_[n];
    r.pid = spawn({"run", "--file", r.folder + "/walkpaddle.conf"}, r.folder, folder_ + "/log");
    r.restart_at = -1;
  }

  // ---- clients -------------------------------------------------------------------------------------------

  Task clients_of(int n) {
    Event wait(scheduler_);
    for (;;) {
      if (Fd fd = dial(Address{kLoopback, static_cast<std::uint16_t>(routers_[n].port)})) {
        Stream stream(scheduler_, outbox_, std::move(fd));
        co_await stream.writable(scheduler_.now() + 0.5);
        std::unordered_map<std::string, PendingRequest> open;
        int tag = 0;
        for (Seconds next = scheduler_.now(); !finished_;) {
          const auto result = stream.read();
          if (result == Stream::ReadResult::end) break;
          if (result == Stream::ReadResult::bytes) {
            read_answers(stream, open);
            continue;
          }
          if (scheduler_.now() >= next) {
            // Requests are sent at a fixed rate, independently of answers, up to 32 in flight.
            next += 0.004;
            if (next < scheduler_.now() - 0.1) next = scheduler_.now();
            if (open.size() < 32) send_request(stream, open, std::to_string(++tag));
            continue;
          }
          co_await stream.readable(next);
        }
        if (finished_)
          unanswered_ += static_cast<int>(
              std::ranges::count_if(open, [&](const auto& o) { return o.second.at < scheduler_.now() - 4; }));
      }
      if (finished_) co_return;
      co_await wait.wait(scheduler_.now() + 0.05);
    }
  }

  void send_request(Stream& stream, std::unordered_map<std::string, PendingRequest>& open,
                    const std::string& tag) {
    const int object =
        static_cast<int>(kObjects * uniform_random() * uniform_random());  // low numbers are more frequent
    open[tag] = {object, scheduler_.now()};
    stream.write(net::resp_array_text(
        {"EXEC", tag, "page",
         fmt::format("txn={:016x},limit=2000,item={},seg=0,bucket=1", ++requests_, object_name(object))}));
  }

  void read_answers(Stream& stream, std::unordered_map<std::string, PendingRequest>& open) {
    net::RespArray words;
    for (;;) {
      net::read_resp_array(stream.in(), 8, 1 << 20, words);
      if (words.used == 0) return;
      const auto& w = words.words;
      const auto it = open.find(std::string(w[0]));
      if (it == open.end()) {
        ++duplicate_answers_;
      } else {
        if (w[1] == "RESULT" && w.size() >= 3)
          check_version(it->second.object, parse<int>(w.back(), "version"));
        if (w[1] != "RESULT") ++rejected_;
        open.erase(it);
      }
      stream.consume(words.used);
    }
  }

  void check_version(int object, int version) {
    ++answers_;
    const Seconds now = scheduler_.now();
    int least = 0;
    for (const auto& p : purges_)
      if (const auto it = p.versions.find(object);
          it != p.versions.end() && p.accepted >= 0 && now > p.accepted + kLease + kSlack)
        least = std::max(least, it->second);
    if (version < least) ++outdated_;
    if (version < origin().version(object_name(object))) ++outdated_within_delay_;
  }

  // ---- operators and faults ------------------------------------------------------------------------------

  void issue_purge() {
    const int at = static_cast<int>(random_() % kRouters);
    const double kind = uniform_random();
    std::vector<std::string> words{"purge", "--socket", routers_[at].folder + "/control"};
    std::vector<int> covered;
    if (kind < 0.4) {
      const int tag = static_cast<int>(random_() % 7);
      for (int o = 0; o < kObjects; ++o)
        if (o % 7 == tag || o / 3 % 7 == tag) covered.push_back(o);
      words.insert(words.end(), {"tag", tag_name(tag)});
    } else if (kind < 0.6) {
      const int digit = static_cast<int>(random_() % 4);
      for (int o = 0; o < kObjects; ++o)
        if ((0x1000 + o) >> 4 == (0x100 | digit)) covered.push_back(o);
      words.insert(words.end(), {"pattern", fmt::format("0*10{}[0-9a-f]", digit)});
    } else {
      covered.push_back(static_cast<int>(kObjects * uniform_random() * uniform_random()));
      words.insert(words.end(), {"object", object_name(covered[0])});
    }
    words.insert(words.end(), {"--within", "6"});
    Purge p;
    p.issued = scheduler_.now();
    for (const int o : covered) {
      origin().change(object_name(o), tags_of(o));
      p.versions[o] = origin().version(object_name(o));
    }
    p.pid = spawn(words, routers_[at].folder, folder_ + "/operators");
    purges_.push_back(std::move(p));
  }

  void poll_processes() {
    for (auto& p : purges_)
      if (int status = 0; p.pid > 0 && ::waitpid(p.pid, &status, WNOHANG) == p.pid) {
        p.pid = -1;
        if (WIFEXITED(status) && WEXITSTATUS(status) == 0) p.accepted = scheduler_.now();
      }
    for (int n = 0; n < kRouters; ++n) {
      auto& r = routers_[n];
      if (r.restart_at >= 0 && scheduler_.now() >= r.restart_at) start(n);
      if (r.stopped_until >= 0 && scheduler_.now() >= r.stopped_until)
        ::kill(r.pid, SIGCONT), r.stopped_until = -1;
    }
  }

  void inject_fault() {
    const double what = uniform_random();
    const Seconds now = scheduler_.now();
    auto& r = routers_[random_() % kRouters];
    auto& server = *servers_[random_() % (kCacheServers + 1)];
    if (what < 0.25) {
      server.freeze(now + 3 * uniform_random());
    } else if (what < 0.45) {
      server.restart_cold();
    } else if (what < 0.6) {
      if (r.pid <= 0 || r.restart_at >= 0) return;
      ::kill(r.pid, SIGKILL), ::waitpid(r.pid, nullptr, 0);
      r.pid = -1, r.restart_at = now + uniform_random(), r.stopped_until = -1;
    } else if (what < 0.75) {
      if (r.pid <= 0) return;
      ::kill(r.pid, SIGSTOP), r.stopped_until = now + 2.5 * uniform_random();
    } else {
      auto it = relays_.begin();
      std::advance(it, static_cast<int>(random_() % relays_.size()));
      it->second->cut(now + 4 * uniform_random());
    }
  }

  Task issue_purges_and_faults() {
    Event wait(scheduler_);
    started_ = scheduler_.now();
    co_await wait.wait(started_ + 1.5);
    Seconds next_fault = scheduler_.now(), next_purge = scheduler_.now();
    while (scheduler_.now() < started_ + duration_) {
      const Seconds now = scheduler_.now();
      poll_processes();
      if (now >= next_fault) inject_fault(), next_fault = now + 0.6 * uniform_random();
      if (now >= next_purge) issue_purge(), next_purge = now + 0.8 * uniform_random();
      servers_[0]->set_ignores_purges(now > started_ + duration_ * 0.3 && now < started_ + duration_ * 0.6);
      co_await wait.wait(now + 0.01);
    }
    // After the faults: processes continue, and all routers and cache servers must confirm a last purge.
    for (auto& r : routers_)
      if (r.stopped_until >= 0) r.stopped_until = scheduler_.now();
    const Seconds healed = scheduler_.now();
    while (scheduler_.now() < healed + 3) {
      poll_processes();
      co_await wait.wait(scheduler_.now() + 0.01);
    }
    const pid_t last = spawn({"purge", "--socket", routers_[0].folder + "/control", "tag", "contract1",
                              "--wait", "--within", "20"},
                             routers_[0].folder, folder_ + "/operators");
    int status = 0;
    while (::waitpid(last, &status, WNOHANG) == 0) {
      poll_processes();
      co_await wait.wait(scheduler_.now() + 0.01);
    }
    confirmed_ = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    while (std::ranges::any_of(purges_, [](const Purge& p) { return p.pid > 0; })) {
      poll_processes();
      co_await wait.wait(scheduler_.now() + 0.01);
    }
    finished_ = true;
    co_await wait.wait(scheduler_.now() + 0.2);
    scheduler_.stop();
  }

  // Polls the admin socket of each router until it holds the purge.
  Task measure_purges_task(int count) {
    Event wait(scheduler_);
    started_ = scheduler_.now();
    co_await wait.wait(started_ + 2);
    std::vector<std::unique_ptr<Stream>> sockets;
    for (const auto& r : routers_)
      sockets.push_back(std::make_unique<Stream>(scheduler_, outbox_, dial(r.folder + "/control")));
    const auto line_of = [](Stream& s) {
      const auto at = s.in().find('\n');
      if (at == std::string_view::npos) return std::string();
      std::string line(s.in().substr(0, at));
      s.consume(at + 1);
      return line;
    };
    for (int n = 0; n < count; ++n) {
      const int at = n % kRouters;
      const Seconds issued = scheduler_.now();
      std::string number;
      sockets[at]->write(fmt::format("{{\"do\":\"purge\",\"kind\":\"object\",\"what\":\"{}\"}}\n",
                                     object_name(n % kObjects)));
      bool held = false;
      for (int r = at; !held;) {
        std::string line;
        while ((line = line_of(*sockets[r])).empty()) {
          if (sockets[r]->read() == Stream::ReadResult::nothing) co_await sockets[r]->readable();
        }
        const bool there = line.find("\"ok\":true") != std::string::npos;
        if (number.empty()) {
          const std::string key = "\"issuer\":\"";
          const auto from = line.find(key) + key.size();
          number = line.substr(from, line.find('"', from) - from);
        }
        if (there && (r = (r + 1) % kRouters) == at) held = true;
        if (!held) sockets[r]->write(fmt::format("{{\"do\":\"status\",\"number\":\"{}\"}}\n", number));
      }
      replication_times_.push_back(scheduler_.now() - issued);
      co_await wait.wait(scheduler_.now() + 0.02);
    }
    finished_ = true;
    co_await wait.wait(scheduler_.now() + 0.1);
    scheduler_.stop();
  }

  // Measures fills and reads of the origin per second, with all links up and with every router cut off.
  Task measure_partition_task() {
    constexpr Seconds kPhase = 8;
    Event wait(scheduler_);
    co_await wait.wait(scheduler_.now() + 3);
    for (const bool cut : {false, true, false}) {
      for (const auto& [pair, relay] : relays_) relay->cut(cut ? scheduler_.now() + kPhase : 0);
      const auto fills = [&] {
        int count = 0;
        for (const auto& s : servers_) count += s->counts().fills;
        return count;
      };
      const int fills_before = fills(), reads_before = origin().counts().origin_reads, answers = answers_,
                rejected = rejected_;
      co_await wait.wait(scheduler_.now() + kPhase);
      std::printf(
          "%s: %.0f answers per second, %d rejected, %.1f fills and %.1f reads of the origin per second\n",
          cut ? "every router cut off" : "all links up", (answers_ - answers) / kPhase, rejected_ - rejected,
          (fills() - fills_before) / kPhase, (origin().counts().origin_reads - reads_before) / kPhase);
    }
    finished_ = true;
    co_await wait.wait(scheduler_.now() + 0.1);
    scheduler_.stop();
  }

  bool report() {
    const auto accepted = std::ranges::count_if(purges_, [](const Purge& p) { return p.accepted >= 0; });
    std::ifstream log(folder_ + "/log");
    int discarded = 0;
    for (std::string line; std::getline(log, line);) discarded += line.find(" old: ") != std::string::npos;
    int fills = 0, joined = 0;
    for (const auto& s : servers_) fills += s->counts().fills, joined += s->counts().joined;
    std::fprintf(
        stderr,
        "answers %d, outdated %d, duplicate %d, missing %d, rejected %d, purges %zu accepted %td, "
        "outdated within the delay %d, fills %d, joined %d, copies discarded %d, highest descriptor %d\n",
        answers_, outdated_, duplicate_answers_, unanswered_, rejected_, purges_.size(), accepted,
        outdated_within_delay_, fills, joined, discarded, max_fd_);
    std::printf("answers: %s\n", answers_ > 100 * duration_ ? "enough" : "TOO FEW");
    std::printf("after the promised delay: %s\n", outdated_ == 0 ? "no outdated copy" : "OUTDATED COPIES");
    std::printf("answers per request: %s\n",
                duplicate_answers_ == 0 && unanswered_ == 0 ? "one" : "DUPLICATE OR MISSING");
    std::printf("purges: %s\n", accepted > static_cast<std::ptrdiff_t>(purges_.size()) / 3
                                    ? "more than a third accepted"
                                    : "TOO FEW ACCEPTED");
    std::printf("a cache server that ignores purges: %s\n",
                discarded > 0 ? "outdated copies discarded and logged" : "NOT DETECTED");
    std::printf("fills in progress: %s\n", joined > 0 ? "joined" : "NEVER JOINED");
    std::printf("after the faults: %s\n", confirmed_
                                              ? "every router and cache server has confirmed the last purge"
                                              : "NOT CONFIRMED BY ALL");
    return outdated_ == 0 && duplicate_answers_ == 0 && unanswered_ == 0;
  }

  std::mt19937 random_;
  const Seconds duration_;
  Scheduler scheduler_;
  Outbox outbox_;
  const char* program_ = nullptr;
  fakes::Ports ports_;
  std::string folder_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<Router> routers_;
  std::map<std::pair<int, int>, std::unique_ptr<Relay>> relays_;
  std::vector<Purge> purges_;
  std::vector<Seconds> replication_times_;
  std::uint64_t requests_ = 0;
  Seconds started_ = 0;
  int answers_ = 0, outdated_ = 0, duplicate_answers_ = 0, unanswered_ = 0, rejected_ = 0,
      outdated_within_delay_ = 0;
  int max_fd_ = 0;
  bool finished_ = false, confirmed_ = false;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc > 1 && std::strcmp(argv[1], "measure") == 0) return Scenario(1, 0).measure(300), 0;
  if (argc > 1 && std::strcmp(argv[1], "cut") == 0) return Scenario(1, 0).measure_partition(), 0;
  return Scenario(argc > 1 ? static_cast<unsigned>(std::atoi(argv[1])) : 1,
                  argc > 2 ? std::atof(argv[2]) : 20)
                 .run()
             ? 0
             : 1;
}
