/// \file
/// Integrates one router's calendar and rollouts into the program: it registers them with gossip, polls them
/// on the scheduler's clock, persists their items, writes their log lines, asks the compatibility checker
/// about releases, and hands moves to the host. All calls are made on the scheduler's single thread.
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

/// Connects the calendar, the compatibility check and the rollouts for the host.
class RolloutCoordinator {
 public:
  /// Configuration and callbacks that the host provides.
  struct Setup {
    /// Another router of the fleet.
    struct Peer {
      std::string name;  ///< as the operator's file names it
      std::string site;  ///< site of the router; may be empty
    };
    std::string name;         ///< name of this router
    std::string site;         ///< site of this router
    std::string generation;   ///< generation that this process runs
    std::vector<Peer> peers;  ///< in the order of the member numbers
    std::uint32_t seed = 0;   ///< seed of the random pauses between elections
    /// Returns the releases kept on this machine; throws InputError if one cannot be read.
    std::function<std::vector<compat::Release>()> kept_releases;
    /// Returns the release of a generation; throws InputError if it cannot be read.
    std::function<compat::Release(const std::string& generation)> release_of;
    /// Starts to run a generation and reports the result by Rollout::moved() or Rollout::move_failed().
    std::function<void(const GenerationMove&)> carry_out;
    /// Returns this router's metrics of the running generation.
    std::function<RolloutMetrics()> metrics;
  };

  /// The references must outlive the coordinator, and so must `store`. If `store` is null, nothing is
  /// persisted.
  RolloutCoordinator(Log& log, const Setup& setup, const membership::Membership& members,
                     gossip::Gossip& gossip, store::Store* store, Seconds now);

  /// Does what is due. To be called at the end of each turn of the scheduler.
  void poll(Seconds now);
  /// The latest time at which poll() must be called next.
  Seconds next_due() const;
  /// Whether an entry of the store belongs to the calendar or the rollouts.
  static bool owns(std::string_view key) { return PersistedState::owns(key); }
  /// Restores such an entry. Entries must be passed in the order of their keys. Throws InputError if the
  /// entry is invalid.
  void restore(std::string_view key, std::string_view value, Seconds now);

  freeze::Calendar& calendar() { return calendar_; }              ///< the calendar of freeze windows
  const freeze::Calendar& calendar() const { return calendar_; }  ///< the calendar of freeze windows
  Rollout& rollout() { return rollout_; }                         ///< this router's part in the rollouts
  const Rollout& rollout() const { return rollout_; }             ///< this router's part in the rollouts

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
  std::string reported_reason_;  // the last logged reason why the calendar is not current; empty: it is
};

}  // namespace walkpaddle::rollout
