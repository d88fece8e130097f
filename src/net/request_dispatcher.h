/// \file
/// Connects requests to the routing policy: passes inputs to the policy, and its decisions at the end of each
/// scheduler turn to the tasks of the requests.
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

/// Registers one request with the dispatcher and the routing policy for as long as the handle exists. The
/// task of the request owns it.
///
/// Lifetimes: the dispatcher and the object's name must outlive it. An attempt given to set_attempt() must
/// live until attempt_ended() or until the client has left. Threads: everything runs on the scheduler's one
/// thread.
class RequestHandle {
 public:
  /// `class_index`: index among the settings' request classes. `object`: stable hash of the object's name.
  /// `group`: the object's group, for purges. `deadline`: end of the client's time limit, on the scheduler's
  /// clock. `id`: the request's id in reports of the guard.
  RequestHandle(RequestDispatcher& dispatcher, int class_index, std::uint64_t object,
                std::string_view object_name, int part, std::uint32_t group, Seconds deadline,
                std::uint64_t id = 0);
  RequestHandle(const RequestHandle&) = delete;
  RequestHandle& operator=(const RequestHandle&) = delete;
  ~RequestHandle();

  /// Awaits a decision or the client's leaving.
  Event::Awaiter decision_made() { return event_.wait(); }
  /// Returns the latest decision, each only once; nullopt if there is no new one.
  std::optional<Decision> take_decision() { return std::exchange(decision_, std::nullopt); }
  /// Sets the attempt that carries out the latest decision, so that it can be cancelled.
  void set_attempt(Attempt* attempt) { attempt_ = attempt; }
  /// Reports that the attempt's answer waits for memory of this router.
  void answer_delayed();
  /// Reports the end of the attempt. `duration`: from its construction to its end. `fill_wait`,
  /// `transfer_time`: parts of the duration, 0 if unknown. `request_over`: no other attempt is needed.
  void attempt_ended(AttemptOutcome outcome, FillOutcome fill, Seconds duration, Seconds fill_wait,
                     Seconds transfer_time, bool request_over);
  /// Marks the request as a lookup that represents `requests` requests, `in_flight` of them at a time. To be
  /// called directly after construction.
  void set_represented_requests(double in_flight, double requests);
  /// The client no longer waits for an answer: abandons the attempt in flight.
  void client_left();
  /// Whether the client has left.
  bool has_client_left() const { return has_client_left_; }
  /// Copies made before this time are purged, as last reported to the policy.
  Seconds valid_since() const { return valid_since_; }
  /// The guard's record of the request.
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
  int slot_;  // index of the request in the dispatcher and in the policy
  Event event_;
  std::optional<Decision> decision_;
  Attempt* attempt_ = nullptr;
  int attempts_ = 0;  // number of attempts decided so far
  bool has_client_left_ = false;
  bool attempt_in_flight_ = false;  // decided, and its end was not reported yet
};

/// Owns the routing policy and knows all its requests.
///
/// Lifetimes: the references that the constructor takes must outlive it, and it must outlive its handles. It
/// must be constructed before the outbox: end-of-turn callbacks run in the order of construction, and what a
/// turn decides is to be sent at the end of the same turn. Threads: everything runs on the scheduler's one
/// thread.
class RequestDispatcher {
 public:
  /// `seed`: for the policy's random choices. `report`: called with each step that the guard refuses.
  RequestDispatcher(Scheduler& scheduler, std::uint32_t seed, const config::Settings& settings,
                    purge::PurgeRegistry& purges, guard::Guard::Report report = {});
  RequestDispatcher(const RequestDispatcher&) = delete;
  RequestDispatcher& operator=(const RequestDispatcher&) = delete;

  /// The policy, with its clock set to the present time, for an input.
  RoutingPolicy& input();
  /// The policy, for reading.
  const RoutingPolicy& policy() const { return *policy_; }
  /// Passes on the share of capacity in use that an endpoint's answer reports, negative for none. Ignored
  /// unless the settings name answers as the source of load reports.
  void load_reported(int endpoint, double load);
  /// The purges that copies are checked against.
  purge::PurgeRegistry& purges() { return purges_; }
  /// The guard that checks and counts attempts, answers and closes.
  guard::Guard& guard() { return guard_; }
  /// Starts to count the outcomes of requests for the canary analysis. Requests and attempts that end before
  /// `quiet_until` are not counted.
  void begin_metrics(std::uint64_t epoch, Seconds quiet_until);
  /// Counts the end of a request. `duration`: from its receipt.
  void request_ended(rollout::RequestOutcome end, int class_index, Seconds duration, int attempts);
  /// Counts the end of an attempt.
  void attempt_counted(AttemptOutcome outcome, FillOutcome fill);
  /// The counts; null before begin_metrics().
  rollout::MetricsCollector* metrics() { return metrics_ ? &*metrics_ : nullptr; }
  /// Applies those settings that may change while the program runs.
  void settings_changed(const config::Settings& settings) { config::apply_live_settings(settings, input()); }
  /// Number of requests that the policy knows.
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
  std::uint64_t purges_version_ = 0;     // version of the purges that all handles know
  std::vector<RequestHandle*> handles_;  // by slot; null: free
  std::vector<int> free_slots_;
  const Seconds poll_interval_;  // minimum time between two polls
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
