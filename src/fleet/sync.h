// How routers keep one book of purges, without I/O. Beats carry what each router holds of each issuer; who
// lacks some asks for exactly those. A purge is accepted once a majority holds it, and a router trusts its
// own book while it was complete with a majority a lease ago at most: two majorities share a router, so what
// was accepted a lease ago is known to every router that trusts its book. The others bound the age of all
// copies by the lease.
//
// Times echo: a beat brings back the latest time that its sender had from us, on our clock. What it tells was
// so no earlier than that, however far apart the clocks are and however long messages take.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "purge/book.h"

namespace walkpaddle::fleet {

using purge::Book;
using purge::Entry;

class Sync {
 public:
  struct Bounds {
    Seconds lease = 2;
    Seconds beat = 0.4;  // a fifth of the lease: three may be lost in a row
  };
  // What to send to one peer.
  struct Send {
    enum class Kind { beat, entry, want };
    Kind kind = Kind::beat;
    int peer = -1;
    const Entry* entry = nullptr;
    std::uint64_t issuer = 0, from = 0;  // want: this issuer's numbers from here on
    Seconds echo = 0;                    // beat: the latest time had from that peer, on its clock
  };
  struct Peer {
    bool up = false, whole = false, heard = false;
    Seconds complete_at = 0;  // our clock: no purge held there by then is unknown here
    Seconds theirs = 0;       // the latest time had from it, on its clock
    Seconds beat_at = 0, heard_at = 0;
    bool beat_now = false;
    std::map<std::uint64_t, std::uint64_t> heads;
    std::deque<std::pair<std::uint64_t, std::uint64_t>> to_send;  // issuer, next number
    struct Pending {
      Seconds echo = 0;
      std::vector<std::pair<std::uint64_t, std::uint64_t>> heads;
    };
    std::deque<Pending> pending;                                // told, not yet held here
    std::vector<std::pair<std::uint64_t, std::uint64_t>> beat;  // the one that is being read
  };

  // lasting: the book survives a restart. Without that a start is told apart from an empty book.
  Sync(Book& book, int peers, bool lasting, const Bounds& bounds, Seconds now);

  // Inputs. A beat comes as its begin, a head for each issuer, its end.
  void up(int peer);
  void down(int peer);
  void beat(int peer, Seconds theirs, Seconds echo, bool whole);
  // given_up_ago: how long ago the newest purge was issued that the peer gave up for want of room, 0 for none
  void head(int peer, std::uint64_t issuer, std::uint64_t number, std::uint64_t base, Seconds given_up_ago,
            Seconds now);
  void beat_end(int peer, Seconds now);
  void entries_came(Seconds now);  // after each that was taken
  void want(int peer, std::uint64_t issuer, std::uint64_t from);
  void issued(const Entry& entry);
  void hold_more();  // more is durable here: peers hear at once

  std::optional<Send> next(Seconds now);  // until none
  Seconds next_due() const;               // when next() may have more without an input

  // What stands.
  bool whole() const { return whole_; }   // all that was accepted before this start is held again
  Seconds trusted_at(Seconds now) const;  // the book was complete then; 0: never
  bool trusted(Seconds now) const { return now - trusted_at(now) <= bounds_.lease; }
  Seconds age_limit(Seconds now) const {
    return trusted(now) ? 0 : bounds_.lease;
  }  // for every copy; 0: none
  int majority() const { return static_cast<int>(peers_.size() + 1) / 2 + 1; }
  int holders(const Entry& entry) const;  // routers that hold it for good, this one included
  std::vector<int> lacking(const Entry& entry) const;
  std::uint64_t held(
      std::uint64_t issuer) const;  // what beats tell of an issuer: for good, if the book lasts
  const std::vector<Peer>& peers() const { return peers_; }
  // Since purges were given up for want of room: before when all copies are old here; once.
  std::optional<Seconds> take_all_before() { return std::exchange(all_before_, std::nullopt); }
  // Purges were lost with the routers' memory: a purge of everything is to be issued before next(); once.
  bool take_lost() { return std::exchange(lost_, false); }

 private:
  void settle(Peer& peer);
  void recover();
  void ask(Seconds now);

  Book& book_;
  const bool lasting_;
  const Bounds bounds_;
  const Seconds started_;
  bool whole_;
  std::vector<Peer> peers_;
  std::map<std::uint64_t, std::pair<std::uint64_t, Seconds>> asked_;  // by issuer: through then, and when
  std::deque<Send> wants_;
  std::optional<Seconds> all_before_;
  bool lost_ = false;
};

}  // namespace walkpaddle::fleet
