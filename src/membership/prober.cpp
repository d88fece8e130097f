#include "membership/prober.h"

#include <algorithm>
#include <utility>

namespace walkpaddle::membership {

namespace {

// Limits on what a flood of pings and ping requests can queue here.
constexpr std::size_t kMaxRelays = 64;
constexpr std::size_t kMaxOutgoing = 256;

}  // namespace

Prober::Prober(const Bounds& bounds, std::mt19937& random, Seconds now)
    : bounds_(bounds),
      random_(random),
      number_(static_cast<std::uint64_t>(random_()) << 32),
      // A random phase: routers that start together do not probe at the same moments.
      probe_at_(now + bounds.probe_interval * std::uniform_real_distribution<>(0, 1)(random_)) {}

void Prober::queue_ack(int from, std::uint64_t number) {
  if (outgoing_.size() < kMaxOutgoing)
    outgoing_.push_back({.kind = Probe::Kind::ack, .peer = from, .number = number});
}

void Prober::relay(int from, std::uint64_t number, int target, Seconds now) {
  if (relays_.size() >= kMaxRelays) return;
  ++number_;
  relays_.push_back({from, number, number_, now + bounds_.ack_timeout});
  outgoing_.push_back({.kind = Probe::Kind::ping, .peer = target, .number = number_});
}

bool Prober::handle_ack(std::uint64_t number) {
  if (pending_ && pending_->number == number) {
    pending_.reset();
    return true;
  }
  const auto it = std::ranges::find(relays_, number, &Relay::own_number);
  if (it != relays_.end()) {
    outgoing_.push_back({.kind = Probe::Kind::ack, .peer = it->from, .number = it->number});
    relays_.erase(it);
  }
  return false;
}

void Prober::handle_nack(std::uint64_t number) {
  if (pending_ && pending_->number == number && pending_->awaited_nacks > 0) --pending_->awaited_nacks;
}

void Prober::reset() {
  pending_.reset();
  relays_.clear();
}

void Prober::expire_relays(Seconds now) {
  while (!relays_.empty() && now >= relays_.front().expires_at) {
    const auto& relay = relays_.front();
    outgoing_.push_back({.kind = Probe::Kind::nack, .peer = relay.from, .number = relay.number});
    relays_.pop_front();
  }
}

void Prober::ask_helpers(const std::vector<Peer>& peers, int health_multiplier, Seconds now) {
  if (!pending_ || pending_->helpers_asked ||
      now < pending_->started_at + bounds_.ack_timeout * health_multiplier)
    return;
  pending_->helpers_asked = true;
  std::vector<int> helpers;
  for (std::size_t p = 0; p < peers.size(); ++p)
    if (peers[p].state == MemberState::alive && static_cast<int>(p) != pending_->peer)
      helpers.push_back(static_cast<int>(p));
  std::ranges::shuffle(helpers, random_);
  helpers.resize(std::min(helpers.size(), static_cast<std::size_t>(bounds_.helpers)));
  const auto target = peers[static_cast<std::size_t>(pending_->peer)].name;
  for (const int helper : helpers) {
    ++pending_->awaited_nacks;
    outgoing_.push_back({.kind = Probe::Kind::ping_request,
                         .peer = helper,
                         .number = pending_->number,
                         .target_name = target});
  }
}

std::optional<Prober::Failure> Prober::take_failure(Seconds now) {
  if (!pending_ || now < pending_->fails_at) return std::nullopt;
  const auto failed = *std::exchange(pending_, std::nullopt);
  return Failure{failed.peer, failed.awaited_nacks};
}

int Prober::next_in_round(const std::vector<Peer>& peers) {
  if (std::ranges::none_of(peers, counts_as_alive, &Peer::state)) {
    round_.clear();
    return -1;
  }
  for (;;) {
    while (!round_.empty()) {
      const int p = round_.back();
      round_.pop_back();
      if (counts_as_alive(peers[static_cast<std::size_t>(p)].state)) return p;
    }
    for (std::size_t p = 0; p < peers.size(); ++p) round_.push_back(static_cast<int>(p));
    std::ranges::shuffle(round_, random_);
  }
}

void Prober::start_due(const std::vector<Peer>& peers, int health_multiplier, Seconds now) {
  constexpr Seconds kMargin = 1e-3;  // the pending probe ends before the next one is due
  if (now < probe_at_) return;
  probe_at_ = now + bounds_.probe_interval;
  if (const int p = pending_ ? -1 : next_in_round(peers); p >= 0) {
    ++number_;
    pending_ = {.peer = p,
                .number = number_,
                .started_at = now,
                .fails_at = now + bounds_.probe_interval * health_multiplier - kMargin};
    outgoing_.push_back({.kind = Probe::Kind::ping, .peer = p, .number = number_});
  }
  ping_dead_or_unseen(peers);
}

void Prober::ping_dead_or_unseen(const std::vector<Peer>& peers) {
  constexpr std::size_t kMaxPingsIfAlone = 8;
  std::vector<int> missing;
  for (std::size_t p = 0; p < peers.size(); ++p)
    if (!counts_as_alive(peers[p].state)) missing.push_back(static_cast<int>(p));
  const bool alone = missing.size() == peers.size();
  std::ranges::shuffle(missing, random_);
  missing.resize(std::min(missing.size(), alone ? kMaxPingsIfAlone : std::size_t{1}));
  for (const int p : missing) {
    ++number_;
    outgoing_.push_back({.kind = Probe::Kind::ping, .peer = p, .number = number_});
  }
}

std::optional<Probe> Prober::pop() {
  if (outgoing_.empty()) return std::nullopt;
  const auto probe = outgoing_.front();
  outgoing_.pop_front();
  return probe;
}

Seconds Prober::next_due(int health_multiplier) const {
  Seconds due = probe_at_;
  if (!relays_.empty()) due = std::min(due, relays_.front().expires_at);
  if (pending_) {
    const Seconds helpers_at = pending_->started_at + bounds_.ack_timeout * health_multiplier;
    due = std::min(due, pending_->helpers_asked ? pending_->fails_at : helpers_at);
  }
  return due;
}

}  // namespace walkpaddle::membership
