#include "gossip/snapshot_replicas.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace walkpaddle::gossip {

namespace {

constexpr std::size_t kMaxOutgoing = 256;  // above this requests are not answered

bool is_complete(const std::vector<ReplicatedSnapshot>& parts) {
  return !parts.empty() && static_cast<int>(parts.size()) == parts.front().parts;
}

// The entries of one part, `per_part` in each.
template <class Entry>
std::vector<Entry> slice(const std::vector<Entry>& all, int part, std::size_t per_part) {
  const auto first = std::min(all.size(), static_cast<std::size_t>(part) * per_part);
  const auto end = std::min(all.size(), first + per_part);
  return {all.begin() + static_cast<std::ptrdiff_t>(first), all.begin() + static_cast<std::ptrdiff_t>(end)};
}

ReplicatedSnapshot assemble(std::uint64_t router, const std::vector<ReplicatedSnapshot>& parts) {
  ReplicatedSnapshot all{.router = router, .taken_at = parts.front().taken_at};
  for (const auto& part : parts) {
    all.limits.insert(all.limits.end(), part.limits.begin(), part.limits.end());
    all.objects.insert(all.objects.end(), part.objects.begin(), part.objects.end());
    if (part.part != 0) continue;
    all.link_limit = part.link_limit;
    all.miss_ratio = part.miss_ratio;
    all.service_times = part.service_times;
  }
  return all;
}

}  // namespace

SnapshotReplicas::SnapshotReplicas(const membership::Membership& members, const Bounds& bounds, Seconds now)
    : members_(members),
      bounds_(bounds),
      started_(now),
      replicate_at_(now + bounds.interval),
      request_at_(now) {}

// Rendezvous hashing: a restarted router finds the holders of before, if the same members are alive.
std::vector<int> SnapshotReplicas::replica_holders(std::uint64_t router) const {
  std::vector<std::pair<std::uint64_t, int>> order;
  const auto& peers = members_.peers();
  for (std::size_t p = 0; p < peers.size(); ++p) {
    if (peers[p].state != membership::MemberState::alive) continue;
    const std::uint64_t both[] = {router, peers[p].name};
    order.emplace_back(XXH3_64bits(both, sizeof both), static_cast<int>(p));
  }
  std::ranges::sort(order);
  order.resize(std::min(order.size(), static_cast<std::size_t>(bounds_.replicas)));
  std::vector<int> holders;
  holders.reserve(order.size());
  for (const auto& [hash, p] : order) holders.push_back(p);
  return holders;
}

void SnapshotReplicas::drop_expired(Seconds now) {
  const auto expired = [&](const Parts& parts) {
    return parts.empty() || parts.front().taken_at < now - bounds_.retention;
  };
  std::erase_if(replicas_,
                [&](const auto& of) { return expired(of.second.complete) && expired(of.second.incoming); });
}

void SnapshotReplicas::replicate(ReplicatedSnapshot snapshot, Seconds now) {
  replicate_at_ = now + bounds_.interval;
  recovery_over_ = true;  // a snapshot from before the start is out of date now
  drop_expired(now);
  const auto self = members_.self().member;
  auto limits = std::exchange(snapshot.limits, {});
  auto objects = std::exchange(snapshot.objects, {});
  limits.resize(std::min(limits.size(), bounds_.max_limits));
  std::ranges::sort(objects, std::greater<>(), &ReplicatedSnapshot::ObjectCount::count);
  objects.resize(std::min(objects.size(), bounds_.max_objects));
  snapshot.router = self;
  snapshot.taken_at = now;
  const auto per_part = bounds_.entries_per_part;
  const auto longest = std::max(limits.size(), objects.size());
  snapshot.parts = static_cast<int>(std::max<std::size_t>(1, (longest + per_part - 1) / per_part));
  const auto holders = replica_holders(self);
  for (snapshot.part = 0; snapshot.part < snapshot.parts; ++snapshot.part) {
    snapshot.limits = slice(limits, snapshot.part, per_part);
    snapshot.objects = slice(objects, snapshot.part, per_part);
    const auto part = std::make_shared<const ReplicatedSnapshot>(snapshot);
    for (const int p : holders) outgoing_.push_back({p, part});
    snapshot.service_times.clear();  // in the first part only
  }
}

bool SnapshotReplicas::acceptable(std::uint64_t from, const ReplicatedSnapshot& part, Seconds now) const {
  constexpr Seconds kMaxAhead = 1;  // how far the sender's clock may be ahead
  const auto max_parts =
      static_cast<int>((bounds_.max_limits + bounds_.entries_per_part - 1) / bounds_.entries_per_part);
  const bool valid_part_number =
      part.parts >= 1 && part.parts <= max_parts && part.part >= 0 && part.part < part.parts;
  const bool fits =
      part.limits.size() <= bounds_.entries_per_part && part.objects.size() <= bounds_.entries_per_part;
  const bool permitted_sender = part.router == members_.self().member || part.router == from;
  return valid_part_number && fits && permitted_sender && part.taken_at <= now + kMaxAhead;
}

// Collects the parts of one snapshot. A part of a later snapshot discards an incomplete earlier one; the last
// complete snapshot stays until a later one is complete.
void SnapshotReplicas::receive(std::uint64_t from, ReplicatedSnapshot part, Seconds now) {
  if (!acceptable(from, part, now)) return;
  const auto self = members_.self().member;
  const bool own = part.router == self;
  auto& parts = own ? own_parts_ : replicas_[from].incoming;
  if (!parts.empty()) {
    const auto& first = parts.front();
    if (part.taken_at < first.taken_at) return;
    if (part.taken_at > first.taken_at || part.parts != first.parts) parts.clear();
  }
  if (std::ranges::find(parts, part.part, &ReplicatedSnapshot::part) != parts.end()) return;
  parts.push_back(std::move(part));
  if (!is_complete(parts)) return;
  auto complete = std::exchange(parts, {});
  if (own)
    recover(assemble(self, complete));
  else
    replicas_[from].complete = std::move(complete);
}

void SnapshotReplicas::recover(ReplicatedSnapshot snapshot) {
  if (recovery_over_ || snapshot.taken_at <= newest_recovered_) return;
  newest_recovered_ = snapshot.taken_at;
  recovered_ = std::move(snapshot);
}

std::optional<ReplicatedSnapshot> SnapshotReplicas::take_recovered() {
  return std::exchange(recovered_, std::nullopt);
}

void SnapshotReplicas::handle_request(int from) {
  const auto it = replicas_.find(members_.peers()[static_cast<std::size_t>(from)].name);
  if (it == replicas_.end() || outgoing_.size() > kMaxOutgoing) return;
  for (const auto& part : it->second.complete)
    outgoing_.push_back({from, std::make_shared<const ReplicatedSnapshot>(part)});
}

// After its start a router repeats its requests for a while, as it finds more of its peers alive. The newest
// snapshot that arrives is used.
std::optional<SnapshotReplicas::Send> SnapshotReplicas::next(Seconds now) {
  if (!recovery_over_ && now >= started_ + bounds_.request_for) recovery_over_ = true;
  if (!recovery_over_ && now >= request_at_) {
    request_at_ = now + bounds_.request_interval;
    for (const int p : replica_holders(members_.self().member)) outgoing_.push_back({p, nullptr});
  }
  if (outgoing_.empty()) return std::nullopt;
  auto send = std::move(outgoing_.front());
  outgoing_.pop_front();
  return send;
}

Seconds SnapshotReplicas::next_due() const {
  if (recovery_over_) return replicate_at_;
  return std::min({replicate_at_, request_at_, started_ + bounds_.request_for});
}

}  // namespace walkpaddle::gossip
