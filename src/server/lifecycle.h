/// \file
/// The phases of the server, from start to exit.
///
///     starting --> serving --> draining ------> stopped     on SIGTERM or SIGINT: graceful shutdown
///                     |
///                     +------> handing_over                 on a rollout of a release: hot restart
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

/// The phase that the server is in.
enum class Phase {
  starting,      ///< the initial state is not loaded yet
  serving,       ///< accepts clients and requests
  draining,      ///< shutting down: still accepts requests, ends once no answer is pending
  handing_over,  ///< the successor gets the listener; open requests complete here
  stopped        ///< answers no further requests
};

/// The name of a phase in the log, where handing_over is called "yielding".
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

/// The answer to a client's ALIVE.
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

/// The calls of the lifecycle to the component that executes rollouts.
class RolloutControl {
 public:
  /// Reads the operators' documents again, after SIGHUP.
  virtual void reload_documents() = 0;
  /// Whether another program is to replace this one in the process.
  virtual bool successor_requested() const = 0;
  /// Drops the requested successor, because the process is to end instead.
  virtual void cancel_successor() = 0;
  /// Takes the open listening socket for the successor.
  virtual void take_listener(Fd listener) = 0;

 protected:
  ~RolloutControl() = default;
};

/// State machine of the phases, driven by signals and by RolloutControl. Its last step stops the scheduler.
/// All parts must outlive the scheduler's tasks.
class Lifecycle {
 public:
  /// The components that it controls.
  struct Parts {
    Scheduler& scheduler;                  ///< runs its tasks; stopped at the end
    Log& log;                              ///< gets a line for each phase
    const config::PlatformConfig& config;  ///< initial events and deadlines
    Signals& signals;                      ///< SIGTERM, SIGINT and SIGHUP
    net::RequestDispatcher& dispatcher;    ///< knows the open requests
    net::DiscoveryClient& discovery;       ///< follows discovery from the start on
    net::ClientListener& client_listener;  ///< reports the phase to clients; closed at the end
    ConfigReload& reload;                  ///< requested by SIGHUP
    WarmStart& warm_start;                 ///< restored at the start, written at the end
    const Metrics& metrics;                ///< logged at the end
  };
  /// Does nothing before start().
  explicit Lifecycle(const Parts& parts) : parts_(parts) {}

  /// Starts the task that runs the phases. It loads the initial state and begins to serve in its first turn.
  void start(RolloutControl& rollouts) { parts_.scheduler.start(run(rollouts)); }
  /// The current phase.
  Phase phase() const { return phase_; }

 private:
  Task run(RolloutControl& rollouts);
  Task shut_down();
  Task hand_over(RolloutControl& rollouts);
  Task end_connections();
  void load_initial_state();
  void enter(Phase phase);
  bool answers_pending() const;
  Seconds drain_limit() const;
  void stop_answering();

  const Parts parts_;
  Phase phase_ = Phase::starting;
};

}  // namespace walkpaddle::server
