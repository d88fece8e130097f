#include "replica/watch.h"

#include <algorithm>
#include <utility>

namespace walkpaddle::replica {

namespace {

constexpr Seconds kNever = 1e15;

int badness(EndpointState s) { return s == EndpointState::gone ? 2 : s == EndpointState::draining ? 1 : 0; }

}  // namespace

Watch::Watch(std::uint64_t self, int routers, const Facts::Bounds& facts, const Bounds& bounds,
             Seconds most_ahead, std::uint32_t seed)
    : self_(self),
      bounds_(bounds),
      wait_(std::min(bounds.wait_most, bounds.wait_each * (routers - 1))),
      chance_(seed),
      clock_(most_ahead),
      facts_(facts),
      look_at_(kNever) {}

Seconds Watch::by_chance() { return wait_ * std::uniform_real_distribution<>(0, 1)(chance_); }

void Watch::listed(int m, const Listing& listing, Seconds now) {
  if (m < 0 || static_cast<std::size_t>(m) >= bounds_.members) return;
  if (static_cast<std::size_t>(m) >= members_.size())
    members_.resize(static_cast<std::size_t>(m) + 1, Member{.own = {}, .told = {}, .look_at = kNever});
  auto& member = members_[static_cast<std::size_t>(m)];
  const auto before = std::exchange(member.own, listing);
  member.told.reset();  // the list has just told the module this itself
  if (before && before->state == listing.state && before->started == listing.started) return;
  member.since = now;
  member.recovered = before && before->state != EndpointState::ready &&
                     listing.state == EndpointState::ready && before->started == listing.started;
  member.look_at = now + by_chance();
  look_at_ = std::min(look_at_, member.look_at);
}

void Watch::say(const Member& member, Health health, Seconds now) {
  facts_.take({.server = member.own->hash,
               .started = member.own->started,
               .observer = self_,
               .seen = clock_.tick(now),
               .health = health,
               .limit = 0});
  news_.push_back({member.own->hash, self_});
}

// Whether the list says something that the fleet does not know, and when to look again.
void Watch::look(Member& member, Seconds now) {
  // A server gone from the list is gone from every router's list within seconds: two minutes of renewals are
  // plenty, and the table of facts is not asked to carry the fleet's history. A drain lasts as long as it
  // does.
  constexpr Seconds kGoneFor = 120, kAgain = 1;
  const bool fresh = now <= list_heard_ + bounds_.list_fresh;  // else old beliefs: not said as new
  member.look_at = kNever;
  const auto& own = *member.own;
  const auto view = facts_.view(own.hash, clock_.last());
  if (view && view->started > own.started) return;  // this list is behind
  if (own.state == EndpointState::ready) {
    const auto* said = facts_.find(own.hash, self_);
    const bool bad_said = said != nullptr && said->started == own.started && said->health >= Health::draining;
    // A start that the facts do not know yet is a restart: the server is cold for every router.
    const bool restart = own.started > 0 && now - own.started <= facts_.bounds().life &&
                         (!view || view->started < own.started);
    const bool over = bad_said || (member.recovered && view && view->health >= Health::draining);
    if (restart)
      say(member, Health::cold, now);
    else if (over && fresh)
      say(member, Health::ready, now);
    else if (over)
      member.look_at = now + kAgain;
    return;
  }
  if (own.state == EndpointState::gone && now > member.since + kGoneFor) return;
  const Health health = own.state == EndpointState::gone ? Health::down : Health::draining;
  // Renewed a third of its life after the last that anybody said: two renewals may be lost. What is outvoted
  // was not said.
  const bool stands = view && view->health >= health;
  const Seconds last = stands ? facts_.last_said(own.hash, own.started, health).seconds() : 0;
  const Seconds due = last > 0 ? last + facts_.bounds().hard_life / 3 : now;
  if (now < due) {
    member.look_at = due + by_chance();
  } else if (!fresh) {
    member.look_at = now + kAgain;
  } else {
    say(member, health, now);
    member.look_at = now + facts_.bounds().hard_life / 3 + by_chance();
  }
}

void Watch::speak(Seconds now) {
  constexpr Seconds kTrim = 1;
  if (now >= trim_at_) facts_.trim(now), trim_at_ = now + kTrim;
  if (now < look_at_) return;
  look_at_ = kNever;
  for (auto& member : members_) {
    if (now >= member.look_at) look(member, now);
    look_at_ = std::min(look_at_, member.look_at);
  }
}

Facts::Took Watch::heard(const Fact& fact, Seconds now) {
  const bool stranger = !fleet_.empty() && std::ranges::find(fleet_, fact.observer) == fleet_.end();
  const bool past = fact.seen.seconds() < now - facts_.bounds().keep;
  if (stranger || past || !clock_.heard(fact.seen, now)) return ++ahead_, Facts::Took::refused;
  const auto took = facts_.take(fact);
  if (took == Facts::Took::news) news_.push_back({fact.server, fact.observer});
  return took;
}

// Drained or gone as the fleet has it, or a later start; never better than the router's own list.
Watch::Listing Watch::worse(const Listing& own, const Facts::View& view) const {
  Listing told = own;
  if (view.started > own.started) told.started = view.started;
  if (view.started < own.started) return told;  // the facts are of an earlier start
  const EndpointState state = view.health == Health::down       ? EndpointState::gone
                              : view.health == Health::draining ? EndpointState::draining
                                                                : EndpointState::ready;
  if (badness(state) > badness(own.state)) told.state = state;
  return told;
}

std::vector<Watch::Tell> Watch::to_tell(Seconds now) {
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

Seconds Watch::next_due() const { return std::min(look_at_, trim_at_); }

}  // namespace walkpaddle::replica
