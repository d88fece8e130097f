/// \file
/// The plan of a rollout as its author writes it: what changes, from which generation to which, in which
/// stages, how many requests and how much time each stage needs, and what counts as worse. Also what follows
/// from the plan and the fleet alone: the order of the routers, the sizes of the stages, the pace of a
/// rollback. No I/O.
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

/// A proposed rollout. Of two plans with the same name all routers keep the lesser in comparison, so the
/// order of the fields is part of the protocol.
struct RolloutPlan {
  std::string name;                       ///< 1 to 64 bytes
  freeze::Work work = freeze::kSettings;  ///< what changes: freeze::kSettings or freeze::kRelease
  std::string before;  ///< current generation of the fleet; a name always stands for the same generation
  std::string after;   ///< generation that the fleet is to have
  std::string author;  ///< who proposes the rollout
  /// For settings, lines "path=value"; for a release, the path of the program on every router's machine.
  std::string body;
  /// Increasing shares of the fleet; each stage includes the one before. 0 is a single router, the canary.
  std::vector<double> stages{0, 0.01, 0.05, 0.25, 1};
  std::uint64_t min_requests = 200;  ///< requests of each cohort that a stage needs before it ends
  Seconds min_stage_time = 10;       ///< minimum duration of a stage
  Seconds max_stage_time = 600;      ///< a stage that has not ended by then stops the rollout
  /// Time after a router's move in which its counts are left out: its connections and concurrency limits are
  /// new and take some seconds to settle.
  Seconds warm_up = 5;
  Seconds ready_within = 10;      ///< a generation that is not ready by then is rolled back by its router
  double max_moving_share = 0.1;  ///< share of a site's routers that may move at a time; at least one may
  double harm_threshold = 0.005;  ///< excess events per canary request below which nothing is stopped
  double tolerated_ratio = 1.2;   ///< ratio of canary events to expected events that is tolerated
  /// Compares the fields in the order of their declaration.
  auto operator<=>(const RolloutPlan&) const = default;
};

/// Returns what is wrong with a plan, in terms of the keys of the author's document, or nullopt if the plan
/// is valid.
std::optional<std::string> refusal(const RolloutPlan& plan);

/// A router and its site.
struct PlacedRouter {
  std::uint64_t router = 0;  ///< stable hash of its name
  std::string site;          ///< empty if the operator's file names none
};

/// Returns the indices of `fleet` in the order in which the routers move. Within a site they are ordered by
/// the rendezvous hash (Thaler and Ravishankar, 1998) of rollout and router; the sites are interleaved in
/// proportion to their sizes, so that every stage is spread over them.
std::vector<std::size_t> rollout_order(const RolloutPlan& plan, const std::vector<PlacedRouter>& fleet);

/// Returns how many routers have the new generation at the end of each stage: increasing numbers, at least 1;
/// the last is `fleet`. Stages of the same size are merged.
std::vector<std::size_t> stage_sizes(const RolloutPlan& plan, std::size_t fleet);

/// Returns how many of `routers` may move at a time, at least 1.
std::size_t max_moving(const RolloutPlan& plan, std::size_t routers);

/// Returns the time between two groups of a rollback.
Seconds rollback_interval(const RolloutPlan& plan);

/// Returns the longest time that a rollback of the whole fleet takes.
Seconds max_rollback_duration(const RolloutPlan& plan, std::size_t fleet);

/// Returns the longest duration of the whole rollout, including a rollback at its end.
Seconds max_rollout_duration(const RolloutPlan& plan, std::size_t fleet);

}  // namespace walkpaddle::rollout
