#include "fleet/gossip.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "base/text.h"
#include "compat/announcement.h"

namespace walkpaddle::fleet {

using replica::Facts;

namespace {

std::uint64_t hash_of(const Members::Record& r) {
  const std::uint64_t words[] = {r.who, r.incarnation, static_cast<std::uint64_t>(r.state)};
  return XXH3_64bits(words, sizeof words) | 1;
}

std::size_t member_range(std::uint64_t who) { return Facts::kRanges + who % Gossip::kMemberRanges; }

std::size_t range_of(const replica::Kind& kind, std::size_t range) {
  return Facts::kRanges + Gossip::kMemberRanges + kind.number() * std::size_t{replica::Kind::kRanges} + range;
}

}  // namespace

Gossip::Gossip(Members& members, replica::Watch& watch, Keepers& keepers, const Bounds& bounds,
               std::uint32_t seed, Seconds now)
    : members_(members),
      watch_(watch),
      keepers_(keepers),
      bounds_(bounds),
      chance_(seed),
      number_(static_cast<std::uint64_t>(chance_()) << 32),
      compare_at_(now),
      caught_from_(now) {}

// A fleet of n is reached whole, but for one in thousands, by this many rounds of four: ln n and some more.
int Gossip::rounds() const { return 2 + static_cast<int>(std::ceil(std::log10(members_.alive() + 2.0))); }

std::vector<std::uint64_t> Gossip::digests() const {
  std::vector<std::uint64_t> sums(Facts::kRanges + kMemberRanges);
  for (int r = 0; r < Facts::kRanges; ++r) sums[static_cast<std::size_t>(r)] = watch_.facts().digest(r);
  const auto add = [&](const Members::Record& r) { sums[member_range(r.who)] += hash_of(r); };
  add(members_.self());
  for (std::size_t p = 0; p < members_.peers().size(); ++p)
    if (const auto r = members_.record(static_cast<int>(p))) add(*r);
  for (const auto* kind : kinds_) {
    const auto first = range_of(*kind, 0);
    sums.resize(std::max(sums.size(), first + replica::Kind::kRanges));
    for (int r = 0; r < replica::Kind::kRanges; ++r)
      sums[first + static_cast<std::size_t>(r)] = kind->digest(r);
  }
  return sums;
}

bool Gossip::reads_items(int peer) const {
  constexpr int kItems = 2;  // the gossip's version from which on datagrams have items
  const auto reads = members_.peers()[static_cast<std::size_t>(peer)].reads;
  return compat::version_to_write(
             kItems, {compat::announced_version(reads, compat::AnnouncedChannel::gossip)}) >= kItems;
}

replica::Kind* Gossip::kind_of(std::uint8_t number) const {
  const auto it = std::ranges::find(kinds_, number, [](const auto* k) { return k->number(); });
  return it == kinds_.end() ? nullptr : *it;
}

void Gossip::head(int from, std::uint64_t incarnation, std::uint64_t reads, Seconds at, Seconds now) {
  members_.heard(from, incarnation, reads, now);
  if (at > 0 && !kinds_.empty()) clocks_[from] = {at - now, now};
}

Seconds Gossip::clock_apart(Seconds now) const {
  constexpr Seconds kLately = 60;
  std::vector<Seconds> ahead;
  for (const auto& [peer, clock] : clocks_)
    if (now - clock.heard < kLately) ahead.push_back(clock.ahead);
  if (ahead.size() < 2) return 0;
  const auto middle = ahead.begin() + static_cast<std::ptrdiff_t>(ahead.size() / 2);
  std::ranges::nth_element(ahead, middle);
  return *middle;
}

// An item that cannot be read costs itself alone; one of a kind that is not known here is passed over.
void Gossip::item(std::uint8_t number, std::string_view bytes, Seconds now) try {
  if (auto* kind = kind_of(number)) kind->take(bytes, now);
} catch (const InputError&) {
  ++unreadable_items_;
}

void Gossip::letter(int from, const Item& item, Seconds now) try {
  if (auto* kind = kind_of(item.kind)) kind->letter(from, item.bytes, now);
} catch (const InputError&) {
  ++unreadable_items_;
}

void Gossip::fact(const replica::Fact& f, Seconds now) {
  if (watch_.heard(f, now) == Facts::Took::news) ++facts_heard_;
}

void Gossip::probe(int from, Members::Probe::Kind kind, std::uint64_t number, std::uint64_t about,
                   Seconds now) {
  using Probe = Members::Probe::Kind;
  if (kind == Probe::ping) members_.pinged(from, number);
  if (kind == Probe::ack) members_.acked(number);
  if (kind == Probe::nack) members_.nacked(number);
  if (kind == Probe::ask) members_.asked(from, number, about, now);
}

void Gossip::belief(int from, Belief belief, Seconds now) {
  keepers_.told(members_.peers()[static_cast<std::size_t>(from)].name, std::move(belief), now);
}

// What is new goes round from now on.
void Gossip::collect() {
  const int rounds = this->rounds();
  for (const auto& key : watch_.take_news())
    if (facts_.size() < bounds_.rumours || facts_.contains(key)) facts_[key] = rounds;
  for (const auto& r : members_.take_news())
    if (records_.size() < bounds_.rumours || records_.contains(r.who)) records_[r.who] = rounds;
  for (auto* kind : kinds_)
    for (const auto id : kind->take_news())
      if (items_.size() < bounds_.rumours) items_[{kind->number(), id}] = rounds;
}

void Gossip::add_news(Packet& packet, bool spend) {
  // The ones told least go first: the most rounds left.
  const auto pick = [&](auto& rumours, std::size_t room, auto&& put) {
    std::vector<std::pair<int, typename std::decay_t<decltype(rumours)>::key_type>> order;
    for (const auto& [key, left] : rumours) order.emplace_back(-left, key);
    const auto most = std::min(room, order.size());
    std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(most));
    for (std::size_t n = 0; n < most; ++n) {
      if (!put(order[n].second)) break;
      if (spend && --rumours[order[n].second] <= 0) rumours.erase(order[n].second);
    }
  };
  std::size_t bytes = 0;
  pick(items_, items_.size(), [&](const std::pair<std::uint8_t, std::uint64_t>& key) {
    auto item = kind_of(key.first)->bytes(key.second);
    if (item.empty()) return true;  // it gave way to another
    if (bytes > 0 && bytes + item.size() > bounds_.items) return false;
    bytes += item.size();
    packet.items.push_back({key.first, std::move(item)});
    return true;
  });
  // Room that items took the facts have not.
  constexpr std::size_t kFactBytes = 56;
  pick(facts_, bounds_.facts - std::min(bounds_.facts, bytes / kFactBytes),
       [&](const replica::Watch::Key& key) {
         if (const auto* f = watch_.facts().find(key.server, key.observer)) packet.facts.push_back(*f);
         return true;
       });
  pick(records_, bounds_.records, [&](std::uint64_t who) {
    if (who == members_.self().who) packet.records.push_back(members_.self());
    if (const int p = members_.peer_named(who); p >= 0)
      if (const auto r = members_.record(p)) packet.records.push_back(*r);
    return true;
  });
}

// All of the ranges that differ, in bounded datagrams; from a range by chance on, so that what has no room
// now is not the same each time. Gives how many datagrams that took.
std::uint32_t Gossip::send_differing(int peer, std::uint64_t number, std::span<const std::uint64_t> theirs,
                                     bool* more) {
  const auto ours = digests();
  const auto most = std::min(bounds_.fills, budget());
  const auto before = waiting_.size();
  const auto room = [&] { return waiting_.size() - before < most; };
  const auto start = chance_() % ours.size();
  Packet packet{.kind = Kind::fill, .peer = peer, .number = number};
  std::size_t bytes = 0;
  const auto flush = [&] {
    if (packet.facts.empty() && packet.records.empty() && packet.items.empty()) return;
    bytes = 0;
    waiting_.push_back(std::exchange(packet, {.kind = Kind::fill, .peer = peer, .number = number}));
  };
  const auto put = [&](const Members::Record& r, std::size_t range) {
    if (member_range(r.who) != range) return;
    packet.records.push_back(r);
    if (packet.records.size() >= bounds_.records) flush();
  };
  for (std::size_t n = 0; n < ours.size(); ++n) {
    const auto range = (start + n) % ours.size();
    if (range >= theirs.size() || ours[range] == theirs[range]) continue;
    if (!room()) {
      *more = true;
      break;
    }
    if (range < Facts::kRanges) {
      for (const auto& f : watch_.facts().of_range(static_cast<int>(range))) {
        packet.facts.push_back(f);
        if (packet.facts.size() >= bounds_.facts) flush();
      }
    } else if (range >= Facts::kRanges + kMemberRanges) {
      const auto place = range - Facts::kRanges - kMemberRanges;
      const auto number = static_cast<std::uint8_t>(place / replica::Kind::kRanges);
      auto* kind = kind_of(number);
      if (kind == nullptr) continue;
      for (const auto id : kind->of_range(static_cast<int>(place % replica::Kind::kRanges))) {
        auto item = kind->bytes(id);
        if (bytes > 0 && bytes + item.size() > bounds_.items) flush();
        bytes += item.size();
        packet.items.push_back({number, std::move(item)});
      }
      flush();
    } else {
      put(members_.self(), range);
      for (std::size_t p = 0; p < members_.peers().size(); ++p)
        if (const auto r = members_.record(static_cast<int>(p))) put(*r, range);
    }
  }
  flush();
  return static_cast<std::uint32_t>(waiting_.size() - before);
}

void Gossip::digest(int from, std::uint64_t number, std::span<const std::uint64_t> theirs, Seconds) {
  if (budget() <= bounds_.fills) return;  // it asks another, or again
  bool more = false;
  const auto fills = send_differing(from, number, theirs, &more);
  waiting_.push_back({.kind = Kind::answer,
                      .peer = from,
                      .number = number,
                      .fills = fills,
                      .more = more,
                      .digests = digests()});
}

void Gossip::fill(int from, std::uint64_t number) {
  const auto it = comparisons_.find(from);
  if (it != comparisons_.end() && it->second.number == number) ++it->second.fills;
}

// Their copy as it was when they had sent theirs: what still differs they lack, or it was lost on the way.
void Gossip::answer(int from, std::uint64_t number, std::span<const std::uint64_t> theirs,
                    std::uint32_t fills, bool more, Seconds now) {
  const auto it = comparisons_.find(from);
  if (it == comparisons_.end() || it->second.number != number) return;
  const bool whole = it->second.fills >= fills && !more;
  comparisons_.erase(it);
  bool rest = false;
  send_differing(from, 0, theirs, &rest);
  if (!whole || !catching_up_) return;
  synced_.insert(from);
  if (static_cast<int>(synced_.size()) < std::min(bounds_.synced, members_.alive())) return;
  catching_up_ = false;
  caught_ = {now - caught_from_, static_cast<int>(synced_.size()), facts_heard_ - facts_before_};
  compare_at_ = now + bounds_.compare;
}

void Gossip::start_catching_up(Seconds now) {
  catching_up_ = true;
  synced_.clear();
  comparisons_.clear();
  caught_from_ = compare_at_ = now, facts_before_ = facts_heard_;
}

void Gossip::compare(Seconds now) {
  const Seconds every = catching_up_ ? bounds_.catch_up : bounds_.compare;
  // Half to one and a half of it: routers that started together drift apart.
  compare_at_ = now + every * std::uniform_real_distribution<>(0.5, 1.5)(chance_);
  int p = members_.some_alive();
  // Catching up asks one that has not sent all yet.
  for (int tries = 0; tries < 8 && p >= 0 && synced_.contains(p); ++tries) p = members_.some_alive();
  if (p < 0) return;
  comparisons_[p] = {++number_, now, 0};
  waiting_.push_back({.kind = Kind::digest, .peer = p, .number = number_, .digests = digests()});
}

std::optional<Gossip::Packet> Gossip::next(Seconds now) {
  for (;;) {
    auto packet = take_next(now);
    if (!packet || kinds_.empty()) return packet;
    packet->at = now;
    if (packet->items.empty() || reads_items(packet->peer)) return packet;
    // An older router would pass over them.
    packet->items.clear();
    if (packet->kind != Kind::letter) return packet;
  }
}

std::optional<Gossip::Packet> Gossip::take_next(Seconds now) {
  constexpr Seconds kForgotten = 5;  // an answer that has not come by then does not come
  watch_.speak(now);
  const auto probe = members_.next(now);
  if (members_.take_slept()) start_catching_up(now);
  if (probe) {
    Packet packet{.kind = static_cast<Kind>(probe->kind),
                  .peer = probe->peer,
                  .number = probe->number,
                  .about = probe->about};
    collect();
    add_news(packet, false);
    // What is believed of the other, if that is bad: it refutes it at once.
    if (const auto r = members_.record(probe->peer); r && r->state != Members::State::alive)
      packet.records.push_back(*r);
    return packet;
  }
  collect();
  for (auto* kind : kinds_)
    while (budget() > bounds_.fills) {
      auto letter = kind->next_letter(now);
      if (!letter) break;
      waiting_.push_back({.kind = Kind::letter,
                          .peer = letter->peer,
                          .items = {{kind->number(), std::move(letter->bytes)}}});
    }
  if (now >= compare_at_) {
    std::erase_if(comparisons_, [&](const auto& c) { return now > c.second.at + kForgotten; });
    compare(now);
  }
  if (rumours() && now >= round_at_ && members_.alive() > 0) {
    round_at_ = now + bounds_.round;
    Packet packet{.kind = Kind::news};
    add_news(packet, true);
    std::set<int> to;
    for (int tries = 0; tries < 4 * bounds_.fanout && static_cast<int>(to.size()) < bounds_.fanout; ++tries)
      to.insert(members_.some_alive());
    for (const int p : to) {
      packet.peer = p;
      waiting_.push_back(packet);
    }
  }
  while (const auto send = keepers_.next(now))
    waiting_.push_back(
        {.kind = send->belief ? Kind::belief : Kind::recall, .peer = send->peer, .belief = send->belief});
  if (waiting_.empty()) return std::nullopt;
  auto packet = std::move(waiting_.front());
  waiting_.pop_front();
  return packet;
}

Seconds Gossip::next_due(Seconds now) const {
  if (!waiting_.empty()) return now;
  Seconds due = std::min({members_.next_due(), watch_.next_due(), keepers_.next_due(), compare_at_});
  for (const auto* kind : kinds_) due = std::min(due, kind->next_due());
  if (rumours() && members_.alive() > 0) due = std::min(due, round_at_);
  return due;
}

}  // namespace walkpaddle::fleet
