/// \file
/// The items of replicated rollout state, and their Cap'n Proto form (src/change/change.capnp), in which they
/// go over the wire and into the store. No I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/time.h"
#include "rollout/plan.h"

namespace walkpaddle::rollout {

/// How far a rollout may go, as a majority has agreed.
struct StageDecision {
  std::uint64_t term = 0;   ///< of the driver that asked
  std::uint32_t stage = 0;  ///< from 1; 0: none yet
  bool done = false;        ///< the whole fleet has the new generation
};

/// A rollout was stopped. The first in order of two stops stands.
struct RolloutStop {
  std::uint64_t by = 0;  ///< stable hash of the router's name
  Seconds at = 0;        ///< Unix time
  std::string why;       ///< at most kMaxReasonBytes
  /// Field by field, in the order of the declarations.
  auto operator<=>(const RolloutStop&) const = default;
};

/// A decision with the rollout that it is of.
struct DecisionItem {
  std::string rollout;     ///< its name
  StageDecision decision;  ///< how far it may go
};

/// A stop with the rollout that it is of.
struct StopItem {
  std::string rollout;  ///< its name
  RolloutStop stop;     ///< who stopped it, and why
};

/// What an item says.
using RolloutItem = std::variant<RolloutPlan, DecisionItem, StopItem>;

/// The bytes of an item; equal values have equal bytes.
std::string encode(const RolloutPlan& plan);
/// As above.
std::string encode(const DecisionItem& item);
/// As above.
std::string encode(const StopItem& item);

/// Reads an item; throws InputError where it cannot be used. nullopt: a decision or stop of a rollout that
/// `is_known` does not know, or an item of a newer router.
std::optional<RolloutItem> decode_item(std::string_view bytes,
                                       const std::function<bool(const std::string& rollout)>& is_known);

}  // namespace walkpaddle::rollout
