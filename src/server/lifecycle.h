/// \file
/// The phases of a server, from its start to the end of its process.
///
///     starting --> serving --> draining ------> stopped     SIGTERM or SIGINT: graceful shutdown
///                     |
///                     +------> handing_over                 a rollout of a release: hot restart
///
/// Everything runs on the scheduler's one thread.
#pragma once

#include <string_view>

#include "config/platform_config.h"
#include "io/fd.h"
#include "io/log.h"
#include "io/scheduler.h"
#include "net/client_listener.h"
#include "net/discovery_client.h"
#include "net/request_dispatcher.h"
#include "server/metrics.h"
#include "server/reload.h"
#include "server/signals.h"
#include "server/warm_start.h"

namespace walkpaddle::server {

/// Where a server stands between its start and its end.
enum class Phase {
  starting,      ///< nothing that was known at the start is applied yet
  serving,       ///< takes clients and requests
  draining,      ///< asked to end: still takes what comes, and ends once nothing is open
  handing_over,  ///< its successor has the listener; what is open here ends
  stopped        ///< answers nothing any more
};

/// As it stands in the log, whose readers know handing_over as "yielding".
constexpr std::string_view to_string(Phase phase) {
  switch (phase) {
    case Phase::starting:
      return "starting";
    case Phase::serving:
      return "serving";
    case Phase::draining:
      return "draining";
    case Phase::handing_over:
      return "yielding";
    case Phase::stopped:
      return "stopped";
  }
  return {};
}

/// What a client's ALIVE is answered with.
constexpr std::string_view health_status(Phase phase) {
  switch (phase) {
    case Phase::starting:
      return "UNREADY";
    case Phase::serving:
      return "READY";
    case Phase::draining:
      return "DRAIN";
    case Phase::handing_over:
      return "READY";
    case Phase::stopped:
      return "DRAIN";
  }
  return {};
}

/// What the lifecycle asks of the part that carries rollouts out.
class RolloutControl {
 public:
  /// The operators' documents may have changed: SIGHUP.
  virtual void reload_documents() = 0;
  /// Whether another program is to follow in this process.
  virtual bool successor_requested() const = 0;
  /// The process is to end instead.
  virtual void cancel_successor() = 0;
  /// The open listener, on which the successor serves.
  virtual void take_listener(Fd listener) = 0;

 protected:
  ~RolloutControl() = default;
};

/// The phases as one state machine: start(), then by signals and by what RolloutControl asks. It ends by
/// stopping the scheduler. All that it is given must outlive the scheduler's tasks.
class Lifecycle {
 public:
  /// The parts that a phase's beginning and end work on.
  struct Parts {
    Scheduler& scheduler;                  ///< whose tasks they are
    Log& log;                              ///< a line for each phase
    const config::PlatformConfig& config;  ///< what was known at the start; deadlines
    Signals& signals;                      ///< that end and reload
    net::RequestDispatcher& dispatcher;    ///< requests that are open
    net::DiscoveryClient& discovery;       ///< followed from the start on
    net::ClientListener& client_listener;  ///< told the phase; closed at the end
    ConfigReload& reload;                  ///< at SIGHUP
    WarmStart& warm_start;                 ///< restored at the start, written at the end
    const Metrics& metrics;                ///< logged at the end
  };
  /// Nothing happens before start().
  explicit Lifecycle(const Parts& parts) : parts_(parts) {}

  /// Starts the server's own task: starting and serving happen at once, the rest as it is asked for.
  void start(RolloutControl& rollouts) { parts_.scheduler.start(run(rollouts)); }
  /// The phase that it is in.
  Phase phase() const { return phase_; }

 private:
  Task run(RolloutControl& rollouts);
  Task shut_down();
  Task hand_over(RolloutControl& rollouts);
  void load_initial_state();
  void enter(Phase phase);
  bool answers_pending() const;
  Seconds drain_limit() const;
  void stop_answering();

  const Parts parts_;
  Phase phase_ = Phase::starting;
};

}  // namespace walkpaddle::server
