#include "purge/purge_registry.h"

#include <algorithm>

namespace walkpaddle::purge {

namespace {

constexpr std::size_t kDiscoveryEntriesPerKind = 4096;  // far more than arrive within a settle time
constexpr std::uint64_t kMaxStoreLag = 65536;           // entries that may wait for the store
constexpr std::size_t kMaxErasuresPending = 65536;
constexpr std::size_t kMaxIssuedTracked = 256;  // more than an operator follows at a time

PurgeIndex::Limits index_limits(const PurgeRegistry::Setup& setup) {
  // One second more than the settle time allows for clock differences to cache servers and network delay.
  const Seconds discovery_age = setup.discovery_settle_time + 1;
  return {.max_age = setup.replicated ? std::max(setup.max_copy_age, discovery_age) : discovery_age,
          .entries_per_kind = setup.replicated ? setup.max_entries : kDiscoveryEntriesPerKind,
          .objects = setup.max_objects};
}

bool is_visible(char c) { return c > ' ' && c <= '~'; }

bool is_digit(char c) { return c >= '0' && c <= '9'; }

}  // namespace

PurgeRegistry::PurgeRegistry(const Setup& setup, Seconds now)
    : setup_(setup),
      log_({.max_age = setup.max_copy_age, .entries = setup.max_entries}),
      index_(index_limits(setup)),
      delivery_(log_) {
  if (setup.replicated) replication_.emplace(log_, setup.peer_count, setup.storage, setup.timing, now);
}

void PurgeRegistry::discovery_purged_object(std::uint64_t object, Seconds valid_since) {
  ++version_;
  index_.add_object(object, valid_since);
}

void PurgeRegistry::discovery_purged_group(std::uint32_t group, Seconds valid_since) {
  ++version_;
  index_.add_group(group, valid_since);
}

void PurgeRegistry::set_discovery_gap(bool open) {
  ++version_;
  discovery_gap_ = open;
}

void PurgeRegistry::discovery_purges_lost(Seconds now) {
  discovery_gap_ = false;
  put_all_in_force(now);
}

std::optional<std::string> PurgeRegistry::rejection_reason(PurgeKind kind, std::string_view target) const {
  if (!replication_)
    return "purges are not replicated: the operator's file has no fleet section or sets purges = false";
  if (kind == PurgeKind::all) {
    if (target.empty()) return std::nullopt;
    return "'all' takes no target";
  }
  if (target.empty() || target.size() > kMaxTargetBytes || !std::ranges::all_of(target, is_visible))
    return "the target must have 1 to " + std::to_string(kMaxTargetBytes) +
           " printable characters without spaces";
  if (kind == PurgeKind::group && (target.size() > 3 || !std::ranges::all_of(target, is_digit)))
    return "a group is a number from 0 to 255";
  if (kind == PurgeKind::pattern) return PurgePatterns::rejection_reason(target);
  // The store's writer is too slow, or its writes fail, for example on a full disk.
  if (is_disk_backed() && log_.last_position() - stored_position_ > kMaxStoreLag)
    return "too many purges wait to be written to the store";
  return std::nullopt;
}

void PurgeRegistry::put_in_force(const PurgeEntry& entry) {
  ++version_;
  index_.add(entry);
}

void PurgeRegistry::put_all_in_force(Seconds valid_since) {
  ++version_;
  index_.add_all(valid_since);
}

const PurgeEntry& PurgeRegistry::issue(PurgeKind kind, std::string target, Seconds now) {
  const auto& entry = log_.issue(setup_.self, kind, std::move(target), now);
  put_in_force(entry);
  if (!is_disk_backed()) replication_->broadcast(entry);  // otherwise mark_stored() does it
  issued_.emplace_back(entry.stamp, 0);
  if (issued_.size() > kMaxIssuedTracked) issued_.pop_front();
  note_accepted(now);
  return entry;
}

void PurgeRegistry::note_accepted(Seconds now) {
  for (auto& [stamp, accepted_at] : issued_) {
    if (accepted_at > 0) continue;
    const auto* entry = log_.find(stamp.issuer, stamp.number);
    if (entry != nullptr && replication_->replicas(*entry) >= replication_->majority()) accepted_at = now;
  }
}

AddResult PurgeRegistry::add(const PurgeStamp& stamp, PurgeKind kind, std::string_view target, Seconds now) {
  if (kind == PurgeKind::pattern && PurgePatterns::rejection_reason(target)) {
    // A peer of another version accepts this pattern. A purge of everything covers at least as much.
    kind = PurgeKind::all;
    target = {};
  }
  const PurgeEntry* added = nullptr;
  const auto result = log_.add(stamp, kind, target, now, &added);
  if (added != nullptr) put_in_force(*added);
  return result;
}

void PurgeRegistry::after_input(Seconds now) {
  if (!replication_) return;
  if (const auto stale_before = replication_->take_stale_before()) put_all_in_force(*stale_before);
  if (replication_->take_purges_lost()) issue(PurgeKind::all, "", now);
  note_accepted(now);
}

void PurgeRegistry::restore(const PurgeEntry& entry, Seconds now) {
  const PurgeEntry* added = nullptr;
  auto restored = entry;
  // If the clock was set back since the purge was stored, its valid_since must not be in the future.
  restored.valid_since = std::min(entry.valid_since, now);
  log_.restore(std::move(restored), now, &added);
  log_.skip_positions(entry.position);  // also where the log has no room for the entry
  if (added != nullptr) put_in_force(*added);
}

void PurgeRegistry::restore_dropped(std::uint64_t issuer, std::uint64_t dropped, Seconds evicted_valid_since,
                                    Seconds now) {
  const Seconds valid_since = std::min(evicted_valid_since, now);
  if (evicted_valid_since > 0) index_.add_all(valid_since);
  log_.skip_dropped(issuer, dropped, valid_since, now);
}

void PurgeRegistry::finish_restore() {
  stored_position_ = log_.last_position();
  queued_position_ = stored_position_;
  log_.mark_durable(stored_position_);
  if (is_disk_backed()) delivery_.allow_up_to(stored_position_);
}

const PurgeEntry* PurgeRegistry::next_to_store() const {
  return is_disk_backed() ? log_.at_or_after(queued_position_ + 1) : nullptr;
}

void PurgeRegistry::mark_stored(std::uint64_t position, Seconds now) {
  const auto before = stored_position_;
  stored_position_ = std::max(stored_position_, position);
  log_.mark_durable(stored_position_);
  delivery_.allow_up_to(stored_position_);
  for (const auto* entry = log_.at_or_after(before + 1);
       entry != nullptr && entry->position <= stored_position_; entry = log_.at_or_after(entry->position + 1))
    if (entry->stamp.issuer == setup_.self) replication_->broadcast(*entry);
  replication_->expedite_heartbeats();
  note_accepted(now);
}

PurgeRegistry::Status PurgeRegistry::status(const PurgeEntry& entry) const {
  Status status{.routers = setup_.peer_count + 1};
  status.replicas = replication_->replicas(entry);
  status.accepted = status.replicas >= replication_->majority();
  for (const auto& [stamp, accepted_at] : issued_)
    if (stamp == entry.stamp) status.accepted_at = accepted_at;
  status.peers_lacking = replication_->peers_lacking(entry);
  status.servers_unconfirmed = delivery_.unconfirmed(entry.position);
  return status;
}

Seconds PurgeRegistry::copy_age_limit(Seconds now) const {
  // Age limit while watch events are missing: the round trip time to a cache server over a slow link.
  constexpr Seconds kGapAgeLimit = 0.2;
  const Seconds fleet_limit = replication_ ? replication_->copy_age_limit(now) : 0;
  if (!discovery_gap_) return fleet_limit;
  return fleet_limit > 0 ? std::min(fleet_limit, kGapAgeLimit) : kGapAgeLimit;
}

bool PurgeRegistry::is_stale(std::uint64_t object, std::uint32_t group, std::string_view name,
                             std::span<const std::uint64_t> tags, Seconds made_at, Seconds now) {
  const Seconds age_limit = copy_age_limit(now);
  if (age_limit > 0 && made_at < now - age_limit) return true;
  return made_at <
         std::max(index_.valid_since(object, group, name, now), index_.valid_since_for_tags(tags, now));
}

bool PurgeRegistry::delivered_to(int server, Seconds valid_since) const {
  const auto* next = log_.at_or_after(delivery_.confirmed_by(server) + 1);
  return next == nullptr || next->valid_since > valid_since;
}

void PurgeRegistry::trim(Seconds now) {
  constexpr std::size_t kMaxDropsPerTrim = 256;
  index_.trim(now);
  log_.trim(now, kMaxDropsPerTrim, [&](const PurgeEntry& entry) {
    // The queue may be full while writes fail. Entries left in the store are dropped again after a restart.
    if (is_disk_backed() && entry.position <= stored_position_ && to_erase_.size() < kMaxErasuresPending)
      to_erase_.push_back({entry.stamp, entry.position});
  });
}

}  // namespace walkpaddle::purge
