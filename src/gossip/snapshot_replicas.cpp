#include "gossip/snapshot_replicas.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace walkpaddle::gossip {

namespace {

constexpr std::size_t kMaxOutgoing = 256;  // past it requests are not answered

bool is_whole(const std::vector<ReplicatedSnapshot>& parts) {
  return !parts.empty() && static_cast<int>(parts.size()) == parts.front().parts;
}

// The entries of one part, of `per_part` each.
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

// Rendezvous hashing: the same at the start as before it, while the same are alive.
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

void SnapshotReplicas::drop_past(Seconds now) {
  const auto past = [&](const Parts& parts) {
    return parts.empty() || parts.front().taken_at < now - bounds_.retention;
  };
  std::erase_if(replicas_, [&](const auto& of) { return past(of.second.whole) && past(of.second.incoming); });
}

void SnapshotReplicas::replicate(ReplicatedSnapshot snapshot, Seconds now) {
  replicate_at_ = now + bounds_.interval;
  requests_over_ = true;  // what was kept from before is past
  drop_past(now);
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
    snapshot.service_times.clear();  // with the first part alone
  }
}

bool SnapshotReplicas::acceptable(std::uint64_t from, const ReplicatedSnapshot& part, Seconds now) const {
  constexpr Seconds kMaxAhead = 1;  // of the sender's clock
  const auto max_parts =
      static_cast<int>((bounds_.max_limits + bounds_.entries_per_part - 1) / bounds_.entries_per_part);
  const bool numbered =
      part.parts >= 1 && part.parts <= max_parts && part.part >= 0 && part.part < part.parts;
  const bool fits =
      part.limits.size() <= bounds_.entries_per_part && part.objects.size() <= bounds_.entries_per_part;
  const bool may_speak = part.router == members_.self().member || part.router == from;
  return numbered && fits && may_speak && part.taken_at <= now + kMaxAhead;
}

// Parts of one snapshot, each once. A later one replaces them, but what came whole stands until the later is
// whole too.
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
  if (!is_whole(parts)) return;
  auto whole = std::exchange(parts, {});
  if (own)
    recover(assemble(self, whole));
  else
    replicas_[from].whole = std::move(whole);
}

void SnapshotReplicas::recover(ReplicatedSnapshot snapshot) {
  if (requests_over_ || snapshot.taken_at <= newest_recovered_) return;
  newest_recovered_ = snapshot.taken_at;
  recovered_ = std::move(snapshot);
}

std::optional<ReplicatedSnapshot> SnapshotReplicas::take_recovered() {
  return std::exchange(recovered_, std::nullopt);
}

void SnapshotReplicas::handle_request(int from) {
  const auto it = replicas_.find(members_.peers()[static_cast<std::size_t>(from)].name);
  if (it == replicas_.end() || outgoing_.size() > kMaxOutgoing) return;
  for (const auto& part : it->second.whole)
    outgoing_.push_back({from, std::make_shared<const ReplicatedSnapshot>(part)});
}

// A start asks until its time for that is over, as more of the others turn out to be alive; the newest
// counts.
std::optional<SnapshotReplicas::Send> SnapshotReplicas::next(Seconds now) {
  if (!requests_over_ && now >= started_ + bounds_.request_for) requests_over_ = true;
  if (!requests_over_ && now >= request_at_) {
    request_at_ = now + bounds_.request_interval;
    for (const int p : replica_holders(members_.self().member)) outgoing_.push_back({p, nullptr});
  }
  if (outgoing_.empty()) return std::nullopt;
  auto send = std::move(outgoing_.front());
  outgoing_.pop_front();
  return send;
}

Seconds SnapshotReplicas::next_due() const {
  if (requests_over_) return replicate_at_;
  return std::min({replicate_at_, request_at_, started_ + bounds_.request_for});
}

}  // namespace walkpaddle::gossip
