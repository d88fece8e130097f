// The datagrams between a fleet's routers pass here: a socket for each router, to which all others send what
// is for it, and a fault for each pair and direction: lost, delayed, sent twice, cut for a time. Who sent is
// told by the port it came from. Chance is seeded. It runs on a thread and a scheduler of its own, so that
// what the laboratory does meanwhile delays no datagram.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "io/listener.h"
#include "io/stream.h"

namespace walkpaddle::testbed {

class Switch {
 public:
  struct Faults {
    double lost = 0, twice = 0;  // shares of all datagrams
    Seconds delay = 0;           // by chance up to this: so that they overtake each other
  };
  explicit Switch(unsigned seed);
  ~Switch();
  Switch(const Switch&) = delete;
  Switch& operator=(const Switch&) = delete;
  int add(int router_port);  // before start(); the port that others send to for this router
  void start();
  void faults(const Faults& faults);
  void cut(int from, int to, Seconds until);        // one way, until this Unix time
  std::uint64_t passed() const { return passed_; }  // bytes

 private:
  struct Router {
    Router(Scheduler& s, Fd fd) : socket(s, std::move(fd)) {}
    Listener socket;
    int port = 0;
  };
  struct Late {
    Seconds at;
    int to;
    std::string bytes;
    bool operator<(const Late& other) const { return at > other.at; }
  };
  Task take_all(int router);
  Task end();
  Task deliver_late();
  void pass(int from, int to, const std::string& bytes);
  void deliver(int to, const std::string& bytes);

  Scheduler scheduler_;
  std::mt19937 chance_;
  std::mutex told_;  // guards what others set: faults and cuts
  Faults faults_;
  std::map<std::pair<int, int>, Seconds> cut_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::map<int, int> by_port_;
  std::priority_queue<Late> late_;
  Event due_;
  Fd ending_;
  std::unique_ptr<Listener> end_;
  std::atomic<std::uint64_t> passed_ = 0;
  std::thread thread_;
};

}  // namespace walkpaddle::testbed
