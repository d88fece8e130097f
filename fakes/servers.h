// Stand-ins for boxes, parents and the origin that speak the platform's protocol, with ages, tags and purges
// told, and for the links between routers; with the failures that the tests need. Real sockets on loopback,
// the project's own scheduler, one process for all. An answer's body is its version in digits.
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

int local_port(int fd);

// Ports for processes to listen on, TCP and UDP, below the kernel's range for outgoing connections (32768
// on), so that no connection of another takes one between two starts. They come in blocks; a test process
// owns its blocks by listening on their first port for as long as it lives, so that two tests side by side
// share none.
class Ports {
 public:
  int take();

 private:
  std::vector<Fd> claims_;
  int next_ = 0, end_ = 0;
};

struct Copy {
  int version = 0;
  Seconds made = 0;
  std::vector<std::string> tags;
};

class Server {
 public:
  enum class Kind { cache, parent, origin };
  struct Options {
    Seconds hit = 0.001, fill = 0.01;  // to answer; to fetch from a source, each way
    bool lies = false;                 // confirms purges and answers from its copies all the same
    bool takes_purges = true;
    bool tells_tags = true;
  };
  struct Counts {
    int served = 0, hits = 0, fills = 0, joined = 0, read = 0, confirmed = 0, asked_cursor = 0;
  };
  Server(Scheduler& scheduler, Outbox& outbox, std::string id, Kind kind, const Options& habits);

  const std::string& id() const { return id_; }
  int port() const { return port_; }
  void set_sources(const std::vector<Server*>& all) { all_ = all; }
  void change(const std::string& object, std::vector<std::string> tags);  // at the origin: a new version
  int version(const std::string& object) const;
  void freeze(Seconds until) { frozen_until_ = until; }
  void restart_cold();  // its connections end, its copies and what it knew of purges are gone
  void set_ignores_purges(bool lies) { habits_.lies = lies; }
  const Counts& counts() const { return counts_; }

 private:
  struct Connection {
    explicit Connection(Scheduler& s, Outbox& o, Fd fd) : stream(s, o, std::move(fd)) {}
    Stream stream;
  };
  // What it was told to drop; it takes no older copy from a source either.
  struct Drops {
    std::map<std::string, Seconds> objects, tags;
    std::vector<std::pair<std::unique_ptr<RE2>, Seconds>> patterns;
    Seconds all = 0;
    std::map<std::string, std::string> cursors;  // by router's run
  };
  Task accept_all();
  Task connection(Fd fd);
  Task serve(std::shared_ptr<Connection> c, std::string id, std::string fields);
  void purges(Connection& c, const std::vector<std::string_view>& words);
  bool dropped(const std::string& object, const Copy& copy) const;
  bool good(const std::string& object, const Copy& copy, Seconds oldest) const;
  const Copy* held(const std::string& object) const;

  Scheduler& scheduler_;
  Outbox& outbox_;
  const std::string id_;
  const Kind kind_;
  Options habits_;
  Listener listener_;
  int port_ = 0;
  std::vector<Server*> all_;
  std::map<std::string, Copy> copies_;
  std::map<std::string, std::shared_ptr<Copy>> filling_;  // by object; version 0 until it is there
  Drops drops_;
  Seconds frozen_until_ = 0;
  std::uint64_t starts_ = 0;
  std::set<std::shared_ptr<Connection>> open_;
  Counts counts_;
};

// Passes bytes on between a port of its own and another; can be cut, which ends what is open and refuses
// more.
class Relay {
 public:
  Relay(Scheduler& scheduler, Outbox& outbox, int to);
  int port() const { return port_; }
  void cut(Seconds until);
  std::uint64_t passed() const { return passed_; }

 private:
  Task accept_all();
  Task pass(std::shared_ptr<Stream> from, std::shared_ptr<Stream> to);

  Scheduler& scheduler_;
  Outbox& outbox_;
  Listener listener_;
  int port_ = 0, to_ = 0;
  Seconds cut_until_ = 0;
  std::uint64_t passed_ = 0;
  std::set<std::shared_ptr<Stream>> open_;
};

}  // namespace walkpaddle::fakes
