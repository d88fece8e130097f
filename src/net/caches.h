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

#include "brain.h"
#include "guard/guard.h"
#include "io/log.h"
#include "io/scheduler.h"
#include "io/stream.h"
#include "net/resp.h"

namespace walkpaddle::net {

class Caches;
struct Connection;

// How a hop ended, as the module is told it, with what goes on to the client.
struct HopEnd {
  Verdict verdict = Verdict::not_sent;
  Note note = Note::none;
  Told told;
  bool still_good = false;
  std::string etag, body;
  Sec age = -1;                     // of the copy, -1 where it is not told
  std::vector<std::uint64_t> tags;  // that it names, as stable hashes
  bool tags_told = false;
};

// One hop; lives in its txn's task. Dropped while it is out, it is given up at the cache server too.
class Hop {
 public:
  struct What {
    int member = -1, source = -1;
    std::uint64_t id = 0;
    std::string_view id_text, body;          // as the client sent them
    std::string fields;                      // all but the limit, which is known only when it is written
    Sec until = 0;                           // its time-out, on the clock
    Sec by = kNoTime;                        // begins by then, or not at all
    bool last = false;                       // no other hop can follow its time-out
    bool effect = false;                     // its txn may not simply run again
    guard::RequestRecord* record = nullptr;  // what the guard knows of its request; null: it is not asked
    Sec copies_since = 0;                    // the purges that it was decided with
  };
  Hop(Scheduler& scheduler, Caches& caches, What what);
  Hop(const Hop&) = delete;
  Hop& operator=(const Hop&) = delete;
  ~Hop();

  bool ended() const { return state_ == State::ended; }
  Event::Awaiter wait();  // until it has ended or time_came() is to be called
  void time_came();
  void call_off();     // given up at the cache server; it ends once no answer can cross any more
  void drop();         // ends at once: nothing follows for its txn
  void drop_unsent();  // so does one of which no byte has left
  HopEnd& end() { return end_; }
  Sec started() const { return started_; }

 private:
  friend class Caches;
  enum class State { waiting, written, settling, ended };
  void finish(Verdict verdict);
  void settle(Verdict verdict);
  void wait_again();
  bool nothing_left() const;       // written, and the kernel has taken none of its bytes
  void ended_as(Verdict verdict);  // for the guard, once for each that it let pass

  Scheduler& scheduler_;
  Caches& caches_;
  What what_;
  Event event_;
  State state_ = State::waiting;
  Connection* over_ = nullptr;
  std::list<Hop*>::iterator place_;  // among those that have not ended
  bool begun_ = false;               // the guard let it pass, and does not know its end
  Sec started_, written_at_ = 0, settled_at_ = 0;
  std::uint64_t first_byte_ = 0, last_byte_ = 0;  // its place in the connection's bytes
  HopEnd end_;
};

class Caches {
 public:
  Caches(Scheduler& scheduler, Outbox& outbox, Log& log, std::size_t most_connections, int hops_a_connection,
         Sec dial_within, Sec closed_when_idle, bool cancels);
  ~Caches();

  int member(std::string_view id);  // its index, given at first sight
  std::string_view id(int member) const;
  int members() const { return static_cast<int>(peers_.size()); }
  int known(std::string_view id) const;  // -1 for none
  const Address& address(int member) const;
  bool listed_ready(int member) const;
  void told(int member, const Address& address, Listed state);
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
  friend class Hop;
  struct Peer;
  Peer& peer(int member) const { return *peers_[member]; }
  void start(Hop& hop);
  void give_up(Hop& hop);
  void cancel(Hop& hop);
  bool take_back(Hop& hop);
  void over_at(Connection& c, const Hop& hop, bool may_answer);
  bool may_write(Hop& hop, const Connection& over, Sec deadline);
  void closed_as(guard::EndpointClose why);
  void write(Hop& hop, Connection& over);
  void place(Peer& at);
  void dial_for(int member);
  bool make_room();
  Task connection(int member);
  bool take_answers(Connection& c);
  void answer(Connection& c, const std::vector<std::string_view>& words);
  void dial_failed(Peer& at, std::string_view why, guard::EndpointClose reason);
  template <class F>
  void drop_unsent(F&& concerned);

  Scheduler& scheduler_;
  Outbox& outbox_;
  Log& log_;
  const std::size_t most_connections_, hops_a_connection_;
  const Sec dial_within_, idle_;
  const bool cancels_;
  std::size_t connections_ = 0;  // of all peers, dials included, that hold a descriptor
  std::list<Connection*> all_connections_;
  std::list<Hop*> hops_;  // those that have not ended
  std::vector<std::unique_ptr<Peer>> peers_;
  std::unordered_map<std::string, int> index_;
  Commands* commands_ = nullptr;
  guard::Guard* guard_ = nullptr;  // null: no counts, no checks
};

}  // namespace walkpaddle::net
