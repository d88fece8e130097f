// The router: its parts and its phases, from start to exit.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config/platform_config.h"
#include "control/file.h"
#include "control/operators.h"
#include "fleet/keeper.h"
#include "fleet/links.h"
#include "fleet/share.h"
#include "io/log.h"
#include "net/client_listener.h"
#include "net/discovery_client.h"
#include "net/purge_notifier.h"
#include "net/request_dispatcher.h"
#include "net/upstream_pool.h"

namespace walkpaddle::net {

// By the environment, from a program to the one that takes its place: what it is, whom it follows, which
// settings stand beyond the platform's.
constexpr const char *kGeneration = "WALKPADDLE_GENERATION", *kEarlier = "WALKPADDLE_EARLIER",
                     *kSettings = "WALKPADDLE_SETTINGS";

class Router {
 public:
  // `read_again` gives the configuration as it now stands, or is InputError.
  // What the operator's file switches on stands beside what the platform tells.
  Router(Config config, const control::File& file, std::function<Config()> read_again, Log& log);
  ~Router();
  // They wait until a router takes them. To be called first of all: until then a word to reload that crosses
  // a start would end the program.
  static void hold_signals();
  void run();  // returns once stopped
  // A program that is to take this process's place, once run() has returned: listening on `listener`.
  struct Next {
    rollout::GenerationMove move;
    std::string program, settings;  // its path; the lines that stand beyond the platform's
    Fd listener;
  };
  std::optional<Next> take_next() { return std::exchange(next_, std::nullopt); }

  // What a further front stands on; it lives as long as the router.
  struct Parts {
    Scheduler& scheduler;
    Outbox& outbox;
    Log& log;
    RequestDispatcher& dispatcher;
    UpstreamPool& caches;
    const Settings& settings;
  };
  void add(const std::function<std::shared_ptr<void>(const Parts&)>& front) {
    fronts_.push_back(front({scheduler_, outbox_, log_, dispatcher_, upstream_, config_.settings}));
  }

 private:
  enum class Phase { starting, serving, draining, yielding, stopped };  // yielding: to the next program
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
    Share(int sockets, const control::File& file);
    std::size_t clients, caches;
  };

  void enter(Phase phase);
  bool reload();        // false: the file cannot be used now
  void take_over();     // what the last start learnt, where a file is named
  void leave_learnt();  // for the next
  Task live();
  fleet::Belief belief() const;  // what the module has learnt, for others to keep
  void take_back(const fleet::Belief& belief);
  fleet::Purges::Setup purges_setup();
  void pull_fleet();
  std::optional<rollout::RolloutCoordinator::Setup> changes_setup();
  void read_documents();
  void carry_out(const rollout::GenerationMove& move);
  void became_ready();  // the start of a program that is tried is over
  Task make_way();      // the end of this one, for the next
  rollout::RolloutMetrics counted();
  std::vector<std::pair<std::string, std::uint64_t>> counts();  // by name, of what the guard counted
  void tell_counters();

  Log& log_;
  const Config config_;
  const control::File file_;
  const std::function<Config()> read_again_;
  Phase phase_ = Phase::starting;
  const Share share_;
  Scheduler scheduler_;
  Signals signals_;
  std::unique_ptr<store::Store> store_;
  std::string run_;  // of this router's store, or of this start
  fleet::Purges purges_;
  Seconds trim_at_ = 0;
  RequestDispatcher dispatcher_;  // before the outbox: what a turn decides goes out at its end
  struct AtTurnsEnd {
    AtTurnsEnd(Scheduler& scheduler, std::function<void()> call) { scheduler.at_turns_end(std::move(call)); }
  } fleet_at_turns_end_;
  Outbox outbox_;
  UpstreamPool upstream_;
  DiscoveryClient list_;
  ClientListener client_listener_;
  std::unique_ptr<fleet::Keeper> keeper_;
  std::unique_ptr<fleet::Links> links_;
  std::unique_ptr<fleet::Share> shared_;
  std::unique_ptr<PurgeNotifier> purge_notifier_;
  std::unique_ptr<control::Operators> operators_;
  std::vector<std::shared_ptr<void>> fronts_;
  std::optional<Next> next_;
  std::map<std::string, std::string> generations_;  // settings beyond the platform's, as lines, by generation
  std::string settings_lines_;                      // of the present one
  Seconds load_at_ = 0;
  bool ready_ = false;
};

}  // namespace walkpaddle::net
