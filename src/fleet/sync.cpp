#include "fleet/sync.h"

#include <algorithm>

namespace walkpaddle::fleet {

namespace {

constexpr std::uint64_t kBatch = 256;  // numbers sent for one want: some tens of kilobytes
constexpr std::size_t kMostPending = 4, kMostToSend = 4 * kBatch;

}  // namespace

Sync::Sync(Book& book, int peers, bool lasting, const Bounds& bounds, Seconds now)
    : book_(book), lasting_(lasting), bounds_(bounds), started_(now), whole_(lasting) {
  peers_.resize(static_cast<std::size_t>(peers));
  if (!lasting && peers == 0) whole_ = lost_ = true;  // nobody to learn the lost ones from
}

void Sync::up(int p) {
  auto& peer = peers_[static_cast<std::size_t>(p)];
  peer.up = peer.beat_now = true;
  // It may have started anew: what it held and what time it was there is told again.
  peer.heard = peer.whole = false, peer.theirs = 0;
  peer.to_send.clear(), peer.heads.clear(), peer.pending.clear();
}

void Sync::down(int p) {
  auto& peer = peers_[static_cast<std::size_t>(p)];
  peer.up = false;
  peer.to_send.clear(), peer.pending.clear();
}

void Sync::beat(int p, Seconds theirs, Seconds echo, bool whole) {
  auto& peer = peers_[static_cast<std::size_t>(p)];
  peer.theirs = std::max(peer.theirs, theirs);
  peer.whole = whole;
  peer.beat.clear();
  peer.pending.push_back({echo, {}});
}

void Sync::head(int p, std::uint64_t issuer, std::uint64_t number, std::uint64_t base, Seconds given_up_ago,
                Seconds now) {
  auto& peer = peers_[static_cast<std::size_t>(p)];
  peer.beat.emplace_back(issuer, number);
  if (const auto ours = book_.run(issuer); ours.through < base) {
    // Nobody may hold them any more. Those dropped for age concern no copy; for the others all copies are
    // old.
    const Seconds given_up = given_up_ago > 0 ? now - given_up_ago : 0;
    if (given_up > 0) all_before_ = std::max(all_before_.value_or(0), given_up);
    book_.skip(issuer, base, given_up, now);
  }
  book_.told(issuer, number);
}

void Sync::beat_end(int p, Seconds now) {
  auto& peer = peers_[static_cast<std::size_t>(p)];
  peer.heard = true, peer.heard_at = now;
  peer.heads = {peer.beat.begin(), peer.beat.end()};
  if (peer.pending.empty()) return;
  peer.pending.back().heads = peer.beat;
  // The first ones stay, or a steady flow of purges would keep every beat from being caught up with.
  if (peer.pending.size() > kMostPending) peer.pending.erase(peer.pending.end() - 2);
  settle(peer);
  recover();
  ask(now);
}

void Sync::settle(Peer& peer) {
  while (!peer.pending.empty()) {
    const auto& [echo, heads] = peer.pending.front();
    for (const auto& [issuer, number] : heads)
      if (book_.run(issuer).through < number) return;
    if (peer.whole) peer.complete_at = std::max(peer.complete_at, echo);
    peer.pending.pop_front();
  }
}

void Sync::entries_came(Seconds now) {
  for (auto& peer : peers_) settle(peer);
  recover();
  ask(now);
}

// After a start without a store: a purge was accepted when a majority held it, this router perhaps among
// them. So many others must be heard that no such majority could have been without one of them. If all others
// are heard and too many have lost theirs as well, what was accepted is gone: every copy from before counts
// as old, here and, since that is issued as a purge, at all who would trust this router's book.
void Sync::recover() {
  if (whole_) return;
  const auto complete = [&](const Peer& p) { return p.whole && p.complete_at > started_; };
  const int needed = static_cast<int>(peers_.size()) + 1 - majority() + 1;
  if (std::ranges::count_if(peers_, complete) >= needed) {
    whole_ = true;
  } else if (std::ranges::all_of(peers_, [&](const Peer& p) {
               return p.heard && p.up && p.pending.empty() && p.theirs > 0;
             })) {
    whole_ = lost_ = true;
  }
  if (whole_) hold_more();
}

// Asks for what is missing, each issuer's run from one peer that tells of more; again only when it did not
// grow for a beat.
void Sync::ask(Seconds now) {
  for (const auto& [issuer, run] : book_.runs()) {
    if (run.told <= run.through) {
      asked_.erase(issuer);
      continue;
    }
    auto& [through, at] = asked_.try_emplace(issuer, 0, -bounds_.beat).first->second;
    const bool batch_ended = run.through >= through + kBatch;
    if (now - at < bounds_.beat && !batch_ended) continue;
    const Peer* best = nullptr;
    for (const auto& p : peers_) {
      const auto it = p.heads.find(issuer);
      if (!p.up || it == p.heads.end() || it->second <= run.through) continue;
      // The one asked least lately would need a memory; the one heard latest is alive.
      if (best == nullptr || p.heard_at > best->heard_at) best = &p;
    }
    if (best == nullptr) continue;
    through = run.through, at = now;
    wants_.push_back({.kind = Send::Kind::want,
                      .peer = static_cast<int>(best - peers_.data()),
                      .issuer = issuer,
                      .from = run.through + 1});
  }
}

void Sync::want(int p, std::uint64_t issuer, std::uint64_t from) {
  auto& peer = peers_[static_cast<std::size_t>(p)];
  std::erase_if(peer.to_send, [&](const auto& w) { return w.first == issuer; });
  const auto last = std::min(held(issuer), from + kBatch - 1);
  if (peer.to_send.size() + kBatch > kMostToSend) return;
  for (auto n = from; n <= last; ++n) peer.to_send.emplace_back(issuer, n);
}

void Sync::issued(const Entry& e) {
  for (auto& peer : peers_)
    if (peer.up && peer.to_send.size() < kMostToSend)
      peer.to_send.emplace_back(e.stamp.issuer, e.stamp.number);
}

void Sync::hold_more() {
  for (auto& peer : peers_) peer.beat_now = true;
}

std::uint64_t Sync::held(std::uint64_t issuer) const {
  const auto run = book_.run(issuer);
  return lasting_ ? run.durable : run.through;
}

std::optional<Sync::Send> Sync::next(Seconds now) {
  if (!wants_.empty()) {
    const auto send = wants_.front();
    wants_.pop_front();
    return send;
  }
  for (std::size_t n = 0; n < peers_.size(); ++n) {
    auto& peer = peers_[n];
    while (peer.up && !peer.to_send.empty()) {
      const auto [issuer, number] = peer.to_send.front();
      peer.to_send.pop_front();
      if (const auto* entry = book_.find(issuer, number))
        return Send{.kind = Send::Kind::entry, .peer = static_cast<int>(n), .entry = entry};
    }
    // At once after news, but no more than twenty a second: acknowledgements of a burst share a beat.
    const Seconds due = peer.beat_at + (peer.beat_now ? std::min(0.05, bounds_.beat) : bounds_.beat);
    if (!peer.up || now < due) continue;
    peer.beat_at = now, peer.beat_now = false;
    return Send{.kind = Send::Kind::beat, .peer = static_cast<int>(n), .echo = peer.theirs};
  }
  return std::nullopt;
}

Seconds Sync::next_due() const {
  Seconds due = 1e15;
  for (const auto& p : peers_)
    if (p.up) due = std::min(due, p.beat_at + (p.beat_now ? std::min(0.05, bounds_.beat) : bounds_.beat));
  return due;
}

Seconds Sync::trusted_at(Seconds now) const {
  if (!whole_) return 0;
  const auto others = static_cast<std::size_t>(majority() - 1);
  if (others == 0) return now;
  std::vector<Seconds> at;
  for (const auto& p : peers_) at.push_back(p.complete_at);
  std::ranges::nth_element(at, at.begin() + static_cast<std::ptrdiff_t>(others - 1), std::greater<>());
  return at[others - 1];
}

int Sync::holders(const Entry& e) const {
  return 1 + static_cast<int>(peers_.size()) - static_cast<int>(lacking(e).size()) -
         (held(e.stamp.issuer) < e.stamp.number ? 1 : 0);
}

std::vector<int> Sync::lacking(const Entry& e) const {
  std::vector<int> peers;
  for (std::size_t n = 0; n < peers_.size(); ++n) {
    const auto it = peers_[n].heads.find(e.stamp.issuer);
    if (it == peers_[n].heads.end() || it->second < e.stamp.number) peers.push_back(static_cast<int>(n));
  }
  return peers;
}

}  // namespace walkpaddle::fleet
