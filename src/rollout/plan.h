/// \file
/// A rollout as its author writes it: what changes, from which generation to which, in which stages, how much
/// has to be seen in each, and what counts as worse. And what follows from the plan and the fleet alone: the
/// order of the routers, the sizes of the stages, the pace of a rollback. No I/O.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "freeze/window.h"

namespace walkpaddle::rollout {

/// A proposed rollout. The order of the fields decides which of two plans with one name stands at all
/// routers.
struct RolloutPlan {
  std::string name;                       ///< 1 to 64 bytes
  freeze::Work work = freeze::kSettings;  ///< or freeze::kRelease
  std::string before;  ///< the generation that the fleet has; it stands for one thing for ever
  std::string after;   ///< the generation that the fleet is to have
  std::string author;  ///< who proposes it
  /// Of settings: a line "path=value" each. Of a release: the program's path, on each router's machine.
  std::string body;
  /// Shares of the fleet, rising, each stage with the one before in it; 0: one router, the canary.
  std::vector<double> stages{0, 0.01, 0.05, 0.25, 1};
  std::uint64_t min_requests = 200;  ///< of the control and of the canary, seen in a stage before it ends
  Seconds min_stage_time = 10;       ///< a stage lasts so long at least
  Seconds max_stage_time = 600;      ///< a stage that has not ended by then stops the rollout
  /// A router's counts are left out so long after its move: its connections and concurrency limits are a
  /// newcomer's, and settle within some seconds.
  Seconds warm_up = 5;
  Seconds ready_within = 10;      ///< a generation that is not ready by then goes back by itself
  double max_moving_share = 0.1;  ///< of a site's routers that move at a time; one may always
  double harm_threshold = 0.005;  ///< share of requests worse off under which nothing is stopped
  double tolerated_ratio = 1.2;   ///< up to so many times as much as before is no harm
  /// Field by field, in the order of the declarations.
  auto operator<=>(const RolloutPlan&) const = default;
};

/// What is wrong with a plan, in words for its author, with the keys of the author's file; nullopt: nothing.
std::optional<std::string> refusal(const RolloutPlan& plan);

/// A router and where it stands.
struct PlacedRouter {
  std::uint64_t router = 0;  ///< stable hash of its name
  std::string site;          ///< empty where the operator's file names none
};

/// The indices of `fleet` in the order in which its routers change: by rendezvous hash (Thaler and
/// Ravishankar, 1998) of rollout and router within a site, the sites in step with each other, so that every
/// stage is spread over them.
std::vector<std::size_t> rollout_order(const RolloutPlan& plan, const std::vector<PlacedRouter>& fleet);

/// How many routers of the order have the new generation at the end of each stage: rising, from 1; the last
/// is `fleet`. Stages that would be equally large are one.
std::vector<std::size_t> stage_sizes(const RolloutPlan& plan, std::size_t fleet);

/// How many of `routers` may move at a time, 1 at least.
std::size_t max_moving(const RolloutPlan& plan, std::size_t routers);

/// Time between two groups of a rollback.
Seconds rollback_interval(const RolloutPlan& plan);

/// The longest time that a rollback of the whole fleet takes.
Seconds max_rollback_duration(const RolloutPlan& plan, std::size_t fleet);

/// The longest time of the whole rollout, a rollback at its end included.
Seconds max_rollout_duration(const RolloutPlan& plan, std::size_t fleet);

}  // namespace walkpaddle::rollout
