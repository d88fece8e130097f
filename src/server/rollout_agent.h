/// \file
/// Carries out on this router what the fleet's rollouts decide: another generation of settings, between two
/// turns, or another program, by a hot restart.
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

/// By the environment, from a program to its successor in the same process.
/// @{
constexpr const char* kGenerationVariable = "WALKPADDLE_GENERATION";  ///< which generation it is
constexpr const char* kPredecessorVariable = "WALKPADDLE_EARLIER";    ///< path of the program before it
constexpr const char* kSettingsVariable = "WALKPADDLE_SETTINGS";      ///< settings beyond the platform's
constexpr const char* kListenerVariable = "WALKPADDLE_LISTENER";      ///< descriptor of the open listener
/// @}

/// The program that is to run in this process next.
struct Successor {
  rollout::GenerationMove move;  ///< the step of the rollout that it is
  std::string program;           ///< its path
  std::string settings_lines;    ///< settings beyond the platform's, "path=value" each
  Fd listener;                   ///< on which it serves; open once the scheduler has stopped
};

/// One router's hand of the rollouts. All that it is given must outlive it.
class RolloutAgent final : public RolloutControl {
 public:
  /// What it works on.
  struct Parts {
    Scheduler& scheduler;                     ///< its clock
    Log& log;                                 ///< a line for each change of documents and programs
    const config::PlatformConfig& config;     ///< settings under those of a rollout
    const config::OperatorConfig& operators;  ///< the section of rollouts
    Signals& signals;                         ///< woken for a successor
    net::RequestDispatcher& dispatcher;       ///< that settings are applied to
    Metrics& metrics;                         ///< for the judge
    const Lifecycle& lifecycle;               ///< steps are taken only while serving
  };
  /// Nothing is on before changes_setup() and connect().
  explicit RolloutAgent(const Parts& parts) : parts_(parts) {}

  /// What the fleet's rollouts call here; nullopt: the operator's file switches them off. The agent must
  /// outlive whom it is given to. Called once, before connect().
  std::optional<rollout::RolloutCoordinator::Setup> changes_setup();
  /// The replication service that holds the rollouts; it must live until the scheduler's last turn.
  void connect(replication::ReplicationService& replication) { replication_ = &replication; }
  /// At a turn's end: whether a started program is ready.
  void turn_ends();
  /// Who follows, once the scheduler has stopped; nullopt: nobody.
  std::optional<Successor> take_successor() { return std::exchange(successor_, std::nullopt); }

  void reload_documents() override;
  bool successor_requested() const override { return successor_.has_value(); }
  void cancel_successor() override { successor_.reset(); }
  void take_listener(Fd listener) override;

 private:
  bool rollouts_on() const { return replication_ != nullptr && replication_->rollouts() != nullptr; }
  void carry_out(const rollout::GenerationMove& move);
  void request_successor(const rollout::GenerationMove& move);
  void apply_generation(const rollout::GenerationMove& move);
  const std::string& settings_of(const rollout::GenerationMove& move);
  void started_program_ready();

  const Parts parts_;
  replication::ReplicationService* replication_ = nullptr;  // null: nothing is shared
  std::optional<Successor> successor_;
  std::map<std::string, std::string> generations_;  // settings beyond the platform's, as lines, by generation
  std::string settings_lines_;                      // of the present one
  bool ready_ = false;
};

}  // namespace walkpaddle::server
