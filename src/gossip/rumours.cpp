#include "gossip/rumours.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace walkpaddle::gossip {

namespace {

// Passes at most `max_count` rumours to `add`, those with the most rounds left first, until it returns false.
template <class Key, class Add>
void pick(std::map<Key, int>& rumours, std::size_t max_count, Rumours::Cost cost, Add&& add) {
  std::vector<std::pair<int, Key>> order;
  order.reserve(rumours.size());
  for (const auto& [key, rounds_left] : rumours) order.emplace_back(-rounds_left, key);
  const auto count = std::min(max_count, order.size());
  std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(count));
  for (std::size_t n = 0; n < count; ++n) {
    const auto& key = order[n].second;
    if (!add(key)) break;
    if (cost == Rumours::Cost::free) continue;
    const auto it = rumours.find(key);
    --it->second;
    if (it->second <= 0) rumours.erase(it);
  }
}

}  // namespace

// The number of rounds that a rumour is sent for. It grows with the logarithm of the fleet's size: with a
// fanout of four a rumour reaches all members but one in thousands.
int Rumours::rounds() const {
  return 2 + static_cast<int>(std::ceil(std::log10(shared_.members.alive_count() + 2.0)));
}

void Rumours::collect() {
  const int rounds = this->rounds();
  const auto accepts = [&](const auto& rumours, const auto& key) {
    return rumours.size() < bounds_.max_rumours || rumours.contains(key);
  };
  for (const auto& key : shared_.tracker.take_updates())
    if (accepts(observations_, key)) observations_[key] = rounds;
  for (const auto& record : shared_.members.take_updates())
    if (accepts(records_, record.member)) records_[record.member] = rounds;
  for (auto* state : shared_.states)
    for (const auto id : state->take_updates())
      if (items_.size() < bounds_.max_rumours) items_[{state->number(), id}] = rounds;
}

// Returns the bytes of the items added.
std::size_t Rumours::add_items(Packet& packet, Cost cost) {
  std::size_t bytes = 0;
  pick(items_, items_.size(), cost, [&](const ItemKey& key) {
    auto item = shared_.find(key.first)->bytes(key.second);
    if (item.empty()) return true;  // replaced by another item since
    if (bytes > 0 && bytes + item.size() > bounds_.item_bytes_per_packet) return false;
    bytes += item.size();
    packet.items.push_back({key.first, std::move(item)});
    return true;
  });
  return bytes;
}

void Rumours::add_to(Packet& packet, Cost cost) {
  constexpr std::size_t kObservationBytes = 56;
  // The bytes that items take are not available for observations.
  const auto taken = add_items(packet, cost) / kObservationBytes;
  const auto max_observations =
      bounds_.observations_per_packet - std::min(bounds_.observations_per_packet, taken);
  pick(observations_, max_observations, cost, [&](const replica::ObservationKey& key) {
    const auto* observation = shared_.tracker.observations().find(key.endpoint, key.observer);
    if (observation != nullptr) packet.observations.push_back(*observation);
    return true;
  });
  const auto& members = shared_.members;
  pick(records_, bounds_.records_per_packet, cost, [&](std::uint64_t member) {
    if (member == members.self().member) packet.records.push_back(members.self());
    if (const int p = members.peer_named(member); p >= 0)
      if (const auto record = members.record(p)) packet.records.push_back(*record);
    return true;
  });
}

}  // namespace walkpaddle::gossip
