#include "membership/membership.h"

#include <algorithm>

#include "membership/suspicion.h"

namespace walkpaddle::membership {

Membership::Membership(std::uint64_t self, const std::vector<std::uint64_t>& peers, std::uint64_t incarnation,
                       const Bounds& bounds, std::uint32_t seed, Seconds now)
    : self_(self),
      bounds_(bounds),
      incarnation_(incarnation),
      random_(seed),
      prober_(bounds, random_, now),
      last_call_(now) {
  for (const auto name : peers) peers_.push_back({.name = name, .since = now});
}

int Membership::peer_named(std::uint64_t name) const {
  const auto it = std::ranges::find(peers_, name, &Peer::name);
  return it == peers_.end() ? -1 : static_cast<int>(it - peers_.begin());
}

std::optional<MemberRecord> Membership::record(int p) const {
  const auto& peer = peers_[static_cast<std::size_t>(p)];
  if (peer.state == MemberState::never_seen) return std::nullopt;
  return MemberRecord{peer.name, peer.incarnation, peer.state,
                      peer.suspected_by.empty() ? 0 : peer.suspected_by.back(), peer.channel_versions};
}

int Membership::alive_count() const {
  return static_cast<int>(std::ranges::count_if(peers_, counts_as_alive, &Peer::state));
}

int Membership::random_alive_peer() {
  const int count = alive_count();
  if (count == 0) return -1;
  int skip = std::uniform_int_distribution<>(0, count - 1)(random_);
  for (std::size_t p = 0; p < peers_.size(); ++p) {
    if (!counts_as_alive(peers_[p].state)) continue;
    if (skip == 0) return static_cast<int>(p);
    --skip;
  }
  return -1;
}

void Membership::replace(Peer& peer, const MemberRecord& record, Seconds now) {
  if (peer.state != record.state || record.state == MemberState::suspect) peer.since = now;
  if (peer.state == MemberState::suspect && record.state == MemberState::alive) ++refuted_;
  if (record.channel_versions != 0 || record.incarnation > peer.incarnation)
    peer.channel_versions = record.channel_versions;
  peer.state = record.state;
  peer.incarnation = record.incarnation;
  peer.suspected_by.clear();
  if (record.state == MemberState::suspect) peer.suspected_by.push_back(record.suspected_by);
  updates_.push_back(record);
}

void Membership::note_contact(int p, std::uint64_t incarnation, std::uint64_t channel_versions, Seconds now) {
  auto& peer = peers_[static_cast<std::size_t>(p)];
  peer.last_contact = now;
  // A datagram does not end a suspicion of the same incarnation: the next probe tells the peer of the
  // suspicion, and the peer refutes it.
  if (peer.state == MemberState::never_seen || incarnation > peer.incarnation)
    replace(peer, {peer.name, incarnation, MemberState::alive, 0, channel_versions}, now);
  if (channel_versions != 0 && incarnation == peer.incarnation) peer.channel_versions = channel_versions;
}

bool Membership::join(const MemberRecord& record, Seconds now) {
  if (record.member == self_) return refute(record);
  const int p = peer_named(record.member);
  if (p < 0) return false;
  auto& peer = peers_[static_cast<std::size_t>(p)];
  const auto order = std::pair(record.incarnation, record.state);
  const auto known = std::pair(peer.incarnation, peer.state);
  if (peer.state == MemberState::never_seen || order > known) {
    replace(peer, record, now);
    return true;
  }
  if (order < known) return false;
  if (peer.channel_versions == 0) peer.channel_versions = record.channel_versions;
  return record.state == MemberState::suspect && confirm_suspicion(peer, record);
}

// Handles a record about this router itself; outdated ones are ignored. One that suspects it, takes it for
// dead or has a greater incarnation (of an earlier start, whose clock was ahead) is answered with a greater
// incarnation still.
bool Membership::refute(const MemberRecord& record) {
  const bool outdated = record.state == MemberState::alive ? record.incarnation <= incarnation_
                                                           : record.incarnation < incarnation_;
  if (outdated) return false;
  if (record.state == MemberState::suspect) adjust_health_score(1);
  incarnation_ = record.incarnation + 1;
  updates_.push_back(self());
  return true;
}

// Records another member that suspects the peer; passed on only while this shortens the suspicion.
bool Membership::confirm_suspicion(Peer& peer, const MemberRecord& record) {
  if (static_cast<int>(peer.suspected_by.size()) > bounds_.confirmations) return false;
  if (std::ranges::find(peer.suspected_by, record.suspected_by) != peer.suspected_by.end()) return false;
  peer.suspected_by.push_back(record.suspected_by);
  updates_.push_back(record);
  return true;
}

void Membership::handle_ping_request(int from, std::uint64_t number, std::uint64_t target_name, Seconds now) {
  if (const int target = peer_named(target_name); target >= 0) prober_.relay(from, number, target, now);
}

void Membership::handle_ack(std::uint64_t number) {
  if (prober_.handle_ack(number)) adjust_health_score(-1);
}

void Membership::adjust_health_score(int step) {
  health_score_ = std::clamp(health_score_ + step, 0, bounds_.max_health_score);
}

void Membership::suspect(int p, Seconds now) {
  auto& peer = peers_[static_cast<std::size_t>(p)];
  const MemberRecord record{peer.name, peer.incarnation, MemberState::suspect, self_, peer.channel_versions};
  if (peer.state == MemberState::suspect) {
    join(record, now);
  } else {
    ++suspicions_;
    replace(peer, record, now);
  }
}

Seconds Membership::suspicion_expires_at(const Peer& peer) const {
  const int confirmations = static_cast<int>(peer.suspected_by.size()) - 1;
  return peer.since + suspicion_timeout(bounds_, alive_count() + 1, confirmations);
}

void Membership::expire_suspicions(Seconds now) {
  for (auto& peer : peers_)
    if (peer.state == MemberState::suspect && now >= suspicion_expires_at(peer))
      replace(peer, {peer.name, peer.incarnation, MemberState::dead, 0, 0}, now);
}

// While this process was stopped or starved it received nothing, so missing answers do not count against the
// peers.
void Membership::handle_stall(Seconds duration) {
  prober_.reset();
  for (auto& peer : peers_)
    if (peer.state == MemberState::suspect) peer.since += duration;
  adjust_health_score(1);
  stall_detected_ = true;
}

std::optional<Probe> Membership::next_probe(Seconds now) {
  const Seconds since_last_call = now - std::exchange(last_call_, now);
  if (since_last_call > 2 * bounds_.probe_interval) handle_stall(since_last_call);
  if (!prober_.empty()) return prober_.pop();
  prober_.expire_relays(now);
  expire_suspicions(now);
  const int health_multiplier = this->health_multiplier();
  prober_.ask_helpers(peers_, health_multiplier, now);
  if (const auto failure = prober_.take_failure(now)) {
    // If helpers did not answer either, the fault may be on this router's side.
    adjust_health_score(std::max(1, failure->missing_nacks));
    suspect(failure->peer, now);
  }
  prober_.start_due(peers_, health_multiplier, now);
  return prober_.pop();
}

Seconds Membership::next_due() const {
  if (!prober_.empty()) return last_call_;
  Seconds due = prober_.next_due(health_multiplier());
  for (const auto& peer : peers_)
    if (peer.state == MemberState::suspect) due = std::min(due, suspicion_expires_at(peer));
  return due;
}

}  // namespace walkpaddle::membership
