#include "purge/purge_replication.h"

#include <algorithm>
#include <functional>

namespace walkpaddle::purge {

namespace {

constexpr std::uint64_t kEntriesPerRequest = 256;  // a few tens of kilobytes
constexpr std::size_t kMaxPendingHeartbeats = 4;   // for each peer
constexpr std::size_t kMaxSendQueue = 4 * kEntriesPerRequest;

}  // namespace

PurgeReplication::PurgeReplication(PurgeLog& log, int peers, LogStorage storage, const Timing& timing,
                                   Seconds now)
    : log_(log),
      storage_(storage),
      timing_(timing),
      started_at_(now),
      complete_(storage == LogStorage::disk),
      peers_(static_cast<std::size_t>(peers)) {
  if (storage == LogStorage::memory && peers == 0) {  // no peer to recover lost purges from
    complete_ = true;
    purges_lost_ = true;
  }
}

void PurgeReplication::connected(int peer) {
  auto& p = peer_at(peer);
  p.connected = true;
  p.expedite_heartbeat = true;
  // The peer may have restarted, so its heads and clock have to be reported again.
  p.heartbeat_received = false;
  p.complete = false;
  p.remote_time = 0;
  p.send_queue.clear();
  p.heads.clear();
  p.pending.clear();
}

void PurgeReplication::disconnected(int peer) {
  auto& p = peer_at(peer);
  p.connected = false;
  p.send_queue.clear();
  p.pending.clear();
}

void PurgeReplication::heartbeat_begin(int peer, Seconds remote_time, Seconds echo, bool complete) {
  auto& p = peer_at(peer);
  p.remote_time = std::max(p.remote_time, remote_time);
  p.complete = complete;
  p.incoming_heads.clear();
  p.pending.push_back({echo, {}});
}

void PurgeReplication::heartbeat_head(int peer, std::uint64_t issuer, std::uint64_t number,
                                      std::uint64_t dropped, Seconds evicted_ago, Seconds now) {
  peer_at(peer).incoming_heads.emplace_back(issuer, number);
  if (log_.progress(issuer).contiguous < dropped) {
    // No router may have these purges any more. Those dropped for age are older than every copy. For those
    // dropped for lack of space, all copies from before the newest of them count as stale.
    const Seconds evicted_valid_since = evicted_ago > 0 ? now - evicted_ago : 0;
    if (evicted_valid_since > 0) stale_before_ = std::max(stale_before_.value_or(0), evicted_valid_since);
    log_.skip_dropped(issuer, dropped, evicted_valid_since, now);
  }
  log_.note_reported(issuer, number);
}

void PurgeReplication::heartbeat_end(int peer, Seconds now) {
  auto& p = peer_at(peer);
  p.heartbeat_received = true;
  p.heartbeat_received_at = now;
  p.heads = {p.incoming_heads.begin(), p.incoming_heads.end()};
  if (p.pending.empty()) return;
  p.pending.back().heads = p.incoming_heads;
  // Drops the second newest and keeps the oldest. Otherwise, under a steady flow of purges, the log would
  // never reach the heads of any pending heartbeat.
  if (p.pending.size() > kMaxPendingHeartbeats) p.pending.erase(p.pending.end() - 2);
  settle_pending(p);
  check_recovered();
  request_missing(now);
}

// Once the log has reached all heads of a heartbeat, it is complete with that peer as of the echoed time.
void PurgeReplication::settle_pending(Peer& peer) {
  while (!peer.pending.empty()) {
    const auto& [echo, heads] = peer.pending.front();
    const bool caught_up = std::ranges::all_of(
        heads, [&](const auto& head) { return log_.progress(head.first).contiguous >= head.second; });
    if (!caught_up) return;
    if (peer.complete) peer.complete_at = std::max(peer.complete_at, echo);
    peer.pending.pop_front();
  }
}

void PurgeReplication::entry_added(Seconds now) {
  for (auto& peer : peers_) settle_pending(peer);
  check_recovered();
  request_missing(now);
}

// Checks whether the log has been recovered after a start without a store. A purge was accepted by a majority
// that may have included this router. Any majority of n routers includes one of any n - majority + 1 others,
// so the log is complete once it is complete with that many peers whose own logs are. If all peers have
// reported and too many of them lost their logs as well, accepted purges may be gone: all copies from before
// then count as stale. That is issued as a purge, so it also reaches the routers that would trust this log.
void PurgeReplication::check_recovered() {
  if (complete_) return;
  const int needed = static_cast<int>(peers_.size()) + 1 - majority() + 1;
  const auto complete_since_start =
      std::ranges::count_if(peers_, [&](const Peer& p) { return p.complete && p.complete_at > started_at_; });
  const bool all_reported = std::ranges::all_of(peers_, [](const Peer& p) {
    return p.heartbeat_received && p.connected && p.pending.empty() && p.remote_time > 0;
  });
  if (complete_since_start >= needed) {
    complete_ = true;
  } else if (all_reported) {
    complete_ = true;
    purges_lost_ = true;
  }
  if (complete_) expedite_heartbeats();
}

// Requests the rest of each issuer's run from one peer that reports more of it. The request is repeated after
// a heartbeat interval, or at once when a full batch has arrived.
void PurgeReplication::request_missing(Seconds now) {
  for (const auto& [issuer, progress] : log_.issuers()) {
    if (progress.reported <= progress.contiguous) {
      requests_.erase(issuer);
      continue;
    }
    auto& request = requests_.try_emplace(issuer, Request{0, -timing_.heartbeat}).first->second;
    const bool batch_ended = progress.contiguous >= request.contiguous + kEntriesPerRequest;
    if (now - request.sent_at < timing_.heartbeat && !batch_ended) continue;
    const int source = best_source(issuer, progress.contiguous);
    if (source < 0) continue;
    request = {progress.contiguous, now};
    request_queue_.push_back({.kind = Outgoing::Kind::request,
                              .peer = source,
                              .issuer = issuer,
                              .from_number = progress.contiguous + 1});
  }
}

// The peer to request an issuer's next purges from, or -1 if there is none. Prefers the peer with the latest
// heartbeat, since it is the most likely to be alive; taking turns would need extra state.
int PurgeReplication::best_source(std::uint64_t issuer, std::uint64_t contiguous) const {
  const Peer* best = nullptr;
  for (const auto& peer : peers_) {
    const auto head = peer.heads.find(issuer);
    if (!peer.connected || head == peer.heads.end() || head->second <= contiguous) continue;
    if (best == nullptr || peer.heartbeat_received_at > best->heartbeat_received_at) best = &peer;
  }
  return best == nullptr ? -1 : static_cast<int>(best - peers_.data());
}

void PurgeReplication::request_received(int peer, std::uint64_t issuer, std::uint64_t from_number) {
  auto& p = peer_at(peer);
  std::erase_if(p.send_queue, [&](const auto& queued) { return queued.first == issuer; });
  const auto last = std::min(acknowledged(issuer), from_number + kEntriesPerRequest - 1);
  if (p.send_queue.size() + kEntriesPerRequest > kMaxSendQueue) return;
  for (auto number = from_number; number <= last; ++number) p.send_queue.emplace_back(issuer, number);
}

void PurgeReplication::broadcast(const PurgeEntry& entry) {
  for (auto& peer : peers_)
    if (peer.connected && peer.send_queue.size() < kMaxSendQueue)
      peer.send_queue.emplace_back(entry.stamp.issuer, entry.stamp.number);
}

void PurgeReplication::expedite_heartbeats() {
  for (auto& peer : peers_) peer.expedite_heartbeat = true;
}

std::uint64_t PurgeReplication::acknowledged(std::uint64_t issuer) const {
  const auto progress = log_.progress(issuer);
  return storage_ == LogStorage::disk ? progress.durable : progress.contiguous;
}

std::optional<PurgeReplication::Outgoing> PurgeReplication::next(Seconds now) {
  if (!request_queue_.empty()) {
    const auto request = request_queue_.front();
    request_queue_.pop_front();
    return request;
  }
  for (int n = 0; n < static_cast<int>(peers_.size()); ++n) {
    if (auto entry = next_entry(n)) return entry;
    auto& peer = peer_at(n);
    if (!peer.connected || now < heartbeat_due(peer)) continue;
    peer.heartbeat_sent_at = now;
    peer.expedite_heartbeat = false;
    return Outgoing{.kind = Outgoing::Kind::heartbeat, .peer = n, .echo = peer.remote_time};
  }
  return std::nullopt;
}

std::optional<PurgeReplication::Outgoing> PurgeReplication::next_entry(int peer) {
  auto& p = peer_at(peer);
  while (p.connected && !p.send_queue.empty()) {
    const auto [issuer, number] = p.send_queue.front();
    p.send_queue.pop_front();
    if (const auto* entry = log_.find(issuer, number))
      return Outgoing{.kind = Outgoing::Kind::entry, .peer = peer, .entry = entry};
  }
  return std::nullopt;
}

Seconds PurgeReplication::heartbeat_due(const Peer& peer) const {
  // An expedited heartbeat is limited to 20 a second, so that one acknowledges a whole burst of purges.
  constexpr Seconds kMinInterval = 0.05;
  const Seconds interval =
      peer.expedite_heartbeat ? std::min(kMinInterval, timing_.heartbeat) : timing_.heartbeat;
  return peer.heartbeat_sent_at + interval;
}

Seconds PurgeReplication::next_due() const {
  constexpr Seconds kNever = 1e15;
  Seconds due = kNever;
  for (const auto& peer : peers_)
    if (peer.connected) due = std::min(due, heartbeat_due(peer));
  return due;
}

Seconds PurgeReplication::complete_as_of(Seconds now) const {
  if (!complete_) return 0;
  const auto needed = static_cast<std::size_t>(majority() - 1);  // peers beside this router
  if (needed == 0) return now;
  std::vector<Seconds> times;
  for (const auto& peer : peers_) times.push_back(peer.complete_at);
  const auto last_needed = times.begin() + static_cast<std::ptrdiff_t>(needed - 1);
  std::ranges::nth_element(times, last_needed, std::greater<>());
  return *last_needed;
}

int PurgeReplication::replicas(const PurgeEntry& entry) const {
  const int others = static_cast<int>(peers_.size() - peers_lacking(entry).size());
  const bool here = acknowledged(entry.stamp.issuer) >= entry.stamp.number;
  return others + (here ? 1 : 0);
}

std::vector<int> PurgeReplication::peers_lacking(const PurgeEntry& entry) const {
  std::vector<int> lacking;
  for (std::size_t n = 0; n < peers_.size(); ++n) {
    const auto& heads = peers_[n].heads;
    const auto head = heads.find(entry.stamp.issuer);
    if (head == heads.end() || head->second < entry.stamp.number) lacking.push_back(static_cast<int>(n));
  }
  return lacking;
}

PurgeReplication::PeerStatus PurgeReplication::peer_status(int peer) const {
  const auto& p = peers_[static_cast<std::size_t>(peer)];
  return {.connected = p.connected, .complete_at = p.complete_at};
}

}  // namespace walkpaddle::purge
