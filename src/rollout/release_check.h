/// \file
/// Decides whether a rollout may start in the current fleet: every live router must support rollouts, and
/// what a release publishes must be readable by the routers that are alive and by those that were alive
/// within the retention time of copies. No I/O of its own; the host provides the releases.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "compat/compatibility.h"
#include "compat/release.h"
#include "membership/membership.h"
#include "rollout/plan.h"

namespace walkpaddle::rollout {

/// Checks releases against the channel versions that the routers of the fleet announce.
class ReleaseCheck {
 public:
  /// The peers, and the callbacks that read releases.
  struct Setup {
    std::vector<std::string> peers;  ///< names, in the order of the member numbers
    /// Returns the releases kept on this machine; throws InputError if one cannot be read.
    std::function<std::vector<compat::Release>()> kept_releases;
    /// Returns the release of a generation; throws InputError if it cannot be read.
    std::function<compat::Release(const std::string& generation)> release_of;
  };

  /// `members` must outlive this object.
  ReleaseCheck(Setup setup, const membership::Membership& members)
      : setup_(std::move(setup)), members_(members) {}

  /// Returns why the rollout may not start, or an empty string if it may. The result for a release is cached
  /// until clear_cache(), as the releases are read from disk.
  std::string refusal(const RolloutPlan& plan);
  /// Clears the cache, so that the next check reads the releases again.
  void clear_cache() { refusals_.clear(); }

 private:
  std::optional<std::string> router_without_rollouts() const;
  std::string refusal_of_release(const std::string& generation) const;
  std::vector<compat::FleetRouter> routers_running(const std::vector<compat::Release>& releases) const;

  const Setup setup_;
  const membership::Membership& members_;
  std::map<std::string, std::string> refusals_;  // cached results, by name of the rollout
};

}  // namespace walkpaddle::rollout
