#include "fleet/members.h"

#include <cmath>

namespace walkpaddle::fleet {

namespace {

constexpr std::size_t kMostHelping = 64, kMostToSend = 256;  // what a stranger's flood may make wait here

}  // namespace

Members::Members(std::uint64_t self, const std::vector<std::uint64_t>& peers, std::uint64_t incarnation,
                 const Bounds& bounds, std::uint32_t seed, Seconds now)
    : self_(self),
      bounds_(bounds),
      incarnation_(incarnation),
      chance_(seed),
      number_(static_cast<std::uint64_t>(chance_()) << 32),
      // Routers that start together do not ping together.
      probe_at_(now + bounds.period * std::uniform_real_distribution<>(0, 1)(chance_)),
      called_at_(now) {
  for (const auto name : peers) peers_.push_back({.name = name, .since = now});
}

int Members::peer_named(std::uint64_t name) const {
  const auto it = std::ranges::find(peers_, name, &Peer::name);
  return it == peers_.end() ? -1 : static_cast<int>(it - peers_.begin());
}

std::optional<Members::Record> Members::record(int p) const {
  const auto& peer = peers_[static_cast<std::size_t>(p)];
  if (peer.state == State::unheard) return std::nullopt;
  return Record{peer.name, peer.incarnation, peer.state,
                peer.suspected_by.empty() ? 0 : peer.suspected_by.back(), peer.reads};
}

int Members::alive() const {
  return static_cast<int>(std::ranges::count_if(
      peers_, [](const Peer& p) { return p.state == State::alive || p.state == State::suspect; }));
}

int Members::some_alive() {
  const int count = alive();
  if (count == 0) return -1;
  int nth = std::uniform_int_distribution<>(0, count - 1)(chance_);
  for (std::size_t p = 0; p < peers_.size(); ++p)
    if (const auto s = peers_[p].state; (s == State::alive || s == State::suspect) && nth-- == 0)
      return static_cast<int>(p);
  return -1;
}

bool Members::set(Peer& peer, const Record& r, Seconds now) {
  if (peer.state != r.state) peer.since = now;
  if (peer.state == State::suspect && r.state == State::alive) ++refuted_;
  if (r.reads != 0 || r.incarnation > peer.incarnation) peer.reads = r.reads;
  peer.state = r.state, peer.incarnation = r.incarnation;
  peer.suspected_by.clear();
  if (r.state == State::suspect) peer.suspected_by.push_back(r.by), peer.since = now;
  news_.push_back(r);
  return true;
}

void Members::heard(int p, std::uint64_t incarnation, std::uint64_t reads, Seconds now) {
  auto& peer = peers_[static_cast<std::size_t>(p)];
  peer.heard = now;
  // At the same incarnation a suspicion is its own to refute: it is told of it with the next word to it.
  if (peer.state == State::unheard || incarnation > peer.incarnation)
    set(peer, {peer.name, incarnation, State::alive, 0, reads}, now);
  if (reads != 0 && incarnation == peer.incarnation) peer.reads = reads;
}

bool Members::take(const Record& r, Seconds now) {
  if (r.who == self_) {
    if (r.state == State::alive ? r.incarnation <= incarnation_ : r.incarnation < incarnation_) return false;
    // Suspected or thought dead, or an earlier start's word from a clock that was ahead: refuted.
    if (r.state == State::suspect) feel(1);
    incarnation_ = r.incarnation + 1;
    news_.push_back(self());
    return true;
  }
  const int p = peer_named(r.who);
  if (p < 0) return false;
  auto& peer = peers_[static_cast<std::size_t>(p)];
  if (peer.state == State::unheard) return set(peer, r, now);
  const auto order = std::pair(r.incarnation, r.state), known = std::pair(peer.incarnation, peer.state);
  if (order > known) return set(peer, r, now);
  if (order == known && peer.reads == 0) peer.reads = r.reads;
  if (order < known || r.state != State::suspect) return false;
  // Another that suspects it too: told on while it shortens the time.
  if (static_cast<int>(peer.suspected_by.size()) > bounds_.confirmed ||
      std::ranges::find(peer.suspected_by, r.by) != peer.suspected_by.end())
    return false;
  peer.suspected_by.push_back(r.by);
  news_.push_back(r);
  return true;
}

void Members::pinged(int from, std::uint64_t number) {
  if (to_send_.size() < kMostToSend)
    to_send_.push_back({.kind = Probe::Kind::ack, .peer = from, .number = number});
}

void Members::asked(int from, std::uint64_t number, std::uint64_t about, Seconds now) {
  const int p = peer_named(about);
  if (p < 0 || helping_.size() >= kMostHelping) return;
  helping_.push_back({from, number, ++number_, now + bounds_.timeout});
  to_send_.push_back({.kind = Probe::Kind::ping, .peer = p, .number = number_});
}

void Members::acked(std::uint64_t number) {
  if (pending_ && pending_->number == number) {
    pending_.reset();
    return feel(-1);
  }
  const auto it = std::ranges::find(helping_, number, &Helping::own);
  if (it == helping_.end()) return;
  to_send_.push_back({.kind = Probe::Kind::ack, .peer = it->from, .number = it->number});
  helping_.erase(it);
}

// A helper lives but does not reach it either: the fault is less likely here.
void Members::nacked(std::uint64_t number) {
  if (pending_ && pending_->number == number && pending_->nacks_due > 0) --pending_->nacks_due;
}

void Members::suspect(int p, Seconds now) {
  auto& peer = peers_[static_cast<std::size_t>(p)];
  const Record r{peer.name, peer.incarnation, State::suspect, self_, peer.reads};
  if (peer.state == State::suspect)
    take(r, now);
  else
    ++suspicions_, set(peer, r, now);
}

Seconds Members::dead_at(const Peer& peer) const {
  const double n = std::max(1.0, std::log10(static_cast<double>(alive() + 1)));
  const Seconds shortest = bounds_.suspicion * n * bounds_.period, longest = bounds_.longest * shortest;
  const double others = static_cast<double>(peer.suspected_by.size()) - 1;
  const double share = std::log(std::max(0.0, others) + 1) / std::log(bounds_.confirmed + 1.0);
  return peer.since + std::max(shortest, longest - (longest - shortest) * share);
}

int Members::next_in_round() {
  for (;;) {
    while (!round_.empty()) {
      const int p = round_.back();
      round_.pop_back();
      const auto s = peers_[static_cast<std::size_t>(p)].state;
      if (s == State::alive || s == State::suspect) return p;
    }
    if (alive() == 0) return -1;
    for (std::size_t p = 0; p < peers_.size(); ++p) round_.push_back(static_cast<int>(p));
    std::ranges::shuffle(round_, chance_);
  }
}

// This process stood still (stopped, or starved): what it did not hear meanwhile speaks of nobody else.
void Members::woke(Seconds slept) {
  pending_.reset();
  helping_.clear();
  for (auto& peer : peers_)
    if (peer.state == State::suspect) peer.since += slept;
  feel(1);
  slept_ = true;
}

std::optional<Members::Probe> Members::next(Seconds now) {
  if (const Seconds slept = now - std::exchange(called_at_, now); slept > 2 * bounds_.period) woke(slept);
  const auto pop = [&] {
    const auto probe = to_send_.front();
    to_send_.pop_front();
    return probe;
  };
  if (!to_send_.empty()) return pop();
  while (!helping_.empty() && now >= helping_.front().until) {
    to_send_.push_back(
        {.kind = Probe::Kind::nack, .peer = helping_.front().from, .number = helping_.front().number});
    helping_.pop_front();
  }
  for (std::size_t p = 0; p < peers_.size(); ++p) {
    auto& peer = peers_[p];
    if (peer.state == State::suspect && now >= dead_at(peer))
      set(peer, {peer.name, peer.incarnation, State::dead, 0}, now);
  }
  const int slower = 1 + ill_;
  if (pending_ && !pending_->helped && now >= pending_->at + bounds_.timeout * slower) {
    pending_->helped = true;
    std::vector<int> helpers;
    for (std::size_t p = 0; p < peers_.size(); ++p)
      if (peers_[p].state == State::alive && static_cast<int>(p) != pending_->peer)
        helpers.push_back(static_cast<int>(p));
    std::ranges::shuffle(helpers, chance_);
    for (const int h : helpers) {
      if (pending_->nacks_due >= bounds_.helpers) break;
      ++pending_->nacks_due;
      to_send_.push_back({.kind = Probe::Kind::ask,
                          .peer = h,
                          .number = pending_->number,
                          .about = peers_[static_cast<std::size_t>(pending_->peer)].name});
    }
  }
  if (pending_ && now >= pending_->until) {
    const auto failed = *std::exchange(pending_, std::nullopt);
    feel(failed.nacks_due > 0 ? failed.nacks_due : 1);  // helpers that say nothing: the fault may be here
    suspect(failed.peer, now);
  }
  if (now >= probe_at_) {
    probe_at_ = now + bounds_.period;
    if (const int p = pending_ ? -1 : next_in_round(); p >= 0) {
      pending_ = {p, ++number_, now, now + bounds_.period * slower - 1e-3, false, 0};
      to_send_.push_back({.kind = Probe::Kind::ping, .peer = p, .number = number_});
    }
    // Those never heard or dead are sought, so that a cut that heals is found; at the start several at once.
    std::vector<int> away;
    for (std::size_t p = 0; p < peers_.size(); ++p)
      if (const auto s = peers_[p].state; s == State::unheard || s == State::dead)
        away.push_back(static_cast<int>(p));
    std::ranges::shuffle(away, chance_);
    constexpr std::size_t kAtTheStart = 8;
    away.resize(std::min(away.size(), alive() == 0 ? kAtTheStart : 1));
    for (const int p : away) to_send_.push_back({.kind = Probe::Kind::ping, .peer = p, .number = ++number_});
  }
  if (to_send_.empty()) return std::nullopt;
  return pop();
}

Seconds Members::next_due() const {
  Seconds due = probe_at_;
  if (!to_send_.empty()) return called_at_;
  if (!helping_.empty()) due = std::min(due, helping_.front().until);
  if (pending_)
    due = std::min(due, pending_->helped ? pending_->until : pending_->at + bounds_.timeout * (1 + ill_));
  for (const auto& peer : peers_)
    if (peer.state == State::suspect) due = std::min(due, dead_at(peer));
  return due;
}

}  // namespace walkpaddle::fleet
