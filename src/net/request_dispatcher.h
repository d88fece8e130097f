// The desk holds the module: inputs go in, decisions come out at the turn's end and go to each txn's task.
#pragma once

#include <memory>
#include <optional>
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

// A txn's place at the desk, held by its task: the module knows the txn from its making on.
class RequestHandle {
 public:
  // The name must outlive the seat.
  RequestHandle(RequestDispatcher& dispatcher, int rule, std::uint64_t object, std::string_view name,
                int part, std::uint32_t group, Seconds expires, std::uint64_t id = 0);
  RequestHandle(const RequestHandle&) = delete;
  RequestHandle& operator=(const RequestHandle&) = delete;
  ~RequestHandle();

  Event::Awaiter decision_made() { return event_.wait(); }
  std::optional<Decision> take_decision() { return std::exchange(decision_, std::nullopt); }
  void set_attempt(Attempt* hop) { hop_ = hop; }
  void attempt_ended(AttemptOutcome verdict, FillOutcome note, Seconds took, Seconds waited, Seconds sending,
                     bool txn_over);
  void set_represented_requests(double in_flight, double txns);  // it is a lookup; at once after the making
  void leave();                                                  // the client waits no more
  bool left() const { return left_; }
  Seconds valid_since() const { return since_; }  // copies made before are purged, as the module knows it
  guard::RequestRecord& record() { return record_; }

 private:
  friend class RequestDispatcher;
  RequestDispatcher& dispatcher_;
  void tell_purges();
  const std::uint64_t object_;
  const std::string_view name_;
  const std::uint32_t group_;
  Seconds since_ = 0;
  guard::RequestRecord record_;
  int slot_;
  Event event_;
  std::optional<Decision> decision_;
  Attempt* hop_ = nullptr;
  int hops_ = 0;
  bool left_ = false, out_ = false;
};

class RequestDispatcher {
 public:
  RequestDispatcher(Scheduler& scheduler, std::uint32_t seed, const config::Settings& settings,
                    purge::PurgeRegistry& purges, guard::Guard::Report report = {});

  RoutingPolicy& input();  // the module, with the clock set
  const RoutingPolicy& module() const { return *brain_; }
  void load_reported(int member,
                     double busy);  // with an answer; only where the settings say that answers tell
  purge::PurgeRegistry& purges() { return purges_; }
  guard::Guard& guard() { return guard_; }
  // What the txns come to, for the judge of changes; only where changes are made.
  void begin_metrics(std::uint64_t epoch, Seconds quiet_until);
  void request_ended(rollout::RequestOutcome end, int rule, Seconds took, int hops);
  void attempt_counted(AttemptOutcome verdict, FillOutcome note);
  rollout::MetricsCollector* metrics() {
    return metrics_ ? &*metrics_ : nullptr;
  }  // null: nothing is counted
  void settings_changed(const config::Settings& settings) { config::apply_live_settings(settings, input()); }
  std::size_t txns_open() const { return handles_.size() - free_.size(); }

 private:
  friend class RequestHandle;
  void turn_ends();
  void pull();
  Task keep_pulling();
  Task keep_time();

  Scheduler& scheduler_;
  purge::PurgeRegistry& purges_;
  guard::Guard guard_;
  std::vector<guard::RequestRecord::Rule> effects_;  // by rule
  std::unique_ptr<RoutingPolicy> brain_;
  std::uint64_t purges_told_ = 0;
  std::vector<RequestHandle*> handles_;
  std::vector<int> free_;
  const Seconds between_pulls_;
  const bool answers_tell_load_;
  Event wake_, pull_;
  Seconds pulled_at_ = 0;
  bool pull_due_ = false;
  Seconds wake_at_ = kNoTime;
  std::optional<rollout::MetricsCollector> metrics_;
  std::vector<Seconds> sla_;  // by rule
};

}  // namespace walkpaddle::net
