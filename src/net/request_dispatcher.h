/// \file
/// Holds the routing policy: inputs go in, decisions come out at the turn's end and go to each request's
/// task.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "config/settings.h"
#include "guard/guard.h"
#include "io/scheduler.h"
#include "net/upstream_pool.h"
#include "purge/purge_registry.h"
#include "rollout/metrics.h"
#include "routing/policy.h"

namespace walkpaddle::net {

class RequestDispatcher;

/// One request at the dispatcher, held by its task: the policy knows the request for as long as this lives.
///
/// Lifetimes: the dispatcher and the object's name outlive it; an attempt that it was given is unset by
/// attempt_ended(), or goes after it has been left. Threads: the scheduler's one thread.
class RequestHandle {
 public:
  /// `class_index`: among the settings' classes. `object`: the stable hash of its name. `group`: for purges.
  /// `deadline`: the client's limit, on the scheduler's clock. `id`: for the guard's reports.
  RequestHandle(RequestDispatcher& dispatcher, int class_index, std::uint64_t object,
                std::string_view object_name, int part, std::uint32_t group, Seconds deadline,
                std::uint64_t id = 0);
  RequestHandle(const RequestHandle&) = delete;
  RequestHandle& operator=(const RequestHandle&) = delete;
  ~RequestHandle();

  /// Awaited: until there is a decision, or the client has left.
  Event::Awaiter decision_made() { return event_.wait(); }
  /// The latest decision, given once; none if there is no new one.
  std::optional<Decision> take_decision() { return std::exchange(decision_, std::nullopt); }
  /// The attempt that carries the latest decision out, so that it can be cancelled.
  void set_attempt(Attempt* attempt) { attempt_ = attempt; }
  /// How the attempt ended. `duration`: from its making to its end. `fill_wait`, `transfer_time`: parts of
  /// it, 0 where not known. `request_over`: no other attempt is wanted.
  void attempt_ended(AttemptOutcome outcome, FillOutcome fill, Seconds duration, Seconds fill_wait,
                     Seconds transfer_time, bool request_over);
  /// It is a lookup that stands for so many requests; to be called at once after the making.
  void set_represented_requests(double in_flight, double requests);
  /// The client waits no more: an attempt that is out is abandoned.
  void client_left();
  /// Whether the client has left.
  bool has_client_left() const { return has_client_left_; }
  /// Copies made before are purged, as the policy knows it.
  Seconds valid_since() const { return valid_since_; }
  /// What the guard knows of the request.
  guard::RequestRecord& record() { return record_; }

 private:
  friend class RequestDispatcher;
  void update_purges();

  RequestDispatcher& dispatcher_;
  const std::uint64_t object_;
  const std::string_view object_name_;
  const std::uint32_t group_;
  Seconds valid_since_ = 0;
  guard::RequestRecord record_;
  int slot_;  // index in the dispatcher and at the policy
  Event event_;
  std::optional<Decision> decision_;
  Attempt* attempt_ = nullptr;
  int attempts_ = 0;  // decided so far
  bool has_client_left_ = false;
  bool attempt_in_flight_ = false;  // decided, and not told as ended
};

/// The policy and all requests that it knows.
///
/// Lifetimes: what the constructor takes by reference outlives it; handles go before it. It is made before
/// the outbox, so that what a turn decides goes out at its end. Threads: the scheduler's one thread.
class RequestDispatcher {
 public:
  /// `seed`: of the policy's random draws. `report`: hears what the guard refuses.
  RequestDispatcher(Scheduler& scheduler, std::uint32_t seed, const config::Settings& settings,
                    purge::PurgeRegistry& purges, guard::Guard::Report report = {});
  RequestDispatcher(const RequestDispatcher&) = delete;
  RequestDispatcher& operator=(const RequestDispatcher&) = delete;

  /// The policy with its clock set, for inputs.
  RoutingPolicy& input();
  /// The policy, to look at.
  const RoutingPolicy& policy() const { return *policy_; }
  /// The share of its capacity that an endpoint's answer reports as in use, under 0 for none; taken only
  /// where the settings say that answers tell it.
  void load_reported(int endpoint, double load);
  /// The purges that copies are checked against.
  purge::PurgeRegistry& purges() { return purges_; }
  /// Checks and counts what is done.
  guard::Guard& guard() { return guard_; }
  /// From now on counts what requests come to, for the canary verdict; what ends before `quiet_until` is not
  /// counted.
  void begin_metrics(std::uint64_t epoch, Seconds quiet_until);
  /// A request has ended. `duration`: from its receipt.
  void request_ended(rollout::RequestOutcome end, int class_index, Seconds duration, int attempts);
  /// An attempt has ended.
  void attempt_counted(AttemptOutcome outcome, FillOutcome fill);
  /// The counts; null: nothing is counted.
  rollout::MetricsCollector* metrics() { return metrics_ ? &*metrics_ : nullptr; }
  /// Takes over the settings that may change while the program runs.
  void settings_changed(const config::Settings& settings) { config::apply_live_settings(settings, input()); }
  /// How many requests the policy knows.
  std::size_t open_requests() const { return handles_.size() - free_slots_.size(); }

 private:
  friend class RequestHandle;
  int take_slot(RequestHandle& handle);
  void on_turn_end();
  void poll_policy();
  void carry_out(const Decision& decision);
  void wake_up_at(Seconds time);
  Task run_polls();
  Task run_timer();

  Scheduler& scheduler_;
  purge::PurgeRegistry& purges_;
  guard::Guard guard_;
  const std::vector<guard::RequestRecord::Rule> effect_rules_;  // by class
  std::unique_ptr<RoutingPolicy> policy_;
  std::uint64_t purges_version_ = 0;     // that all handles know
  std::vector<RequestHandle*> handles_;  // by slot; null: free
  std::vector<int> free_slots_;
  const Seconds poll_interval_;  // least time between two polls
  const bool answers_report_load_;
  Event timer_changed_;
  Event poll_wanted_;
  Seconds last_poll_at_ = 0;
  bool poll_pending_ = false;
  Seconds wake_up_at_ = kNoTime;
  std::optional<rollout::MetricsCollector> metrics_;
  std::vector<Seconds> latency_objectives_;  // by class
};

}  // namespace walkpaddle::net
