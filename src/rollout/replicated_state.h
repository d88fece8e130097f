/// \file
/// The replicated state of rollouts and its join (a state-based CRDT: Shapiro et al., 2011): plans, how far
/// each may go, and stops. *Stop* is the top of the join: any router raises it, it spreads as a rumour and
/// needs nobody's agreement, nothing takes it back. Of the stages decided the furthest stands. No I/O.
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

/// What this router alone has to do with a rollout; it is not replicated.
struct Participation {
  std::uint32_t agreed_stage = 0;  ///< the stage that this router agreed to last
  std::uint64_t agreed_term = 0;   ///< under which term it agreed
  std::size_t turns = 0;           ///< so many of the order may have moved, as the driver last said
  bool move_failed = false;        ///< this router's move did
  std::string wait_reason{};       ///< why this router does not move in its turn
};

/// A rollout as this router knows it.
struct RolloutRecord {
  RolloutPlan plan;                        ///< as it was proposed
  std::vector<std::size_t> order{};        ///< numbers of the fleet's routers, see rollout_order()
  std::vector<std::size_t> stage_sizes{};  ///< see stage_sizes()
  std::size_t place = 0;                   ///< of this router in the order
  StageDecision decision{};                ///< how far it may go
  std::optional<RolloutStop> stop{};       ///< the top of the join
  Seconds stop_received_at = 0;            ///< when a stop was first heard here
  Participation own{};                     ///< of this router

  /// It goes on no more.
  bool over() const { return stop.has_value() || decision.done; }
  /// How many stages it has.
  std::uint32_t stages() const { return static_cast<std::uint32_t>(stage_sizes.size()); }
  /// The new generation is the whole fleet's.
  bool completed() const { return decision.done && !stop; }
};

/// Names an item; a later item under a key takes the place of the earlier.
struct ItemKey {
  /// What it says; the order in which a start takes items, since what is said of a plan that is not known is
  /// passed over.
  enum class Kind : std::uint8_t { plan, decision, stop };
  Kind kind = Kind::plan;  ///< what it says
  std::string rollout;     ///< its name
  /// By kind, then by name.
  auto operator<=>(const ItemKey&) const = default;
};

/// The rollouts that this router knows, by name.
class RolloutState {
 public:
  /// Who carries the items and follows what happens; outlives the state.
  class Host {
   public:
    virtual ~Host() = default;
    /// The item under `key` is now `bytes`.
    virtual void publish(const ItemKey& key, const std::string& bytes) = 0;
    /// There is no item under `key` any more.
    virtual void withdraw(const ItemKey& key) = 0;
    /// The rollout was stopped.
    virtual void stopped(const std::string& rollout) = 0;
    /// What this router runs.
    virtual const std::string& running() const = 0;
  };

  /// `initial_generation`: what this router's process runs at its start. All three outlive the state.
  RolloutState(RolloutContext& context, std::string initial_generation, Host& host);

  /// Proposes a rollout. False: it is known, or refused, which the log says.
  bool propose(const RolloutPlan& plan, Seconds now);
  /// Stops a rollout; one that is not known yet will be when it comes to be. False: it is, or is not known.
  bool stop(const std::string& rollout, const std::string& why, Seconds now);
  /// Joins an item that was heard, or that was stored; throws InputError where it cannot be used.
  void join(std::string_view bytes, Seconds now);
  /// Joins a decision; false: it says nothing new.
  bool set_decision(RolloutRecord& record, const StageDecision& decision);

  /// All, by name.
  std::map<std::string, RolloutRecord>& records() { return records_; }
  /// All, by name.
  const std::map<std::string, RolloutRecord>& records() const { return records_; }
  /// nullptr: it is not known.
  RolloutRecord* find(const std::string& rollout);
  /// By its message_id(); nullptr: it is not known.
  RolloutRecord* find(std::uint64_t message_id);
  /// The one that is under way: of those that start from the fleet's generation the one that has come
  /// furthest. nullptr: none is.
  const RolloutRecord* active() const;
  /// As above.
  RolloutRecord* active();
  /// What the fleet stands at, as far as it is known here.
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
  std::map<std::string, RolloutStop> early_stops_;  // of rollouts that are not known yet
};

}  // namespace walkpaddle::rollout
