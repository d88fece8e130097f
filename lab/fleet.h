// The laboratory's fleet: routers as processes of `walkpaddle` on loopback, among stand-in cache servers, a
// parent and an origin, each router with an event bus of its own, all datagrams between routers through a
// switch that loses, delays, doubles and cuts; clients at every router. Faults on call: a cut link, a stalled
// router (SIGSTOP, SIGCONT), a crash (SIGKILL) and a start again. All in one process
// on the project's scheduler, bounded in count and time; what it started it ends.
#pragma once

#include <sys/types.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fakes/discovery_frames.h"
#include "fakes/servers.h"
#include "io/stream.h"
#include "lab/switch.h"

namespace walkpaddle::lab {

class Fleet {
 public:
  struct Setup {
    int routers = 3, boxes = 4, objects = 60;
    bool share = true;  // what is known of the servers goes between routers
    unsigned seed = 1;
    bool clients = true;
    double rate = 50;    // txns a second that clients bring to each router, over a connection for each 50
    bool store = false;  // each router's facts last on disk
    fakes::Server::Options habits{};  // of the servers
    // Rolling changes: documents in a folder of each router; who dies by itself is started again.
    bool changes = false;
    int sites = 1, without = -1;  // without: a router that takes no part
    std::string protocol{};       // what releases publish
    std::string fault{};          // that a faulty program plants
  };
  struct Counts {
    int asked = 0, answered = 0, refused = 0, unsent = 0;  // unsent: too many were open
  };

  explicit Fleet(const Setup& setup);  // WALKPADDLE names the program
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  Scheduler& scheduler() { return scheduler_; }
  void start_all();
  // Faults.
  void start(int router);
  void kill(int router);
  void stall(int router, bool stalled);
  // A document in the folder of one router, and SIGHUP to it.
  void document(int router, const std::string& name, const std::string& text);
  void program(int router, std::string path) {
    routers_[static_cast<std::size_t>(router)].program = std::move(path);
  }
  int starts(int router) const { return routers_[static_cast<std::size_t>(router)].starts; }
  void cut(int a, int b, Seconds until);  // both ways between two routers; 0 heals it
  Switch& links() { return switch_; }
  // What one router's bus says: a box drains, is ready, is gone, or started anew at `started` (Unix time).
  using AnnouncedState = fakes::AnnouncedState;
  void says(int router, int box, AnnouncedState state, Seconds started = 0);

  int served(int box) const { return boxes_[static_cast<std::size_t>(box)]->counts().served; }
  void clients(int router, double rate);  // more of them
  const Counts& counts(int router) const { return routers_[static_cast<std::size_t>(router)].counts; }
  bool running(int router) const { return routers_[static_cast<std::size_t>(router)].pid > 0; }
  std::string log_of(int router) const;                               // its standard error, as far as it came
  std::string word_of(int router) const;                              // what `walkpaddle fleet` says of it
  std::uint64_t between_routers() const { return switch_.passed(); }  // bytes
  Seconds cpu_of(int router) const;                                   // processor time of its present process

 private:
  struct Bus {
    Fd listener;
    int port = 0;
    std::unique_ptr<Stream> stream;
    std::vector<std::string> events;  // frames from number 2 on: a router asks from the last it holds
  };
  struct Router {
    int port = 0, fleet_port = 0, peer_port = 0;  // peer_port: of the switch, for it
    pid_t pid = -1;
    std::string folder, program;  // program: in place of WALKPADDLE's
    int starts = 0;
    Bus bus;
    Counts counts;
  };
  void write_files(int n);
  std::string site_of(int n) const;
  void frame(int router, int kind, const std::string& payload);
  std::string member(int box, AnnouncedState state, Seconds started) const;
  Task follow(int router);
  Task supervise();
  Task clients_of(int router, double rate);

  const Setup setup_;
  std::mt19937 chance_;
  const char* program_;
  fakes::Ports ports_;
  std::string folder_;
  Scheduler scheduler_;
  Outbox outbox_;
  std::vector<std::unique_ptr<fakes::Server>> boxes_;  // the boxes, then parent and origin
  std::vector<Router> routers_;
  Switch switch_;
  std::uint64_t txns_ = 0;
};

}  // namespace walkpaddle::lab
