/// \file
/// The items of the replicated rollout state and their Cap'n Proto encoding (src/change/change.capnp), which
/// is used on the wire and in the store. No I/O.
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

/// The latest stage of a rollout that a majority has agreed to.
struct StageDecision {
  std::uint64_t term = 0;   ///< term of the driver that decided
  std::uint32_t stage = 0;  ///< counts from 1; 0: no stage has begun
  bool done = false;        ///< whether the whole fleet runs the new generation
};

/// The stop of a rollout. Of two stops of one rollout the lesser in comparison is kept.
struct RolloutStop {
  std::uint64_t by = 0;  ///< stable hash of the name of the router that stopped it
  Seconds at = 0;        ///< Unix time of the stop
  std::string why;       ///< reason, of at most kMaxReasonBytes
  /// Compares the fields in the order of their declaration.
  auto operator<=>(const RolloutStop&) const = default;
};

/// A decision and the rollout it belongs to.
struct DecisionItem {
  std::string rollout;     ///< name of the rollout
  StageDecision decision;  ///< the decision on its stage
};

/// A stop and the rollout it belongs to.
struct StopItem {
  std::string rollout;  ///< name of the rollout
  RolloutStop stop;     ///< the router that stopped it, and its reason
};

/// The content of an item.
using RolloutItem = std::variant<RolloutPlan, DecisionItem, StopItem>;

/// Encodes a plan. Equal values have equal bytes.
std::string encode(const RolloutPlan& plan);
/// Encodes a decision. Equal values have equal bytes.
std::string encode(const DecisionItem& item);
/// Encodes a stop. Equal values have equal bytes.
std::string encode(const StopItem& item);

/// Decodes an item. Returns nullopt for a decision or stop of a rollout that is unknown according to
/// `is_known`, and for an item of a kind that only newer programs know. Throws InputError if the item is
/// invalid.
std::optional<RolloutItem> decode_item(std::string_view bytes,
                                       const std::function<bool(const std::string& rollout)>& is_known);

}  // namespace walkpaddle::rollout
