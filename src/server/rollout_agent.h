/// \file
/// Executes the moves of the fleet's rollouts on this router: applies another generation of settings between
/// two turns of the scheduler, or starts another program by a hot restart.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "config/operator_config.h"
#include "config/platform_config.h"
#include "io/fd.h"
#include "io/log.h"
#include "io/scheduler.h"
#include "net/request_dispatcher.h"
#include "replication/replication_service.h"
#include "rollout/coordinator.h"
#include "rollout/rollout.h"
#include "server/lifecycle.h"
#include "server/metrics.h"
#include "server/signals.h"

namespace walkpaddle::server {

/// Environment variables that a program sets for its successor in the same process.
/// @{
constexpr const char* kGenerationVariable = "WALKPADDLE_GENERATION";  ///< the generation that it runs
constexpr const char* kPredecessorVariable = "WALKPADDLE_EARLIER";    ///< path of the predecessor's program
constexpr const char* kSettingsVariable = "WALKPADDLE_SETTINGS";      ///< settings added by rollouts
constexpr const char* kListenerVariable = "WALKPADDLE_LISTENER";      ///< descriptor of the listening socket
/// @}

/// The program that is to replace this one in the process.
struct Successor {
  rollout::GenerationMove move;  ///< the move of the rollout that it belongs to
  std::string program;           ///< path of its executable
  std::string settings_lines;    ///< settings added by rollouts, a line "path=value" each
  Fd listener;                   ///< the listening socket; valid once the scheduler has stopped
};

/// Executes the moves of rollouts on this router. All parts must outlive it.
class RolloutAgent final : public RolloutControl {
 public:
  /// The components that it uses.
  struct Parts {
    Scheduler& scheduler;                  ///< its clock
    Log& log;                              ///< gets a line for each reload of documents and each hot restart
    const config::PlatformConfig& config;  ///< the platform's settings, which rollouts add to
    const config::OperatorConfig& operator_config;  ///< its section `rollouts`
    Signals& signals;                               ///< woken when a successor is requested
    net::RequestDispatcher& dispatcher;             ///< settings are applied to it
    Metrics& metrics;                               ///< counters for the canary verdict
    const Lifecycle& lifecycle;                     ///< moves are executed only while serving
  };
  /// Does nothing before coordinator_setup() and connect().
  explicit RolloutAgent(const Parts& parts) : parts_(parts) {}

  /// Setup of the rollout coordinator, whose callbacks refer to this agent, which must outlive it. Returns
  /// nullopt if the operator's file does not enable rollouts. To be called once, before connect().
  std::optional<rollout::RolloutCoordinator::Setup> coordinator_setup();
  /// Sets the replication service that holds the rollouts. It must live until the scheduler's last turn.
  void connect(replication::ReplicationService& replication) { replication_ = &replication; }
  /// To be called at each turn's end; completes the start once the router has caught up.
  void on_turn_end();
  /// The requested successor, once the scheduler has stopped; nullopt for none.
  std::optional<Successor> take_successor() { return std::exchange(successor_, std::nullopt); }

  void reload_documents() override;
  bool successor_requested() const override { return successor_.has_value(); }
  void cancel_successor() override { successor_.reset(); }
  void take_listener(Fd listener) override;

 private:
  bool rollouts_enabled() const { return replication_ != nullptr && replication_->rollouts() != nullptr; }
  void carry_out(const rollout::GenerationMove& move);
  void request_successor(const rollout::GenerationMove& move);
  void apply_generation(const rollout::GenerationMove& move);
  const std::string& settings_of(const rollout::GenerationMove& move);
  void finish_start();

  const Parts parts_;
  replication::ReplicationService* replication_ = nullptr;  // null: nothing is replicated
  std::optional<Successor> successor_;
  std::map<std::string, std::string> generations_;  // settings added by rollouts, by generation
  std::string settings_lines_;                      // of the running generation
  bool ready_ = false;
};

}  // namespace walkpaddle::server
