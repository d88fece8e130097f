// The ordered log of purges, without I/O. Each issuer numbers its own from 1; a router holds of each issuer
// an unbroken run and, beside it, what came early. All merge into one order by stamp.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "purge/entry.h"

namespace walkpaddle::purge {

enum class Took { fresh, early, known, full };

class Book {
 public:
  struct Bounds {
    Seconds life = 86400;         // no copy outlives this: older purges are dropped
    std::size_t entries = 65536;  // past it the oldest are given up to a coarser cover
    std::size_t issuers = 64;     // a router that starts without a store is a new issuer each time
    std::size_t early = 4096;     // of all issuers, with a gap before them
  };
  // What an issuer's run is known to be.
  struct Run {
    std::uint64_t through = 0;  // all up to here have been held
    std::uint64_t base = 0;     // up to here they were dropped since
    std::uint64_t durable = 0;  // up to here they would survive a restart of this router
    std::uint64_t told = 0;     // the highest number that anyone told of
    Seconds given_up = 0;       // newest `from` of those dropped for want of room, not of age; 0 for none
    Seconds last = 0;           // when it last grew
  };

  explicit Book(const Bounds& bounds) : bounds_(bounds) {}

  // A purge issued here; its stamp is after all that were seen. The caller has checked kind and text.
  const Entry& issue(std::uint64_t self, Kind kind, std::string what, Seconds now);
  // One told by others. Early ones are held and count at once, but
  // the run does not move past the gap before them. `full`: not taken; it will be asked for again. `taken`,
  // if given, is set to the entry that was made.
  Took take(const Stamp& stamp, Kind kind, std::string_view what, Seconds now,
            const Entry** taken = nullptr) {
    return restore(stamp, kind, what, now, 0, now, taken);
  }
  // The same from the store: with its own `from`, and its place, which rise from one call to the next.
  Took restore(const Stamp& stamp, Kind kind, std::string_view what, Seconds from, std::uint64_t place,
               Seconds now, const Entry** taken = nullptr);
  // An issuer's numbers up to `base` are held by nobody any more; `given_up` is the newest `from` of those
  // that were dropped for want of room, 0 for none: the caller covers all copies from before it first.
  void skip(std::uint64_t issuer, std::uint64_t base, Seconds given_up, Seconds now);
  void told(std::uint64_t issuer, std::uint64_t number);
  void stored(std::uint64_t place);  // all heard up to there would survive a restart

  // Drops what is too old and, past the bound, the oldest; `gone` is told each with whether it was for age.
  // At most `most` a call, so that no turn is held up.
  template <class F>
  void trim(Seconds now, std::size_t most, F&& gone) {
    for (; most > 0 && !heard_.empty(); --most) {
      const auto it = entries_.find(heard_.begin()->second);
      const bool aged = now - it->second.from > bounds_.life;
      if (!aged && entries_.size() <= bounds_.entries) break;
      gone(it->second, aged);
      drop(it, aged);
    }
    forget_issuers(now);
  }

  const std::map<std::uint64_t, Run>& runs() const { return runs_; }
  Run run(std::uint64_t issuer) const;
  bool has_gaps() const;  // numbers told of that are not held
  const Entry* find(std::uint64_t issuer, std::uint64_t number) const;
  const Entry* by_place(std::uint64_t place) const;    // null if dropped
  const Entry* from_place(std::uint64_t place) const;  // the first held at or after it
  std::uint64_t places() const { return places_; }     // given so far
  std::size_t size() const { return entries_.size(); }
  const std::map<Stamp, Entry>& entries() const { return entries_; }  // in the one order

 private:
  using At = std::map<Stamp, Entry>::iterator;
  bool room_for(std::uint64_t issuer) const {
    return runs_.contains(issuer) || runs_.size() < bounds_.issuers;
  }
  const Entry& add(const Stamp& stamp, Kind kind, std::string_view what, Seconds from,
                   std::uint64_t place = 0);
  void grow(std::uint64_t issuer, Seconds now);
  void drop(At it, bool aged);
  void forget_issuers(Seconds now);

  const Bounds bounds_;
  std::map<Stamp, Entry> entries_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, Stamp> numbers_;  // issuer and number
  std::map<std::uint64_t, Stamp> heard_;                              // by place
  std::map<std::uint64_t, Run> runs_;
  std::size_t early_ = 0;
  std::uint64_t places_ = 0;
  Seconds last_at_ = 0;
};

}  // namespace walkpaddle::purge
