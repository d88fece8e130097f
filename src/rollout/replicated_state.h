/// \file
/// The replicated state of rollouts and its join (a state-based CRDT: Shapiro et al., 2011): plans, decisions
/// on stages, and stops. A stop is the top of the join: any router may issue one, it spreads as a rumour,
/// needs no agreement and cannot be revoked. Of several decisions the latest stage is kept. No I/O.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "rollout/context.h"
#include "rollout/items.h"
#include "rollout/plan.h"

namespace walkpaddle::rollout {

/// This router's own state in a rollout. It is not replicated.
struct Participation {
  std::uint32_t agreed_stage = 0;  ///< the latest stage that this router agreed to
  std::uint64_t agreed_term = 0;   ///< the term under which it agreed
  std::size_t turns = 0;           ///< number of routers, from the start of the order, known to have a turn
  bool move_failed = false;        ///< whether this router's move failed
  std::string wait_reason{};       ///< why this router does not move in its turn
};

/// A rollout as this router knows it.
struct RolloutRecord {
  RolloutPlan plan;                        ///< the plan as proposed
  std::vector<std::size_t> order{};        ///< numbers of the fleet's routers, see rollout_order()
  std::vector<std::size_t> stage_sizes{};  ///< see stage_sizes()
  std::size_t place = 0;                   ///< index of this router in the order
  StageDecision decision{};                ///< the latest stage decided
  std::optional<RolloutStop> stop{};       ///< set once the rollout is stopped
  Seconds stop_received_at = 0;            ///< when this router first learned of a stop
  Participation own{};                     ///< this router's own state

  /// Whether the rollout is stopped or done.
  bool over() const { return stop.has_value() || decision.done; }
  /// The number of stages.
  std::uint32_t stages() const { return static_cast<std::uint32_t>(stage_sizes.size()); }
  /// Whether the whole fleet has the new generation and the rollout was not stopped.
  bool completed() const { return decision.done && !stop; }
};

/// The key of an item. A new item replaces an earlier one with the same key.
struct ItemKey {
  /// The kind of an item. The values give the order in which a start joins items, as decisions and stops of
  /// unknown plans are ignored.
  enum class Kind : std::uint8_t { plan, decision, stop };
  Kind kind = Kind::plan;  ///< kind of the item
  std::string rollout;     ///< name of the rollout
  /// Compares by kind, then by name.
  auto operator<=>(const ItemKey&) const = default;
};

/// The rollouts that this router knows, by name.
class RolloutState {
 public:
  /// The interface that publishes items and is notified of stops. It must outlive the state.
  class Host {
   public:
    virtual ~Host() = default;
    /// Publishes `bytes` as the item with the given key, in place of an earlier one.
    virtual void publish(const ItemKey& key, const std::string& bytes) = 0;
    /// Removes the item with the given key.
    virtual void withdraw(const ItemKey& key) = 0;
    /// Called when the rollout is stopped.
    virtual void stopped(const std::string& rollout) = 0;
    /// The generation that this router runs.
    virtual const std::string& running() const = 0;
  };

  /// `initial_generation` is the one that this process runs when it starts. `context` and `host` must outlive
  /// the state.
  RolloutState(RolloutContext& context, std::string initial_generation, Host& host);

  /// Proposes a rollout. Returns false if it is known already or refused; a refusal is logged.
  bool propose(const RolloutPlan& plan, Seconds now);
  /// Stops a rollout. Returns false if it is stopped already or not known yet; in the latter case it is
  /// stopped as soon as it becomes known.
  bool stop(const std::string& rollout, const std::string& why, Seconds now);
  /// Joins an item that was received or read from the store. Throws InputError if it is invalid.
  void join(std::string_view bytes, Seconds now);
  /// Joins a decision. Returns false if it changes nothing.
  bool set_decision(RolloutRecord& record, const StageDecision& decision);

  /// All known rollouts, by name.
  std::map<std::string, RolloutRecord>& records() { return records_; }
  /// All known rollouts, by name.
  const std::map<std::string, RolloutRecord>& records() const { return records_; }
  /// Finds a rollout by its name; nullptr if it is not known.
  RolloutRecord* find(const std::string& rollout);
  /// Finds a rollout by its message_id(); nullptr if it is not known.
  RolloutRecord* find(std::uint64_t message_id);
  /// The active rollout: of the unfinished ones that start from the fleet's generation, the one at the latest
  /// stage. nullptr if there is none.
  const RolloutRecord* active() const;
  /// The active rollout, as above, for changes to its record.
  RolloutRecord* active();
  /// The current generation of the fleet, as far as this router knows.
  std::string fleet_generation() const;

 private:
  void set_plan(const RolloutPlan& plan, Seconds now);
  void resolve_conflict(RolloutRecord& record, const RolloutPlan& plan, Seconds now);
  bool evict_finished();
  void add(const RolloutPlan& plan, Seconds now);
  bool set_stop(RolloutRecord& record, const RolloutStop& stop, Seconds now);
  std::optional<std::string> refusal_of_proposal(const RolloutPlan& plan) const;

  RolloutContext& context_;
  const std::string initial_generation_;
  Host& host_;
  std::map<std::string, RolloutRecord> records_;
  std::map<std::string, RolloutStop> early_stops_;  // stops of rollouts that are not known yet, by name
};

}  // namespace walkpaddle::rollout
