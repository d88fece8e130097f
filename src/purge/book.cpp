#include "purge/book.h"

#include <algorithm>

namespace walkpaddle::purge {

const Entry& Book::issue(std::uint64_t self, Kind kind, std::string what, Seconds now) {
  constexpr Seconds kAfter = 1e-6;  // the least step that a double of Unix seconds still holds
  auto& run = runs_[self];
  const Stamp stamp{std::max(now, last_at_ + kAfter), self, run.through + 1};
  run.told = std::max(run.told, stamp.number);
  const auto& entry = add(stamp, kind, what, now);
  grow(self, now);
  return entry;
}

Took Book::restore(const Stamp& stamp, Kind kind, std::string_view what, Seconds from, std::uint64_t place,
                   Seconds now, const Entry** taken) {
  if (!room_for(stamp.issuer)) return Took::full;
  auto& run = runs_[stamp.issuer];
  run.told = std::max(run.told, stamp.number);
  if (stamp.number <= run.through || numbers_.contains({stamp.issuer, stamp.number})) return Took::known;
  const bool early = stamp.number != run.through + 1;
  if (early && early_ >= bounds_.early) return Took::full;
  const auto& entry = add(stamp, kind, what, from, place);
  if (taken != nullptr) *taken = &entry;
  if (early) return ++early_, Took::early;
  grow(stamp.issuer, now);
  return Took::fresh;
}

const Entry& Book::add(const Stamp& stamp, Kind kind, std::string_view what, Seconds from,
                       std::uint64_t place) {
  last_at_ = std::max(last_at_, stamp.at);
  places_ = std::max(places_ + 1, place);
  numbers_[{stamp.issuer, stamp.number}] = stamp;
  heard_[places_] = stamp;
  return entries_.emplace(stamp, Entry{stamp, kind, std::string(what), from, places_}).first->second;
}

void Book::grow(std::uint64_t issuer, Seconds now) {
  auto& run = runs_[issuer];
  run.last = now;
  ++run.through;
  while (numbers_.contains({issuer, run.through + 1})) ++run.through, --early_;
}

void Book::skip(std::uint64_t issuer, std::uint64_t base, Seconds given_up, Seconds now) {
  if (!room_for(issuer)) return;
  auto& run = runs_[issuer];
  run.given_up = std::max(run.given_up, given_up);
  if (base <= run.through) return;
  run.told = std::max(run.told, base);
  // What was held early below the base stays; the run takes it in.
  for (auto n = run.through + 1; n <= base && early_ > 0;) {
    const auto it = numbers_.lower_bound({issuer, n});
    if (it == numbers_.end() || it->first.first != issuer || it->first.second > base) break;
    n = it->first.second + 1, --early_;
  }
  run.base = run.through = base;
  run.durable = std::max(run.durable, base);
  run.last = now;
  while (numbers_.contains({issuer, run.through + 1})) ++run.through, --early_;
}

void Book::told(std::uint64_t issuer, std::uint64_t number) {
  if (!room_for(issuer)) return;
  auto& run = runs_[issuer];
  run.told = std::max(run.told, number);
}

void Book::stored(std::uint64_t place) {
  for (auto& [issuer, run] : runs_) {
    run.durable = std::max(run.durable, run.base);
    for (auto it = numbers_.find({issuer, run.durable + 1});
         run.durable < run.through && it != numbers_.end() && it->first.first == issuer; ++it) {
      if (entries_.at(it->second).place > place) break;
      run.durable = it->first.second;
    }
  }
}

void Book::drop(At it, bool aged) {
  const auto& e = it->second;
  auto& run = runs_[e.stamp.issuer];
  if (e.stamp.number <= run.through)
    run.base = std::max(run.base, e.stamp.number);
  else
    --early_;
  if (!aged) run.given_up = std::max(run.given_up, e.from);
  numbers_.erase({e.stamp.issuer, e.stamp.number});
  heard_.erase(e.place);
  entries_.erase(it);
}

// An issuer of whom nothing is held and nothing came for two lives is forgotten: it will not come back, since
// a router without a store starts under a new id and one with a store keeps its numbers there.
void Book::forget_issuers(Seconds now) {
  if (runs_.size() < bounds_.issuers) return;
  std::erase_if(runs_, [&](const auto& r) {
    return r.second.base == r.second.through && now - r.second.last > 2 * bounds_.life;
  });
}

Book::Run Book::run(std::uint64_t issuer) const {
  const auto it = runs_.find(issuer);
  return it == runs_.end() ? Run{} : it->second;
}

bool Book::has_gaps() const {
  return std::ranges::any_of(runs_, [](const auto& r) { return r.second.told > r.second.through; });
}

const Entry* Book::find(std::uint64_t issuer, std::uint64_t number) const {
  const auto it = numbers_.find({issuer, number});
  return it == numbers_.end() ? nullptr : &entries_.at(it->second);
}

const Entry* Book::by_place(std::uint64_t place) const {
  const auto it = heard_.find(place);
  return it == heard_.end() ? nullptr : &entries_.at(it->second);
}

const Entry* Book::from_place(std::uint64_t place) const {
  const auto it = heard_.lower_bound(place);
  return it == heard_.end() ? nullptr : &entries_.at(it->second);
}

}  // namespace walkpaddle::purge
