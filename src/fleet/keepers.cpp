#include "fleet/keepers.h"

#include <xxhash.h>

#include <algorithm>

namespace walkpaddle::fleet {

namespace {

constexpr std::size_t kMostToSend = 256;

}  // namespace

Keepers::Keepers(const Members& members, const Bounds& bounds, Sec now)
    : members_(members), bounds_(bounds), started_(now), tell_at_(now + bounds.every), ask_at_(now) {}

// The hash order of both names: the same at the start as before it, while the same are alive.
std::vector<int> Keepers::keepers_of(std::uint64_t router) const {
  std::vector<std::pair<std::uint64_t, int>> order;
  const auto& peers = members_.peers();
  for (std::size_t p = 0; p < peers.size(); ++p) {
    if (peers[p].state != Members::State::alive) continue;
    const std::uint64_t both[] = {router, peers[p].name};
    order.emplace_back(XXH3_64bits(both, sizeof both), static_cast<int>(p));
  }
  std::ranges::sort(order);
  order.resize(std::min(order.size(), static_cast<std::size_t>(bounds_.keepers)));
  std::vector<int> keepers;
  for (const auto& [hash, p] : order) keepers.push_back(p);
  return keepers;
}

void Keepers::learnt(Belief belief, Sec now) {
  tell_at_ = now + bounds_.every;
  returned_ = true;  // what was kept from before is past
  std::erase_if(
      kept_, [&](const auto& of) { return of.second.empty() || of.second.front().at < now - bounds_.keep; });
  const auto self = members_.self().who;
  auto rooms = std::exchange(belief.rooms, {});
  rooms.resize(std::min(rooms.size(), bounds_.all));
  belief.router = self, belief.at = now;
  belief.parts =
      static_cast<int>(std::max<std::size_t>(1, (rooms.size() + bounds_.rooms - 1) / bounds_.rooms));
  for (belief.part = 0; belief.part < belief.parts; ++belief.part) {
    const auto from = std::min(rooms.size(), static_cast<std::size_t>(belief.part) * bounds_.rooms);
    const auto to = std::min(rooms.size(), from + bounds_.rooms);
    belief.rooms.assign(rooms.begin() + static_cast<std::ptrdiff_t>(from),
                        rooms.begin() + static_cast<std::ptrdiff_t>(to));
    const auto part = std::make_shared<const Belief>(belief);
    for (const int p : keepers_of(self)) to_send_.push_back({p, part});
    belief.rules.clear();
  }
}

bool Keepers::whole(const std::vector<Belief>& parts) const {
  return !parts.empty() && static_cast<int>(parts.size()) == parts.front().parts;
}

// Parts of one time, each once; those of an earlier time give way.
void Keepers::told(std::uint64_t from, Belief belief, Sec now) {
  const auto most = static_cast<int>((bounds_.all + bounds_.rooms - 1) / bounds_.rooms);
  if (belief.parts < 1 || belief.parts > most || belief.part < 0 || belief.part >= belief.parts ||
      belief.rooms.size() > bounds_.rooms || belief.at > now + 1)
    return;
  const auto self = members_.self().who;
  if (belief.router != self && belief.router != from) return;  // nobody speaks for a third
  auto& parts = belief.router == self ? own_ : kept_[from];
  if (!parts.empty() && belief.at < parts.front().at) return;
  if (!parts.empty() && (belief.at > parts.front().at || belief.parts != parts.front().parts)) parts.clear();
  if (std::ranges::find(parts, belief.part, &Belief::part) != parts.end()) return;
  parts.push_back(std::move(belief));
  if (&parts != &own_ || !whole(own_)) return;
  Belief all{.router = self, .at = own_.front().at};
  for (auto& part : std::exchange(own_, {})) {
    all.rooms.insert(all.rooms.end(), part.rooms.begin(), part.rooms.end());
    if (part.part == 0) all.link = part.link, all.misses = part.misses, all.rules = part.rules;
  }
  take_back(std::move(all));
}

void Keepers::take_back(Belief belief) {
  if (returned_ || belief.at <= newest_) return;
  newest_ = belief.at;
  back_ = std::move(belief);
}

std::optional<Belief> Keepers::take_returned() { return std::exchange(back_, std::nullopt); }

void Keepers::asked(int from) {
  const auto it = kept_.find(members_.peers()[static_cast<std::size_t>(from)].name);
  if (it == kept_.end() || !whole(it->second) || to_send_.size() > kMostToSend) return;
  for (const auto& part : it->second) to_send_.push_back({from, std::make_shared<const Belief>(part)});
}

// A start asks until its time for that is over: one keeper more than are told, since others may be alive now
// than then; the newest counts.
std::optional<Keepers::Send> Keepers::next(Sec now) {
  if (!returned_ && now >= started_ + bounds_.ask_for) returned_ = true;
  if (!returned_ && now >= ask_at_) {
    ask_at_ = now + bounds_.ask_again;
    for (const int p : keepers_of(members_.self().who)) to_send_.push_back({p, nullptr});
  }
  if (to_send_.empty()) return std::nullopt;
  auto send = std::move(to_send_.front());
  to_send_.pop_front();
  return send;
}

Sec Keepers::next_due() const {
  return std::min(tell_at_, returned_ ? tell_at_ : std::min(ask_at_, started_ + bounds_.ask_for));
}

}  // namespace walkpaddle::fleet
