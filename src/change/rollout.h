// One router's part in rolling changes, without I/O: the replicated state, the driver that takes a change
// from stage to stage, and what this router itself is to run.
//
// Replicated are documents, how far each may go (orders), and stops. *Stop* is the top of the join: any
// router raises it, it spreads as news and needs nobody's leave, nothing takes it back. *Going on* needs a
// majority: the driver asks, a router agrees under the term that it promised, unless it holds a stop, is not
// current, or was asked by an earlier term. So after a majority holds a stop nothing goes on, and a driver
// that wakes late moves nothing: its term is fenced off. A driver is alive while it asks; past a lease of
// silence the router that is to change last of those alive asks for the next term. Terms are unique to who
// asks.
//
// Only the driver hears the others' counters, with their answers to it; a new driver has them with the first
// answers, since they are cumulative. A return after a stop needs no driver: each router goes back at its own
// time, newest first, by its place in the order, so that no crash holds it up and no herd comes of it.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "change/document.h"
#include "change/evidence.h"
#include "change/judge.h"
#include "freeze/calendar.h"
#include "replica/replicated_state.h"

namespace walkpaddle::change {

class Rollout : public replica::ReplicatedState {
 public:
  struct Bounds {
    Seconds beat = 2;         // between a driver's questions: 300 answers of 200 bytes each
    Seconds ask_again = 0.5;  // for a vote, or for leave to go on
    Seconds lease = 6;        // three questions lost
    std::size_t changes = 32;
    double failed = 0.02;  // share of those moved that may fail to start past the first stage
    Seconds watch = 30;    // a router that dies so soon after its move failed to start
  };
  struct Setup {
    Placed self;
    std::vector<Placed> peers;  // by their number among the members
    std::string generation;     // what this process runs
    std::uint32_t seed = 0;
    bool lasting = false;                                 // what it promised survives a crash
    std::function<bool(int)> alive;                       // a peer, as members know it
    std::function<std::string(const Document&)> refuses;  // why a change may not start here; empty: it may
  };
  Rollout(const Setup& setup, freeze::Calendar& calendar, const Bounds& bounds, Seconds now);

  // Inputs from the host.
  bool propose(const Document& document, Seconds now);  // false: it is known, or refused (said)
  bool stop(const std::string& change, const std::string& why, Seconds now);
  void counted(const Counters& counters) { counters_ = counters; }
  void moved(Seconds now);  // what next_move() gave is ready
  void move_failed(const std::string& why, Seconds now);

  // What the host is to do: run this generation from now on. Asked for after each input and at next_due().
  struct Move {
    std::string to;
    Document document;
    bool back = false;
  };
  std::optional<Move> next_move(Seconds now);
  std::vector<std::string> take_said() { return std::exchange(said_, {}); }  // for the log, once

  enum class Phase : std::uint8_t { old, moving, anew, failed, held };
  struct Standing {
    Document document;
    std::uint32_t stage = 0, stages = 0;
    bool done = false, stopped = false;
    std::string why{};  // of a stop; else what it waits for, where this router drives or is held
    bool drives = false;
    std::size_t through = 0, fleet = 0;  // so many hold the new generation by the order; of so many
    std::uint64_t txns[2] = {0, 0};      // seen in the stage by the driver: old, new
  };
  std::vector<Standing> standing(Seconds now) const;
  const std::string& running() const { return running_; }
  std::string fleets_generation() const;  // what the fleet stands at, as far as it is known here
  bool driving() const { return drive_ && drive_->phase != Driving::electing; }
  std::uint64_t term() const { return promised_; }

  // As a kind of replicated state.
  std::uint8_t number() const override { return 1; }
  std::size_t join_order(std::uint64_t id) const override;
  bool join(std::string_view bytes, Seconds now) override;
  std::optional<replica::ReplicatedMessage> next_message(Seconds now) override;
  void receive(int from, std::string_view bytes, Seconds now) override;
  Seconds next_due() const override { return due_; }
  std::string private_state() const override;
  void restore_private_state(std::string_view bytes) override;

 private:
  struct Order {
    std::uint64_t term = 0;
    std::uint32_t stage = 0;
    bool done = false;
  };
  struct Stop {
    std::uint64_t by = 0;
    Seconds at = 0;
    std::string why;
    auto operator<=>(const Stop&) const = default;
  };
  struct Course {
    Document document;
    std::vector<std::size_t> order{},
        sizes{};            // of the fleet, this router last in its numbers; of the stages
    std::size_t place = 0;  // of this router in the order
    Order decided{};
    std::optional<Stop> stop{};
    Seconds stop_heard = 0;
    std::uint32_t acked = 0;  // the stage that this router agreed to last, and under which term
    std::uint64_t acked_under = 0;
    std::size_t turn = 0;  // so many of the order may have moved, as the driver last said
    bool failed = false;   // this router's move did
    std::string waits{};   // why this router does not move in its turn
  };
  struct Ask {
    std::uint64_t change = 0, term = 0;
    bool vote = false;
    std::uint32_t stage = 0, wanted = 0, turn = 0;
  };
  struct Report {
    std::uint64_t term = 0;
    bool granted = false;
    std::uint32_t acked = 0;
    std::uint64_t acked_under = 0;
    Phase phase = Phase::old;
    Counters counters;
    std::uint64_t sent = 0;
  };
  enum class Driving : std::uint8_t { electing, watching, asking, judging };
  struct Drive {
    std::string change;
    Driving phase = Driving::electing;
    Seconds since = 0, ask_at = 0, tick_at = 0, stage_at = 0;
    std::map<int, std::pair<Report, Seconds>> reports{};  // by number in the fleet
    std::map<int, Counters> judged{};                     // as the judge last had them
    struct Moved {
      Seconds at = 0;           // first seen in the new generation
      std::uint64_t epoch = 0;  // then: another one since is another start
    };
    std::map<int, Moved> moved{};
    std::map<int, Phase> phases{};   // as last told
    std::map<int, Seconds> given{};  // when its turn came to one that was alive
    std::set<int> failed{};
    std::size_t turn = 0;
    bool held_back = true;  // the last of the last stage wait for the judge
    std::optional<Judge> judge{};
    std::string waits{};
  };

  Course* course(const std::string& name);
  const Course* active() const;
  Course* active() { return const_cast<Course*>(std::as_const(*this).active()); }
  void set_document(const Document& document, Seconds now);
  bool set_order(Course& c, const Order& order);
  bool set_stop(Course& c, const Stop& stop, Seconds now);
  void publish(const std::string& key, const std::string& item);
  void say(std::string line);

  std::size_t fleet() const { return fleet_.size(); }
  int self() const { return static_cast<int>(fleet_.size()) - 1; }
  std::size_t majority() const { return fleet_.size() / 2 + 1; }
  bool alive(int n) const { return n == self() || setup_.alive(n); }
  freeze::Calendar::Plan plan(const Course& c, Seconds worst, Seconds now) const;
  Phase phase(const Course& c) const;
  // This router's move did; of a release its machine remembers that it was tried.
  bool failed(const Course& c) const {
    return c.failed || (!tried_.empty() && tried_ == c.document.name && running_ == c.document.before);
  }
  Report report(const Course& c, bool granted) const;

  void step(Seconds now);
  void elect(Course& c, Seconds now);
  void drive(Course& c, Seconds now);
  void ask_all(Course& c, bool vote, std::uint32_t wanted);
  void heard(int from, const Report& report, Seconds now);
  void note(int from, const Report& report, Seconds now);
  std::size_t did_not_start(Seconds now) const;
  bool agree(Course& c, std::uint64_t term, std::uint32_t wanted, Seconds now);
  void give_turns(Course& c, Seconds now);
  void judge(Course& c, Seconds now);
  void go_on(Course& c, Seconds now);
  std::size_t settled(const Course& c, Seconds now) const;
  Seconds fresh_within() const { return bounds_.lease; }

  const Setup setup_;
  const Bounds bounds_;
  freeze::Calendar& calendar_;
  std::mt19937 chance_;
  std::vector<Placed> fleet_;  // the peers, then this router
  std::vector<std::string> sites_;
  const Seconds started_;
  std::string running_;
  std::optional<Move> moving_;
  std::map<std::string, Course> courses_;
  std::map<std::string, Stop> early_;          // told before the change was known
  std::map<std::string, std::uint64_t> keys_;  // items by what they are of, by their present id
  std::vector<std::string> said_;
  std::deque<replica::ReplicatedMessage> letters_;
  Counters counters_;
  std::string tried_;  // the change whose release this machine last ended for; see own()
  std::uint64_t promised_ = 0;
  int promised_to_ = -1;
  std::uint64_t sent_ = 0;  // of the last report
  Seconds driver_heard_, stepped_at_, due_, elect_at_;
  std::optional<Drive> drive_;
};

}  // namespace walkpaddle::change
