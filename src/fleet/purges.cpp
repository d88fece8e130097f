#include "fleet/purges.h"

#include <algorithm>

namespace walkpaddle::fleet {

using purge::kLongest, purge::Patterns;

std::optional<Kind> kind_of(std::string_view name) {
  const auto* it = std::ranges::find(kKindNames, name);
  if (it == std::end(kKindNames)) return std::nullopt;
  return static_cast<Kind>(it - std::begin(kKindNames));
}

Purges::Purges(const Setup& setup, Seconds now)
    : setup_(setup),
      book_({.life = setup.copy_life, .entries = setup.entries}),
      // A second more than the settling: boxes' clocks and the way to them.
      cover_({.life = setup.fleet ? std::max(setup.copy_life, setup.settle + 1) : setup.settle + 1,
              .most = setup.fleet ? setup.entries : 4096,  // the bus's: far past any seen within a settling
              .objects = setup.objects}),
      boxes_(book_) {
  if (setup.fleet) sync_.emplace(book_, setup.peers, setup.lasting, setup.sync, now);
}

void Purges::bus_object(std::uint64_t object, Seconds from) { ++changes_, cover_.object(object, from); }
void Purges::bus_group(std::uint32_t group, Seconds from) { ++changes_, cover_.group(group, from); }
void Purges::bus_gap(bool open, Seconds) { ++changes_, gap_ = open; }
void Purges::bus_lost(Seconds now) { ++changes_, gap_ = false, cover_.all(now); }

std::optional<std::string> Purges::refusal(Kind kind, std::string_view what) const {
  const auto plain = [](char c) { return c > ' ' && c <= '~'; };
  if (!sync_) return "no fleet is set up: [fleet] is missing in the operator's file";
  if (kind == Kind::all)
    return what.empty() ? std::nullopt : std::optional<std::string>("'all' takes no name");
  if (what.empty() || what.size() > kLongest || !std::ranges::all_of(what, plain))
    return "it takes 1 to " + std::to_string(kLongest) + " visible characters without spaces";
  if (kind == Kind::group &&
      (what.size() > 3 || !std::ranges::all_of(what, [](char c) { return c >= '0' && c <= '9'; })))
    return "a group is a number from 0 to 255";
  if (kind == Kind::pattern) return Patterns::refusal(what);
  // Room for what is issued while nothing can be stored: the writer is behind or the disk is full.
  constexpr std::uint64_t kMostBehind = 65536;
  if (setup_.lasting && book_.places() - stored_ > kMostBehind) return "the store is too far behind";
  return std::nullopt;
}

void Purges::heard(const Entry& e) {
  ++changes_;
  cover_.add(e);
}

const Entry& Purges::issue(Kind kind, std::string what, Seconds now) {
  const auto& e = book_.issue(setup_.self, kind, std::move(what), now);
  heard(e);
  if (!setup_.lasting) sync_->issued(e);     // else once it is stored
  constexpr std::size_t kMostWatched = 256;  // more than an operator looks at
  issued_.emplace_back(e.stamp, 0);
  if (issued_.size() > kMostWatched) issued_.pop_front();
  look_accepted(now);
  return e;
}

void Purges::look_accepted(Seconds now) {
  for (auto& [stamp, at] : issued_) {
    if (at > 0) continue;
    const auto* e = book_.find(stamp.issuer, stamp.number);
    if (e != nullptr && sync_->holders(*e) >= sync_->majority()) at = now;
  }
}

Took Purges::take(const Stamp& stamp, Kind kind, std::string_view what, Seconds now) {
  if (kind == Kind::pattern && Patterns::refusal(what))
    kind = Kind::all, what = {};  // another version's: more
  const Entry* entry = nullptr;
  const auto took = book_.take(stamp, kind, what, now, &entry);
  if (entry != nullptr) heard(*entry);
  return took;
}

void Purges::after_input(Seconds now) {
  if (!sync_) return;
  if (const auto before = sync_->take_all_before()) ++changes_, cover_.all(*before);
  if (sync_->take_lost()) issue(Kind::all, "", now);
  look_accepted(now);
}

void Purges::restore(const Entry& e, Seconds now) {
  const Entry* entry = nullptr;
  // A clock set back since then must not make a purge younger than now.
  book_.restore(e.stamp, e.kind, e.what, std::min(e.from, now), e.place, now, &entry);
  if (entry != nullptr) heard(*entry);
}

void Purges::restore_base(std::uint64_t issuer, std::uint64_t base, Seconds given_up, Seconds now) {
  if (given_up > 0) cover_.all(std::min(given_up, now));
  book_.skip(issuer, base, std::min(given_up, now), now);
}

void Purges::restored() {
  to_store_ = stored_ = book_.places();
  book_.stored(stored_);
  if (setup_.lasting) boxes_.may_tell(stored_);
}

const Entry* Purges::next_to_store() const {
  return setup_.lasting ? book_.from_place(to_store_ + 1) : nullptr;
}

void Purges::stored(std::uint64_t place, Seconds now) {
  const auto before = stored_;
  stored_ = std::max(stored_, place);
  book_.stored(stored_);
  boxes_.may_tell(stored_);
  for (const auto* e = book_.from_place(before + 1); e != nullptr && e->place <= stored_;
       e = book_.from_place(e->place + 1))
    if (e->stamp.issuer == setup_.self) sync_->issued(*e);
  sync_->hold_more();
  look_accepted(now);
}

Purges::Standing Purges::standing(const Entry& e) const {
  Standing s{.held = true, .routers = setup_.peers + 1};
  s.holders = sync_->holders(e);
  s.accepted = s.holders >= sync_->majority();
  for (const auto& [stamp, at] : issued_)
    if (stamp == e.stamp) s.accepted_at = at;
  s.lacking = sync_->lacking(e);
  s.unconfirmed = boxes_.missing(e.place);
  return s;
}

Seconds Purges::age_limit(Seconds now) const {
  // While the bus's numbers are missing: a way to a box and back over links that are slow.
  constexpr Seconds kGap = 0.2;
  const Seconds fleet = sync_ ? sync_->age_limit(now) : 0;
  if (!gap_) return fleet;
  return fleet > 0 ? std::min(fleet, kGap) : kGap;
}

bool Purges::too_old(std::uint64_t object, std::uint32_t group, std::string_view name,
                     std::span<const std::uint64_t> tags, Seconds made, Seconds now) {
  const Seconds limit = age_limit(now);
  if (limit > 0 && made < now - limit) return true;
  return made < std::max(cover_.newest(object, group, name, now), cover_.newest_of(tags, now));
}

bool Purges::confirmed(int box, Seconds heard) const {
  const auto* next = book_.from_place(boxes_.confirmed_by(box) + 1);
  return next == nullptr || next->from > heard;
}

void Purges::trim(Seconds now) {
  constexpr std::size_t kATurn = 256;
  cover_.trim(now);
  book_.trim(now, kATurn, [&](const Entry& e, bool) {
    // While the disk takes nothing, what is not erased is dropped again after the next start.
    constexpr std::size_t kMostToErase = 65536;
    if (setup_.lasting && e.place <= stored_ && to_erase_.size() < kMostToErase) to_erase_.push_back(e.stamp);
  });
}

}  // namespace walkpaddle::fleet
