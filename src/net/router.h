// The router: its parts and its phases, from start to exit.
#pragma once

#include <functional>

#include "net/caches.h"
#include "net/clients.h"
#include "net/config.h"
#include "net/desk.h"
#include "net/list.h"
#include "net/log.h"

namespace walkpaddle::net {

class Router {
 public:
  // `read_again` gives the configuration as it now stands, or is Malformed.
  Router(Config config, std::function<Config()> read_again, Log& log);
  ~Router();
  void run();  // returns once stopped

 private:
  enum class Phase { starting, serving, draining, stopped };
  struct Signals final : Scheduler::Watcher {
    explicit Signals(Scheduler& scheduler);
    ~Signals();
    void on_ready(std::uint32_t) override { came.set(); }
    int take();  // the next that came, 0 for none
    Scheduler& scheduler;
    Fd fd;
    Event came;
  };

  // The descriptors that the platform allows, by who may hold them: usual clients hold a third at most, so
  // half leaves room for those that stay; cache servers have the rest.
  struct Share {
    explicit Share(int sockets);
    std::size_t clients, caches;
  };

  void enter(Phase phase);
  void reload();
  Task live();

  Log& log_;
  const Config config_;
  const std::function<Config()> read_again_;
  Phase phase_ = Phase::starting;
  const Share share_;
  Scheduler scheduler_;
  Signals signals_;
  Desk desk_;  // before the outbox: what a turn decides goes out at its end
  Outbox outbox_;
  Caches caches_;
  List list_;
  Clients clients_;
};

}  // namespace walkpaddle::net
