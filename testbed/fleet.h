// A fleet of `walkpaddle` processes on loopback, with fake cache servers, a parent and an origin. Each router
// has a discovery server of its own and open-loop clients. Datagrams between routers pass through a switch
// that can lose, delay, duplicate and block them. Tests can cut links, stall routers (SIGSTOP, SIGCONT), kill
// them (SIGKILL) and start them again. Everything but the routers runs in the test's process; the destructor
// kills the routers and removes their files.
#pragma once

#include <sys/types.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fakes/discovery_frames.h"
#include "fakes/servers.h"
#include "io/stream.h"
#include "testbed/switch.h"

namespace walkpaddle::testbed {

class Fleet {
 public:
  struct Setup {
    int routers = 3, cache_servers = 4, objects = 60;
    bool share = true;  // routers replicate their state: they have the section `fleet`
    unsigned seed = 1;
    bool clients = true;
    double rate = 50;    // requests per second from clients to each router, at most 50 per connection
    bool store = false;  // each router keeps a store on disk
    fakes::Server::Options habits{};  // of the servers
    // Rollouts: each router has a folder for change documents, and routers that exit are started again.
    bool changes = false;
    int sites = 1, without = -1;  // without: a router that takes no part in rollouts
    std::string protocol{};       // folder of what releases publish
    std::string fault{};          // WALKPADDLE_FAULT of all routers
  };
  struct Counts {
    int asked = 0, answered = 0, refused = 0, unsent = 0;  // unsent: 32 were outstanding on the connection
  };

  explicit Fleet(const Setup& setup);  // the environment's WALKPADDLE is the program
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  Scheduler& scheduler() { return scheduler_; }
  void start_all();
  void start(int router);
  void kill(int router);
  void stall(int router, bool stalled);
  // Writes a change document to a router's folder and sends it SIGHUP.
  void write_document(int router, const std::string& name, const std::string& text);
  void program(int router, std::string path) {
    routers_[static_cast<std::size_t>(router)].program = std::move(path);
  }
  int starts(int router) const { return routers_[static_cast<std::size_t>(router)].starts; }
  void cut(int a, int b, Seconds until);  // blocks both directions until a Unix time; 0 unblocks them
  Switch& links() { return switch_; }
  using AnnouncedState = fakes::AnnouncedState;
  // Publishes the state of a cache server to one router. `started`: Unix time of its start, 0: long ago.
  void publish_state(int router, int server, AnnouncedState state, Seconds started = 0);

  int served(int server) const { return servers_[static_cast<std::size_t>(server)]->counts().served; }
  void clients(int router, double rate);  // adds clients
  const Counts& counts(int router) const { return routers_[static_cast<std::size_t>(router)].counts; }
  bool running(int router) const { return routers_[static_cast<std::size_t>(router)].pid > 0; }
  std::string log_of(int router) const;        // its output so far, over all its starts
  std::string fleet_status(int router) const;  // output of `walkpaddle fleet`
  std::uint64_t bytes_between_routers() const { return switch_.passed(); }
  Seconds cpu_of(int router) const;  // processor time of its current process

 private:
  struct Discovery {
    Fd listener;
    int port = 0;
    std::unique_ptr<Stream> stream;
    std::vector<std::string> events;  // frames, numbered from 2; a router resumes after the last that it has
  };
  struct Router {
    int port = 0, fleet_port = 0, peer_port = 0;  // peer_port: the switch's port for this router
    pid_t pid = -1;
    std::string folder, program;  // program: empty for WALKPADDLE's
    int starts = 0;
    Discovery discovery;
    Counts counts;
  };
  void write_files(int n);
  std::string site_of(int n) const;
  void send_event(int router, int kind, const std::string& payload);
  std::string member_payload(int server, AnnouncedState state, Seconds started) const;
  Task serve_discovery(int router);
  Task supervise();
  Task run_clients(int router, double rate);

  const Setup setup_;
  std::mt19937 chance_;
  const char* program_;
  fakes::Ports ports_;
  std::string folder_;
  Scheduler scheduler_;
  Outbox outbox_;
  std::vector<std::unique_ptr<fakes::Server>> servers_;  // the cache servers, then parent and origin
  std::vector<Router> routers_;
  Switch switch_;
  std::uint64_t requests_ = 0;
};

}  // namespace walkpaddle::testbed
