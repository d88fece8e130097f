#include "purge/purge_log.h"

#include <algorithm>
#include <utility>

namespace walkpaddle::purge {

const PurgeEntry& PurgeLog::issue(std::uint64_t self, PurgeKind kind, std::string target, Seconds now) {
  constexpr Seconds kMinStep = 1e-6;  // a double that holds Unix seconds still resolves this step
  auto& progress = issuers_[self];
  const PurgeStamp stamp{std::max(now, last_issued_at_ + kMinStep), self, progress.contiguous + 1};
  progress.reported = std::max(progress.reported, stamp.number);
  const auto& entry = insert({stamp, kind, std::move(target), now, kNextPosition});
  advance(self, now);
  return entry;
}

AddResult PurgeLog::restore(PurgeEntry entry, Seconds now, const PurgeEntry** added) {
  const auto issuer = entry.stamp.issuer;
  const auto number = entry.stamp.number;
  if (!accepts_issuer(issuer)) return AddResult::full;
  auto& progress = issuers_[issuer];
  progress.reported = std::max(progress.reported, number);
  if (number <= progress.contiguous || contains(issuer, number)) return AddResult::known;
  const bool early = number != progress.contiguous + 1;
  if (early && early_entries_ >= limits_.early_entries) return AddResult::full;
  const auto& inserted = insert(std::move(entry));
  if (added != nullptr) *added = &inserted;
  if (early) {
    ++early_entries_;
    return AddResult::early;
  }
  advance(issuer, now);
  return AddResult::appended;
}

const PurgeEntry& PurgeLog::insert(PurgeEntry entry) {
  last_issued_at_ = std::max(last_issued_at_, entry.stamp.issued_at);
  last_position_ = std::max(last_position_ + 1, entry.position);
  entry.position = last_position_;
  by_number_[{entry.stamp.issuer, entry.stamp.number}] = entry.stamp;
  by_position_[entry.position] = entry.stamp;
  const auto stamp = entry.stamp;
  return entries_.emplace(stamp, std::move(entry)).first->second;
}

void PurgeLog::advance(std::uint64_t issuer, Seconds now) {
  auto& progress = issuers_[issuer];
  progress.advanced_at = now;
  ++progress.contiguous;
  absorb_early(issuer, progress);
}

// Extends the run over early entries that now follow it without a gap.
void PurgeLog::absorb_early(std::uint64_t issuer, IssuerProgress& progress) {
  while (contains(issuer, progress.contiguous + 1)) {
    ++progress.contiguous;
    --early_entries_;
  }
}

void PurgeLog::skip_dropped(std::uint64_t issuer, std::uint64_t dropped, Seconds evicted_valid_since,
                            Seconds now) {
  if (!accepts_issuer(issuer)) return;
  auto& progress = issuers_[issuer];
  progress.evicted_valid_since = std::max(progress.evicted_valid_since, evicted_valid_since);
  if (dropped <= progress.contiguous) return;
  progress.reported = std::max(progress.reported, dropped);
  // Early entries up to `dropped` stay in the log and now belong to the run.
  for (auto it = by_number_.lower_bound({issuer, progress.contiguous + 1});
       it != by_number_.end() && it->first.first == issuer && it->first.second <= dropped &&
       early_entries_ > 0;
       ++it)
    --early_entries_;
  progress.dropped = dropped;
  progress.contiguous = dropped;
  progress.durable = std::max(progress.durable, dropped);
  progress.advanced_at = now;
  absorb_early(issuer, progress);
}

void PurgeLog::note_reported(std::uint64_t issuer, std::uint64_t number) {
  if (!accepts_issuer(issuer)) return;
  auto& progress = issuers_[issuer];
  progress.reported = std::max(progress.reported, number);
}

void PurgeLog::mark_durable(std::uint64_t position) {
  for (auto& [issuer, progress] : issuers_) {
    progress.durable = std::max(progress.durable, progress.dropped);
    for (auto it = by_number_.find({issuer, progress.durable + 1});
         progress.durable < progress.contiguous && it != by_number_.end() && it->first.first == issuer;
         ++it) {
      if (entries_.at(it->second).position > position) break;
      progress.durable = it->first.second;
    }
  }
}

void PurgeLog::drop(Entries::iterator it, DropReason reason) {
  const auto& entry = it->second;
  auto& progress = issuers_[entry.stamp.issuer];
  if (entry.stamp.number <= progress.contiguous)
    progress.dropped = std::max(progress.dropped, entry.stamp.number);
  else
    --early_entries_;
  if (reason == DropReason::evicted)
    progress.evicted_valid_since = std::max(progress.evicted_valid_since, entry.valid_since);
  by_number_.erase({entry.stamp.issuer, entry.stamp.number});
  by_position_.erase(entry.position);
  entries_.erase(it);
}

// Once the limit on issuers is reached, forgets those whose entries are all dropped and whose run has not
// grown for twice the greatest age of a copy. Such an issuer's progress is no longer needed: a router without
// a store has a new id after a restart, and one with a store continues its own numbers.
void PurgeLog::forget_issuers(Seconds now) {
  if (issuers_.size() < limits_.issuers) return;
  std::erase_if(issuers_, [&](const auto& issuer) {
    const auto& progress = issuer.second;
    return progress.dropped == progress.contiguous && now - progress.advanced_at > 2 * limits_.max_age;
  });
}

PurgeLog::IssuerProgress PurgeLog::progress(std::uint64_t issuer) const {
  const auto it = issuers_.find(issuer);
  return it == issuers_.end() ? IssuerProgress{} : it->second;
}

bool PurgeLog::has_gaps() const {
  return std::ranges::any_of(
      issuers_, [](const auto& issuer) { return issuer.second.reported > issuer.second.contiguous; });
}

const PurgeEntry* PurgeLog::find(std::uint64_t issuer, std::uint64_t number) const {
  const auto it = by_number_.find({issuer, number});
  return it == by_number_.end() ? nullptr : &entries_.at(it->second);
}

const PurgeEntry* PurgeLog::at_or_after(std::uint64_t position) const {
  const auto it = by_position_.lower_bound(position);
  return it == by_position_.end() ? nullptr : &entries_.at(it->second);
}

}  // namespace walkpaddle::purge
