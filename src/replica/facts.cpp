#include "replica/facts.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <tuple>

namespace walkpaddle::replica {

namespace {

bool soft(Health h) { return h == Health::slow || h == Health::cold; }

// Over fixed words, the same on every machine of the fleet's byte order. Never 0: an empty range has that.
std::uint64_t hash_of(const Fact& f) {
  const std::uint64_t words[] = {
      f.server,
      std::bit_cast<std::uint64_t>(f.started),
      f.observer,
      std::bit_cast<std::uint64_t>(f.seen.micros),
      static_cast<std::uint64_t>(f.seen.count) << 8 | static_cast<std::uint64_t>(f.health),
      std::bit_cast<std::uint64_t>(f.limit)};
  return XXH3_64bits(words, sizeof words) | 1;
}

Seconds age(Stamp seen, Stamp now) { return now.seconds() - seen.seconds(); }

}  // namespace

// The same observer's latest word; at the same stamp, which cannot come from one honest router, the worse
// news, so that any two copies choose alike.
bool Facts::later(const Fact& a, const Fact& b) {
  return std::tuple(a.seen, a.health, -a.limit) > std::tuple(b.seen, b.health, -b.limit);
}

Facts::Took Facts::take(const Fact& f) {
  if (!std::isfinite(f.started) || !std::isfinite(f.limit) || f.limit < 0 || f.started < 0 ||
      static_cast<int>(f.health) >= kHealths) {
    ++refused_;
    return Took::refused;
  }
  auto it = servers_.find(f.server);
  if (it == servers_.end()) {
    if (servers_.size() >= bounds_.servers) {
      ++refused_;
      return Took::refused;
    }
    it = servers_.emplace(f.server, Server{.started = f.started, .by_observer = {}}).first;
  }
  auto& server = it->second;
  if (f.started < server.started) return Took::old_start;
  if (f.started > server.started) {
    for (const auto& [observer, fact] : server.by_observer) count(fact, -1);
    server.by_observer.clear();
    server.started = f.started;
  }
  auto at = server.by_observer.find(f.observer);
  if (at == server.by_observer.end()) {
    if (server.by_observer.size() >= bounds_.observers) {
      ++refused_;
      return Took::refused;
    }
  } else if (!later(f, at->second)) {
    return Took::known;
  } else {
    count(at->second, -1);
  }
  server.by_observer[f.observer] = f;
  count(f, 1);
  return Took::news;
}

void Facts::count(const Fact& f, int sign) {
  auto& sum = sums_[static_cast<std::size_t>(range_of(f.server))];
  sum += sign > 0 ? hash_of(f) : -hash_of(f);
  size_ += static_cast<std::size_t>(sign);
}

void Facts::join(const Facts& other) {
  for (const auto& f : other.all()) take(f);
}

Health Facts::in_force(const Fact& f, Stamp now) const {
  if (f.health == Health::ready) return f.health;
  return age(f.seen, now) > (soft(f.health) ? bounds_.life : bounds_.hard_life) ? Health::ready : f.health;
}

std::optional<Facts::View> Facts::view(std::uint64_t id, Stamp now) const {
  const auto it = servers_.find(id);
  if (it == servers_.end()) return std::nullopt;
  const auto& facts = it->second.by_observer;
  View view{.started = it->second.started, .observers = static_cast<int>(facts.size()), .newest = {}};
  for (const auto& [observer, f] : facts) {
    view.newest = std::max(view.newest, f.seen);
    if (f.limit > 0 && age(f.seen, now) <= bounds_.life)
      view.limit = view.limit == 0 ? f.limit : std::min(view.limit, f.limit);
    const Health h = in_force(f, now);
    if (h <= view.health) continue;
    // Bad news stands unless enough others saw the server ready after it.
    const auto ready_later = std::ranges::count_if(facts, [&](const auto& other) {
      return other.first != observer && other.second.health == Health::ready && other.second.seen > f.seen;
    });
    if (ready_later < bounds_.quorum) view.health = h;
  }
  return view;
}

const Fact* Facts::find(std::uint64_t id, std::uint64_t observer) const {
  const auto it = servers_.find(id);
  if (it == servers_.end()) return nullptr;
  const auto at = it->second.by_observer.find(observer);
  return at == it->second.by_observer.end() ? nullptr : &at->second;
}

Stamp Facts::last_said(std::uint64_t id, Seconds started, Health at_least) const {
  Stamp last;
  const auto it = servers_.find(id);
  if (it == servers_.end() || it->second.started != started) return last;
  for (const auto& [observer, f] : it->second.by_observer)
    if (f.health >= at_least) last = std::max(last, f.seen);
  return last;
}

void Facts::trim(Seconds now) {
  for (auto it = servers_.begin(); it != servers_.end();) {
    std::erase_if(it->second.by_observer, [&](const auto& held) {
      const bool old = held.second.seen.seconds() < now - bounds_.keep;
      if (old) count(held.second, -1);
      return old;
    });
    it = it->second.by_observer.empty() ? servers_.erase(it) : std::next(it);
  }
}

std::vector<Fact> Facts::of_range(int range) const {
  std::vector<Fact> facts;
  for (const auto& [id, server] : servers_)
    if (range_of(id) == range)
      for (const auto& [observer, f] : server.by_observer) facts.push_back(f);
  return facts;
}

std::vector<Fact> Facts::all() const {
  std::vector<Fact> facts;
  for (const auto& [id, server] : servers_)
    for (const auto& [observer, f] : server.by_observer) facts.push_back(f);
  return facts;
}

}  // namespace walkpaddle::replica
