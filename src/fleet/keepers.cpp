#include "fleet/keepers.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>

namespace walkpaddle::fleet {

namespace {

constexpr std::size_t kMostToSend = 256;

}  // namespace

Keepers::Keepers(const membership::Membership& members, const Bounds& bounds, Seconds now)
    : members_(members), bounds_(bounds), started_(now), tell_at_(now + bounds.every), ask_at_(now) {}

// The hash order of both names: the same at the start as before it, while the same are alive.
std::vector<int> Keepers::keepers_of(std::uint64_t router) const {
  std::vector<std::pair<std::uint64_t, int>> order;
  const auto& peers = members_.peers();
  for (std::size_t p = 0; p < peers.size(); ++p) {
    if (peers[p].state != membership::MemberState::alive) continue;
    const std::uint64_t both[] = {router, peers[p].name};
    order.emplace_back(XXH3_64bits(both, sizeof both), static_cast<int>(p));
  }
  std::ranges::sort(order);
  order.resize(std::min(order.size(), static_cast<std::size_t>(bounds_.keepers)));
  std::vector<int> keepers;
  for (const auto& [hash, p] : order) keepers.push_back(p);
  return keepers;
}

void Keepers::learnt(Belief belief, Seconds now) {
  tell_at_ = now + bounds_.every;
  returned_ = true;  // what was kept from before is past
  std::erase_if(kept_, [&](const auto& of) {
    const auto past = [&](const auto& parts) {
      return parts.empty() || parts.front().at < now - bounds_.keep;
    };
    return past(of.second.whole) && past(of.second.coming);
  });
  const auto self = members_.self().member;
  auto rooms = std::exchange(belief.rooms, {});
  auto objects = std::exchange(belief.objects, {});
  rooms.resize(std::min(rooms.size(), bounds_.all));
  std::ranges::sort(objects, std::greater<>(), &Belief::Heat::count);
  objects.resize(std::min(objects.size(), bounds_.objects));
  belief.router = self, belief.at = now;
  const auto each = bounds_.rooms;
  belief.parts =
      static_cast<int>(std::max<std::size_t>(1, (std::max(rooms.size(), objects.size()) + each - 1) / each));
  for (belief.part = 0; belief.part < belief.parts; ++belief.part) {
    const auto cut = [&](const auto& all, auto& to) {
      const auto from = std::min(all.size(), static_cast<std::size_t>(belief.part) * each);
      const auto end = std::min(all.size(), from + each);
      to.assign(all.begin() + static_cast<std::ptrdiff_t>(from),
                all.begin() + static_cast<std::ptrdiff_t>(end));
    };
    cut(rooms, belief.rooms), cut(objects, belief.objects);
    const auto part = std::make_shared<const Belief>(belief);
    for (const int p : keepers_of(self)) to_send_.push_back({p, part});
    belief.rules.clear();
  }
}

bool Keepers::whole(const std::vector<Belief>& parts) const {
  return !parts.empty() && static_cast<int>(parts.size()) == parts.front().parts;
}

// Parts of one time, each once; those of an earlier time give way, but what came whole stands until the later
// is whole too.
void Keepers::told(std::uint64_t from, Belief belief, Seconds now) {
  const auto most = static_cast<int>((bounds_.all + bounds_.rooms - 1) / bounds_.rooms);
  if (belief.parts < 1 || belief.parts > most || belief.part < 0 || belief.part >= belief.parts ||
      belief.rooms.size() > bounds_.rooms || belief.objects.size() > bounds_.rooms || belief.at > now + 1)
    return;
  const auto self = members_.self().member;
  if (belief.router != self && belief.router != from) return;  // nobody speaks for a third
  auto& parts = belief.router == self ? own_ : kept_[from].coming;
  if (!parts.empty() && belief.at < parts.front().at) return;
  if (!parts.empty() && (belief.at > parts.front().at || belief.parts != parts.front().parts)) parts.clear();
  if (std::ranges::find(parts, belief.part, &Belief::part) != parts.end()) return;
  parts.push_back(std::move(belief));
  if (!whole(parts)) return;
  if (&parts != &own_) {
    kept_[from].whole = std::exchange(parts, {});
    return;
  }
  Belief all{.router = self, .at = own_.front().at};
  for (auto& part : std::exchange(own_, {})) {
    all.rooms.insert(all.rooms.end(), part.rooms.begin(), part.rooms.end());
    all.objects.insert(all.objects.end(), part.objects.begin(), part.objects.end());
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
  if (it == kept_.end() || to_send_.size() > kMostToSend) return;
  for (const auto& part : it->second.whole) to_send_.push_back({from, std::make_shared<const Belief>(part)});
}

// A start asks until its time for that is over, as more of the others turn out to be alive; the newest
// counts.
std::optional<Keepers::Send> Keepers::next(Seconds now) {
  if (!returned_ && now >= started_ + bounds_.ask_for) returned_ = true;
  if (!returned_ && now >= ask_at_) {
    ask_at_ = now + bounds_.ask_again;
    for (const int p : keepers_of(members_.self().member)) to_send_.push_back({p, nullptr});
  }
  if (to_send_.empty()) return std::nullopt;
  auto send = std::move(to_send_.front());
  to_send_.pop_front();
  return send;
}

Seconds Keepers::next_due() const {
  return std::min(tell_at_, returned_ ? tell_at_ : std::min(ask_at_, started_ + bounds_.ask_for));
}

}  // namespace walkpaddle::fleet
