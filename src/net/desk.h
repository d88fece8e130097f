// The desk holds the module: inputs go in, decisions come out at the turn's end and go to each txn's task.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "brain.h"
#include "change/evidence.h"
#include "fleet/purges.h"
#include "guard/guard.h"
#include "io/scheduler.h"
#include "net/caches.h"
#include "settings.h"

namespace walkpaddle::net {

class Desk;

// A txn's place at the desk, held by its task: the module knows the txn from its making on.
class Seat {
 public:
  // The name must outlive the seat.
  Seat(Desk& desk, int rule, std::uint64_t object, std::string_view name, int part, std::uint32_t group,
       Sec expires, std::uint64_t id = 0);
  Seat(const Seat&) = delete;
  Seat& operator=(const Seat&) = delete;
  ~Seat();

  Event::Awaiter woken() { return event_.wait(); }
  std::optional<Decision> decision() { return std::exchange(decision_, std::nullopt); }
  void hop_out(Hop* hop) { hop_ = hop; }
  void hop_ended(Verdict verdict, Note note, Sec took, Sec waited, Sec sending, bool txn_over);
  void stands_for(double in_flight, double txns);  // it is a lookup; at once after the making
  void leave();                                    // the client waits no more
  bool left() const { return left_; }
  Sec since() const { return since_; }  // copies made before are purged, as the module knows it
  guard::RequestRecord& record() { return record_; }

 private:
  friend class Desk;
  Desk& desk_;
  void tell_purges();
  const std::uint64_t object_;
  const std::string_view name_;
  const std::uint32_t group_;
  Sec since_ = 0;
  guard::RequestRecord record_;
  int slot_;
  Event event_;
  std::optional<Decision> decision_;
  Hop* hop_ = nullptr;
  int hops_ = 0;
  bool left_ = false, out_ = false;
};

class Desk {
 public:
  Desk(Scheduler& scheduler, std::uint32_t seed, const Settings& settings, fleet::Purges& purges,
       guard::Guard::Report report = {});

  Brain& input();  // the module, with the clock set
  const Brain& module() const { return *brain_; }
  void load_told(int member, double busy);  // with an answer; only where the settings say that answers tell
  fleet::Purges& purges() { return purges_; }
  guard::Guard& guard() { return guard_; }
  // What the txns come to, for the judge of changes; only where changes are made.
  void begin_tally(std::uint64_t epoch, Sec quiet_until);
  void txn_ended(change::Tally::End end, int rule, Sec took, int hops);
  void hop_counted(Verdict verdict, Note note);
  change::Tally* tally() { return tally_ ? &*tally_ : nullptr; }  // null: nothing is counted
  void settings_changed(const Settings& settings) { hand_over_again(settings, input()); }
  std::size_t txns_open() const { return seats_.size() - free_.size(); }

 private:
  friend class Seat;
  void turn_ends();
  void pull();
  Task keep_pulling();
  Task keep_time();

  Scheduler& scheduler_;
  fleet::Purges& purges_;
  guard::Guard guard_;
  std::vector<guard::RequestRecord::Rule> effects_;  // by rule
  std::unique_ptr<Brain> brain_;
  std::uint64_t purges_told_ = 0;
  std::vector<Seat*> seats_;
  std::vector<int> free_;
  const Sec between_pulls_;
  const bool answers_tell_load_;
  Event wake_, pull_;
  Sec pulled_at_ = 0;
  bool pull_due_ = false;
  Sec wake_at_ = kNoTime;
  std::optional<change::Tally> tally_;
  std::vector<Sec> sla_;  // by rule
};

}  // namespace walkpaddle::net
