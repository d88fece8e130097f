// Forwards the datagrams between a fleet's routers. It has a socket for each router, to which the others send
// what is for that router; the source port identifies the sender. Datagrams can be lost, delayed and
// duplicated at random (seeded), and blocked for each pair of routers and direction. It runs on a thread and
// a scheduler of its own, so that other work of the test's process delays no datagram.
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
    Seconds delay = 0;           // maximum of a uniformly distributed delay, which reorders datagrams
  };
  explicit Switch(unsigned seed);
  ~Switch();
  Switch(const Switch&) = delete;
  Switch& operator=(const Switch&) = delete;
  // Adds a router before start(); returns the port that the other routers send to.
  int add(int router_port);
  void start();
  void faults(const Faults& faults);
  void cut(int from, int to, Seconds until);        // blocks one direction until a Unix time
  std::uint64_t passed() const { return passed_; }  // bytes forwarded

 private:
  struct Router {
    Router(Scheduler& s, Fd fd) : socket(s, std::move(fd)) {}
    Listener socket;
    int port = 0;
  };
  struct Delayed {
    Seconds at;
    int to;
    std::string bytes;
    bool operator<(const Delayed& other) const { return at > other.at; }
  };
  Task receive_all(int router);
  Task wait_for_stop();
  Task deliver_delayed();
  void forward(int from, int to, const std::string& bytes);
  void deliver(int to, const std::string& bytes);

  Scheduler scheduler_;
  std::mt19937 chance_;
  std::mutex faults_mutex_;  // guards faults_ and cut_, which other threads set
  Faults faults_;
  std::map<std::pair<int, int>, Seconds> cut_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::map<int, int> by_port_;
  std::priority_queue<Delayed> delayed_;
  Event delayed_due_;
  Fd stop_event_;
  std::unique_ptr<Listener> stop_listener_;
  std::atomic<std::uint64_t> passed_ = 0;
  std::thread thread_;
};

}  // namespace walkpaddle::testbed
