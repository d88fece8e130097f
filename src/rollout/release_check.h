/// \file
/// Whether a rollout may start beside the fleet as it is: every router takes part, and what a release
/// publishes is read by all that are alive, and by those that were within the time that copies are kept. No
/// I/O of its own; the releases come from the host.
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

/// Asks the compatibility checker for the routers of the fleet, by what they announce.
class ReleaseCheck {
 public:
  /// Where the releases come from.
  struct Setup {
    std::vector<std::string> peers;  ///< names, in the order of the members' numbers
    /// The releases that are kept here; throws InputError where one cannot be read.
    std::function<std::vector<compat::Release>()> kept_releases;
    /// The release of a generation; throws InputError where it cannot be read.
    std::function<compat::Release(const std::string& generation)> release_of;
  };

  /// `members` outlives this.
  ReleaseCheck(Setup setup, const membership::Membership& members)
      : setup_(std::move(setup)), members_(members) {}

  /// Why the rollout may not start; empty: it may. The releases are read once for each rollout until
  /// forget(): they are on the disk.
  std::string refusal(const RolloutPlan& plan);
  /// The releases are read again.
  void forget() { refusals_.clear(); }

 private:
  std::optional<std::string> router_without_rollouts() const;
  std::string refusal_of_release(const std::string& generation) const;
  std::vector<compat::FleetRouter> routers_running(const std::vector<compat::Release>& releases) const;

  const Setup setup_;
  const membership::Membership& members_;
  std::map<std::string, std::string> refusals_;  // by rollout: what was found
};

}  // namespace walkpaddle::rollout
