// The connections to cache servers, parents and the origin, and the hops that go over them.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "guard/guard.h"
#include "io/log.h"
#include "io/scheduler.h"
#include "io/stream.h"
#include "net/resp_parser.h"
#include "routing/policy.h"

namespace walkpaddle::net {

class UpstreamPool;
struct UpstreamConnection;

// How a hop ended, as the module is told it, with what goes on to the client.
struct AttemptResult {
  AttemptOutcome verdict = AttemptOutcome::not_sent;
  FillOutcome note = FillOutcome::none;
  Told told;
  bool still_good = false;
  std::string etag, body;
  Seconds age = -1;                 // of the copy, -1 where it is not told
  std::vector<std::uint64_t> tags;  // that it names, as stable hashes
  bool tags_told = false;
};

// One hop; lives in its txn's task. Dropped while it is out, it is given up at the cache server too.
class Attempt {
 public:
  struct What {
    int member = -1, source = -1;
    std::uint64_t id = 0;
    std::string_view id_text, body;          // as the client sent them
    std::string fields;                      // all but the limit, which is known only when it is written
    Seconds until = 0;                       // its time-out, on the clock
    Seconds by = kNoTime;                    // begins by then, or not at all
    bool last = false;                       // no other hop can follow its time-out
    bool effect = false;                     // its txn may not simply run again
    guard::RequestRecord* record = nullptr;  // what the guard knows of its request; null: it is not asked
    Seconds copies_made_since = 0;           // the purges that it was decided with
  };
  Attempt(Scheduler& scheduler, UpstreamPool& caches, What what);
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;
  ~Attempt();

  bool ended() const { return state_ == State::ended; }
  Event::Awaiter wait();  // until it has ended or time_came() is to be called
  void time_came();
  void call_off();     // given up at the cache server; it ends once no answer can cross any more
  void drop();         // ends at once: nothing follows for its txn
  void drop_unsent();  // so does one of which no byte has left
  AttemptResult& end() { return end_; }
  Seconds started() const { return started_; }

 private:
  friend class UpstreamPool;
  enum class State { waiting, written, settling, ended };
  void finish(AttemptOutcome verdict);
  void settle(AttemptOutcome verdict);
  void wait_again();
  bool nothing_left() const;              // written, and the kernel has taken none of its bytes
  void ended_as(AttemptOutcome verdict);  // for the guard, once for each that it let pass

  Scheduler& scheduler_;
  UpstreamPool& upstream_;
  What what_;
  Event event_;
  State state_ = State::waiting;
  UpstreamConnection* over_ = nullptr;
  std::list<Attempt*>::iterator place_;  // among those that have not ended
  bool begun_ = false;                   // the guard let it pass, and does not know its end
  Seconds started_, written_at_ = 0, settled_at_ = 0;
  std::uint64_t first_byte_ = 0, last_byte_ = 0;  // its place in the connection's bytes
  AttemptResult end_;
};

class UpstreamPool {
 public:
  UpstreamPool(Scheduler& scheduler, Outbox& outbox, Log& log, std::size_t most_connections,
               int hops_a_connection, Seconds dial_within, Seconds closed_when_idle, bool cancels);
  ~UpstreamPool();

  int member(std::string_view id);  // its index, given at first sight
  std::string_view id(int member) const;
  int members() const { return static_cast<int>(peers_.size()); }
  int known(std::string_view id) const;  // -1 for none
  const Address& address(int member) const;
  bool listed_ready(int member) const;
  void told(int member, const Address& address, EndpointState state);
  // Commands to a member beside the hops, and what comes back of them: over one connection, in order; a
  // dial if there is none. `commands` is told the words of each answer and of each connection that is lost.
  class Commands {
   public:
    virtual void command_answered(int member, const std::vector<std::string_view>& words) = 0;
    virtual void connection_lost(int member) = 0;

   protected:
    ~Commands() = default;
  };
  void set_commands(Commands& commands) { commands_ = &commands; }
  void set_guard(guard::Guard& guard) { guard_ = &guard; }
  bool command(int member, std::string_view text);  // false: no connection yet, one is dialled

 private:
  friend class Attempt;
  struct Peer;
  Peer& peer(int member) const { return *peers_[member]; }
  void start(Attempt& hop);
  void give_up(Attempt& hop);
  void cancel(Attempt& hop);
  bool take_back(Attempt& hop);
  void over_at(UpstreamConnection& c, const Attempt& hop, bool may_answer);
  bool may_write(Attempt& hop, const UpstreamConnection& over, Seconds deadline);
  void closed_as(guard::EndpointClose why);
  void write(Attempt& hop, UpstreamConnection& over);
  void place(Peer& at);
  void dial_for(int member);
  bool make_room();
  Task connection(int member);
  bool take_answers(UpstreamConnection& c);
  void answer(UpstreamConnection& c, const std::vector<std::string_view>& words);
  void dial_failed(Peer& at, std::string_view why, guard::EndpointClose reason);
  template <class F>
  void drop_unsent(F&& concerned);

  Scheduler& scheduler_;
  Outbox& outbox_;
  Log& log_;
  const std::size_t most_connections_, hops_a_connection_;
  const Seconds dial_within_, idle_;
  const bool cancels_;
  std::size_t connections_ = 0;  // of all peers, dials included, that hold a descriptor
  std::list<UpstreamConnection*> all_connections_;
  std::list<Attempt*> hops_;  // those that have not ended
  std::vector<std::unique_ptr<Peer>> peers_;
  std::unordered_map<std::string, int> index_;
  Commands* commands_ = nullptr;
  guard::Guard* guard_ = nullptr;  // null: no counts, no checks
};

}  // namespace walkpaddle::net
