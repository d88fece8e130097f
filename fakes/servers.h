// Fake cache servers, parents and origins for tests, which speak the platform's protocol, report ages and
// tags and support purges; and a relay for the links between routers. Both can fail on demand. They run on
// loopback sockets and the project's scheduler, all in the process of the test. The body of an answer is the
// version of the object in decimal.
#pragma once

#include <re2/re2.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "io/listener.h"
#include "io/stream.h"

namespace walkpaddle::fakes {

// The local port of a socket.
int local_port(int fd);

// Assigns ports, free for TCP and UDP, on which processes can listen. They are below the kernel's range for
// outgoing connections (from 32768), so that no outgoing connection of another process occupies one while a
// process restarts. A test process reserves blocks of ports by listening on the first port of each for its
// lifetime, so that tests that run at the same time share no port.
class Ports {
 public:
  int take();

 private:
  std::vector<Fd> block_sockets_;
  int next_ = 0, end_ = 0;
};

// One version of an object.
struct Copy {
  int version = 0;
  Seconds made_at = 0;  // when it was read from the origin
  std::vector<std::string> tags;
};

// A fake cache server, parent or origin.
class Server {
 public:
  enum class Kind { cache, parent, origin };
  struct Options {
    Seconds hit = 0.001,
            fill = 0.01;          // time before an answer or a fill; time to the source of a fill, each way
    bool ignores_purges = false;  // confirms purges, but serves purged and expired copies
    bool supports_purges = true;
    bool reports_tags = true;
  };
  struct Counts {
    int served = 0, hits = 0, fills = 0, joined = 0, origin_reads = 0, purges_confirmed = 0,
        cursor_requests = 0;
  };
  Server(Scheduler& scheduler, Outbox& outbox, std::string id, Kind kind, const Options& options);

  const std::string& id() const { return id_; }
  int port() const { return port_; }
  // The servers that fills can come from, found by the id that a request names.
  void set_sources(const std::vector<Server*>& all) { all_ = all; }
  // Creates a new version of an object. Called on the origin.
  void change(const std::string& object, std::vector<std::string> tags);
  int version(const std::string& object) const;
  // Suspends reading and answering until a time on the scheduler's clock.
  void freeze(Seconds until) { frozen_until_ = until; }
  // Simulates a restart: connections end; purges and, except at the origin, copies are forgotten.
  void restart_cold();
  void set_ignores_purges(bool ignores) { options_.ignores_purges = ignores; }
  const Counts& counts() const { return counts_; }

 private:
  struct Connection {
    explicit Connection(Scheduler& s, Outbox& o, Fd fd) : stream(s, o, std::move(fd)) {}
    Stream stream;
  };
  // Copies made before these times are purged, whether cached here or received from a source.
  struct PurgeBounds {
    std::map<std::string, Seconds> objects, tags;
    std::vector<std::pair<std::unique_ptr<RE2>, Seconds>> patterns;
    Seconds all = 0;
    std::map<std::string, std::string> cursors;  // last confirmed purge, by the router's run
  };
  Task accept_all();
  Task connection(Fd fd);
  Task serve(std::shared_ptr<Connection> c, std::string id, std::string fields);
  void handle_purges(Connection& c, const std::vector<std::string_view>& words);
  bool is_purged(const std::string& object, const Copy& copy) const;
  bool is_fresh(const std::string& object, const Copy& copy, Seconds max_age) const;
  const Copy* find_copy(const std::string& object) const;

  Scheduler& scheduler_;
  Outbox& outbox_;
  const std::string id_;
  const Kind kind_;
  Options options_;
  Listener listener_;
  int port_ = 0;
  std::vector<Server*> all_;
  std::map<std::string, Copy> copies_;
  std::map<std::string, std::shared_ptr<Copy>> fills_in_progress_;  // by object; version 0 until filled
  PurgeBounds purge_bounds_;
  Seconds frozen_until_ = 0;
  std::uint64_t incarnation_ = 0;
  std::set<std::shared_ptr<Connection>> open_;
  Counts counts_;
};

// Relays TCP connections from a port of its own to another port.
class Relay {
 public:
  Relay(Scheduler& scheduler, Outbox& outbox, int target_port);
  int port() const { return port_; }
  // Closes all connections and accepts none until a time on the scheduler's clock.
  void cut(Seconds until);
  std::uint64_t bytes_passed() const { return bytes_passed_; }

 private:
  Task accept_all();
  Task forward(std::shared_ptr<Stream> from, std::shared_ptr<Stream> to);

  Scheduler& scheduler_;
  Outbox& outbox_;
  Listener listener_;
  int port_ = 0, target_port_ = 0;
  Seconds cut_until_ = 0;
  std::uint64_t bytes_passed_ = 0;
  std::set<std::shared_ptr<Stream>> open_;
};

}  // namespace walkpaddle::fakes
