// The purges of one router, without I/O: those of the bus and those of the fleet, in one cover; what an
// object's copies may be; who has confirmed what. A host feeds it and pulls what is to be sent and stored.
// Units: seconds on the host's clock. Errors: a purge that cannot be used is refused with a reason, no
// exception.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/sync.h"
#include "purge/book.h"
#include "purge/boxes.h"
#include "purge/cover.h"

namespace walkpaddle::fleet {

using purge::Boxes, purge::Cover, purge::Kind, purge::Stamp, purge::Took;

constexpr std::string_view kKindNames[] = {"object", "group", "tag", "pattern", "all"};
std::optional<Kind> kind_of(std::string_view name);

class Purges {
 public:
  struct Setup {
    Seconds settle = 6;  // the bus's purges are done at all boxes by then
    bool fleet = false;  // the rest counts only where purges go between routers
    int peers = 0;
    bool lasting = false;
    std::uint64_t self = 0;  // as an issuer: the same after a restart if lasting, else never used before
    Seconds copy_life = 86400;
    Sync::Bounds sync;
    std::size_t entries = 65536, objects = 16384;
  };
  struct Standing {
    bool held = false;      // stands in the book
    bool accepted = false;  // a majority holds it: it will be in force everywhere within the lease
    int holders = 0, routers = 0;
    Seconds accepted_at =
        0;  // of one issued here since the start: when that was first seen; 0 where it is not known
    std::vector<int> lacking{}, unconfirmed{};  // peers, boxes
  };

  Purges(const Setup& setup, Seconds now);

  // The bus.
  void bus_object(std::uint64_t object, Seconds from);
  void bus_group(std::uint32_t group, Seconds from);
  // Numbers of the bus are missing: until they came every copy counts as old that may be one of theirs. If
  // the bus will not tell them again, all from before now are old.
  void bus_gap(bool open, Seconds now);
  void bus_lost(Seconds now);

  // Operators.
  std::optional<std::string> refusal(Kind kind, std::string_view what) const;
  const Entry& issue(Kind kind, std::string what, Seconds now);  // refusal() let it pass
  Standing standing(const Entry& entry) const;

  // Between routers; null where there is none.
  Sync* sync() { return sync_ ? &*sync_ : nullptr; }
  const Sync* sync() const { return sync_ ? &*sync_ : nullptr; }
  Took take(const Stamp& stamp, Kind kind, std::string_view what, Seconds now);  // told by a peer
  void after_input(Seconds now);  // once after each of sync()'s inputs

  // The store.
  void restore(const Entry& entry, Seconds now);  // then these, by place
  void restore_base(std::uint64_t issuer, std::uint64_t base, Seconds given_up, Seconds now);  // first
  void restored();
  const Entry* next_to_store() const;
  void handed_to_store(const Entry& entry) { to_store_ = entry.place; }
  const Stamp* next_to_erase() const { return to_erase_.empty() ? nullptr : &to_erase_.front(); }
  void erased() { to_erase_.pop_front(); }
  void stored(std::uint64_t place, Seconds now);

  // What holds for a txn's copies.
  Seconds since(std::uint64_t object, std::uint32_t group, std::string_view name, Seconds now) {
    return cover_.newest(object, group, name, now);
  }
  Seconds age_limit(Seconds now) const;  // of every copy, 0 for none
  // Whether an answer's copy, made at that time, may go out now; its own tags count too.
  bool too_old(std::uint64_t object, std::uint32_t group, std::string_view name,
               std::span<const std::uint64_t> tags, Seconds made, Seconds now);
  void learn(std::uint64_t object, std::span<const std::uint64_t> tags, Seconds now) {
    if (setup_.fleet) cover_.learn(object, tags, now);
  }
  std::uint64_t changes() const { return changes_; }  // of the cover, since the start

  void trim(Seconds now);  // a bounded part a call
  // Whether a box has confirmed every purge that was heard by then: paths past the routers may lead there.
  bool confirmed(int box, Seconds heard) const;
  Boxes& boxes() { return boxes_; }
  const Book& book() const { return book_; }
  const Setup& setup() const { return setup_; }
  Seconds delay() const { return setup_.sync.lease; }  // promised from accepted to no old copy at any router
  std::size_t in_force() const { return cover_.size(); }

 private:
  void heard(const Entry& entry);
  void look_accepted(Seconds now);

  const Setup setup_;
  Book book_;
  Cover cover_;
  Boxes boxes_;
  std::optional<Sync> sync_;
  bool gap_ = false;
  std::uint64_t changes_ = 0, stored_ = 0, to_store_ = 0;
  std::deque<Stamp> to_erase_;
  std::deque<std::pair<Stamp, Seconds>> issued_;  // here, the latest, and when each was accepted
};

}  // namespace walkpaddle::fleet
