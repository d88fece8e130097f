#include "replica/watch.h"

#include <algorithm>
#include <utility>

namespace walkpaddle::replica {

namespace {

constexpr Sec kNever = 1e15;

}  // namespace

Watch::Watch(std::uint64_t self, int peers, const Facts::Bounds& facts, const Bounds& bounds, Sec most_ahead)
    : self_(self),
      bounds_(bounds),
      clock_(most_ahead),
      facts_(facts),
      peers_(static_cast<std::size_t>(peers)) {}

void Watch::listed(int m, const Listing& listing, Sec now) {
  if (m < 0 || static_cast<std::size_t>(m) >= bounds_.members) return;
  if (static_cast<std::size_t>(m) >= members_.size()) members_.resize(static_cast<std::size_t>(m) + 1);
  auto& member = members_[static_cast<std::size_t>(m)];
  const auto before = std::exchange(member.own, listing);
  member.told.reset();  // the list has just told the module this itself
  if (before && before->state == listing.state && before->started == listing.started) return;
  member.since = now;
  // A start that the facts do not know yet is a restart: the server is cold for every router.
  const auto view = facts_.view(listing.hash, clock_.last());
  const bool restart = listing.started > 0 && (!view || listing.started > view->started);
  const Health health = listing.state == Listed::gone       ? Health::down
                        : listing.state == Listed::draining ? Health::draining
                        : restart                           ? Health::cold
                                                            : Health::ready;
  stamp(member, health, now);
}

void Watch::stamp(Member& member, Health health, Sec now) {
  member.stamped = clock_.tick(now);
  facts_.take({.server = member.own->hash,
               .started = member.own->started,
               .observer = self_,
               .seen = member.stamped,
               .health = health,
               .limit = 0});
}

Sec Watch::renew_at(const Member& member) const {
  // A server gone from the list is gone from every router's list within seconds: two minutes of renewals are
  // plenty, and the table of facts is not asked to carry the fleet's history. A drain lasts as long as it
  // does.
  constexpr Sec kGoneFor = 120;
  if (!member.own || member.own->state == Listed::ready) return kNever;
  if (member.own->state == Listed::gone && member.stamped.seconds() > member.since + kGoneFor) return kNever;
  return member.stamped.seconds() + facts_.bounds().hard_life / 3;
}

bool Watch::heard(const Fact& fact, Sec now) {
  if (!fleet_.empty() && std::ranges::find(fleet_, fact.observer) == fleet_.end()) return ++ahead_, false;
  const auto stamp = clock_.heard(fact.seen, now);
  if (!stamp) return ++ahead_, false;
  return facts_.take(fact) != Facts::Took::refused;
}

void Watch::up(int p) { peers_[static_cast<std::size_t>(p)] = {.up = true}; }
void Watch::down(int p) { peers_[static_cast<std::size_t>(p)].up = false; }
void Watch::held(int p, std::uint64_t through) {
  auto& peer = peers_[static_cast<std::size_t>(p)];
  peer.held = std::max(peer.held, std::min(through, peer.sent));
  if (peer.held >= peer.sent) peer.sent_at = 0;
}

// Drained or gone as the fleet has it, or a later start; never better than the router's own list.
Watch::Listing Watch::worse(const Listing& own, const Facts::View& view) const {
  Listing told = own;
  if (view.started > own.started) told.started = view.started;
  if (view.started < own.started) return told;  // the facts are of an earlier start
  const Listed state = view.health == Health::down       ? Listed::gone
                       : view.health == Health::draining ? Listed::draining
                                                         : Listed::ready;
  const auto badness = [](Listed s) { return s == Listed::gone ? 2 : s == Listed::draining ? 1 : 0; };
  if (badness(state) > badness(own.state)) told.state = state;
  return told;
}

std::vector<Watch::Tell> Watch::to_tell(Sec now) {
  std::vector<Tell> tells;
  const Stamp stamp{.micros = std::max(clock_.last().micros, static_cast<std::int64_t>(now * 1e6)),
                    .count = 0};
  for (std::size_t m = 0; m < members_.size(); ++m) {
    auto& member = members_[m];
    if (!member.own) continue;
    const auto view = facts_.view(member.own->hash, stamp);
    const auto listing = view ? worse(*member.own, *view) : *member.own;
    // What the list said itself reaches the module from the list; only a difference is told here.
    const auto& before = member.told ? *member.told : *member.own;
    if (listing == before) continue;
    member.told = listing;
    tells.push_back({static_cast<int>(m), listing});
  }
  return tells;
}

std::optional<Watch::Send> Watch::next(Sec now) {
  for (auto& member : members_)
    if (now >= renew_at(member))
      stamp(member, member.own->state == Listed::gone ? Health::down : Health::draining, now);
  for (std::size_t p = 0; p < peers_.size(); ++p) {
    auto& peer = peers_[p];
    if (!peer.up || facts_.version() <= peer.held) continue;
    const bool waiting = peer.sent > peer.held && now - peer.sent_at < bounds_.again;
    if (waiting) continue;
    Send send{.peer = static_cast<int>(p), .facts = {}, .through = 0};
    send.facts = facts_.since(peer.held, bounds_.batch, &send.through);
    peer.sent = send.through, peer.sent_at = now;
    if (send.facts.empty()) {
      peer.held = send.through;  // only numbers of facts replaced since
      continue;
    }
    return send;
  }
  return std::nullopt;
}

Sec Watch::next_due(Sec now) const {
  Sec due = kNever;
  for (const auto& member : members_) due = std::min(due, renew_at(member));
  for (const auto& peer : peers_)
    if (peer.up && facts_.version() > peer.held)
      due = std::min(due, peer.sent > peer.held ? peer.sent_at + bounds_.again : now);
  return due;
}

}  // namespace walkpaddle::replica
