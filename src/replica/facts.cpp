#include "replica/facts.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace walkpaddle::replica {

namespace {

bool soft(Health h) { return h == Health::slow || h == Health::cold; }

Sec age(Stamp seen, Stamp now) { return now.seconds() - seen.seconds(); }

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
    for (const auto& [observer, held] : server.by_observer) numbers_.erase(held.number);
    server.by_observer.clear();
    server.started = f.started;
  }
  auto at = server.by_observer.find(f.observer);
  if (at == server.by_observer.end()) {
    if (server.by_observer.size() >= bounds_.observers) {
      ++refused_;
      return Took::refused;
    }
  } else if (!later(f, at->second.fact)) {
    return Took::known;
  } else {
    numbers_.erase(at->second.number);
  }
  server.by_observer[f.observer] = {f, ++version_};
  numbers_[version_] = {f.server, f.observer};
  return Took::news;
}

void Facts::join(const Facts& other) {
  for (const auto& [number, key] : other.numbers_)
    take(other.servers_.at(key.first).by_observer.at(key.second).fact);
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
  for (const auto& [observer, held] : facts) {
    const auto& f = held.fact;
    view.newest = std::max(view.newest, f.seen);
    if (f.limit > 0 && age(f.seen, now) <= bounds_.life)
      view.limit = view.limit == 0 ? f.limit : std::min(view.limit, f.limit);
    const Health h = in_force(f, now);
    if (h <= view.health) continue;
    // Bad news stands unless enough others saw the server ready after it.
    const auto ready_later = std::ranges::count_if(facts, [&](const auto& other) {
      return other.first != observer && other.second.fact.health == Health::ready &&
             other.second.fact.seen > f.seen;
    });
    if (ready_later < bounds_.quorum) view.health = h;
  }
  return view;
}

std::vector<Fact> Facts::since(std::uint64_t after, std::size_t most, std::uint64_t* through) const {
  std::vector<Fact> facts;
  std::uint64_t last = after;
  for (auto it = numbers_.upper_bound(after); it != numbers_.end() && facts.size() < most; ++it) {
    facts.push_back(servers_.at(it->second.first).by_observer.at(it->second.second).fact);
    last = it->first;
  }
  // Nothing left to tell: the peer holds all up to the newest number, also those that were replaced.
  if (facts.size() < most) last = std::max(last, version_);
  if (through != nullptr) *through = last;
  return facts;
}

std::vector<Fact> Facts::all() const {
  std::vector<Fact> facts;
  for (const auto& [id, server] : servers_)
    for (const auto& [observer, held] : server.by_observer) facts.push_back(held.fact);
  return facts;
}

}  // namespace walkpaddle::replica
