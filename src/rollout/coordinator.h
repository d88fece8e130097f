/// \file
/// One router's part in rollouts as the program carries it out: the calendar and the rollouts on the gossip
/// and on the scheduler's clock, their items in the store, their lines in the log, the compatibility
/// checker's verdict for a release, and moves handed to the host. Everything is called on the scheduler's one
/// thread.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "compat/release.h"
#include "freeze/calendar.h"
#include "gossip/gossip.h"
#include "io/log.h"
#include "rollout/persisted_state.h"
#include "rollout/release_check.h"
#include "rollout/rollout.h"
#include "store/store.h"

namespace walkpaddle::rollout {

/// Binds calendar, compatibility and rollouts together for the host.
class RolloutCoordinator {
 public:
  /// What the host gives.
  struct Setup {
    /// Another router of the fleet.
    struct Peer {
      std::string name;  ///< as the operator's file names it
      std::string site;  ///< where it stands; may be empty
    };
    std::string name;         ///< of this router
    std::string site;         ///< where it stands
    std::string generation;   ///< what this process runs
    std::vector<Peer> peers;  ///< in the order of the members' numbers
    std::uint32_t seed = 0;   ///< of the pauses between elections
    /// The releases that are kept here; throws InputError where one cannot be read.
    std::function<std::vector<compat::Release>()> kept_releases;
    /// The release of a generation; throws InputError where it cannot be read.
    std::function<compat::Release(const std::string& generation)> release_of;
    /// Runs the generation from now on, and says so by moved() or move_failed().
    std::function<void(const GenerationMove&)> carry_out;
    /// What this router counted in the running generation.
    std::function<RolloutMetrics()> metrics;
  };

  /// The references outlive this; so does `store`, which may be null: then nothing lasts.
  RolloutCoordinator(Log& log, const Setup& setup, const membership::Membership& members,
                     gossip::Gossip& gossip, store::Store* store, Seconds now);

  /// What is due; at the end of each of the scheduler's turns.
  void poll(Seconds now);
  /// When poll() is to be called at the latest.
  Seconds next_due() const;
  /// Whether an entry of the store belongs here.
  static bool owns(std::string_view key) { return PersistedState::owns(key); }
  /// An entry of the store that does, in the order of the keys; throws InputError where it cannot be used.
  void restore(std::string_view key, std::string_view value, Seconds now);

  freeze::Calendar& calendar() { return calendar_; }              ///< of freeze windows
  const freeze::Calendar& calendar() const { return calendar_; }  ///< of freeze windows
  Rollout& rollout() { return rollout_; }                         ///< this router's part
  const Rollout& rollout() const { return rollout_; }             ///< this router's part

 private:
  Rollout::Setup rollout_setup(bool durable);
  bool is_alive(int peer) const;
  void update_calendar(Seconds now, bool is_full);
  void report_calendar(Seconds now);

  Log& log_;
  const Setup setup_;
  const membership::Membership& members_;
  gossip::Gossip& gossip_;
  store::Store* const store_;
  ReleaseCheck release_check_;
  freeze::Calendar calendar_;
  Rollout rollout_;
  PersistedState persisted_;
  Seconds next_full_poll_ = 0;
  std::string reported_reason_;  // why the calendar was last not current
};

}  // namespace walkpaddle::rollout
