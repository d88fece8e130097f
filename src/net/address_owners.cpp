#include "net/address_owners.h"

#include <algorithm>
#include <utility>

namespace walkpaddle::net {

void AddressOwners::begin_list() {
  ++list_;
  taken_.clear();
}

void AddressOwners::update(int endpoint, const Address& address, bool present) {
  const auto index = static_cast<std::size_t>(endpoint);
  if (index >= entries_.size()) entries_.resize(index + 1);
  auto& entry = entries_[index];
  entry.named_in = list_;
  if (present && entry.present && entry.address == address) return;
  remove(endpoint);
  entry.address = address;
  entry.present = present;
  if (!present) return;
  const auto [first, last] = by_address_.equal_range(address);
  for (auto it = first; it != last; ++it) taken_.push_back(it->second);
  by_address_.emplace(address, endpoint);
}

void AddressOwners::remove(int endpoint) {
  auto& entry = entries_[static_cast<std::size_t>(endpoint)];
  if (!std::exchange(entry.present, false)) return;
  const auto [first, last] = by_address_.equal_range(entry.address);
  const auto it = std::find_if(first, last, [&](const auto& owner) { return owner.second == endpoint; });
  if (it != last) by_address_.erase(it);
}

std::vector<int> AddressOwners::end_list() {
  std::vector<int> superseded;
  for (const int endpoint : std::exchange(taken_, {})) {
    const auto& entry = entries_[static_cast<std::size_t>(endpoint)];
    if (!entry.present || entry.named_in == list_) continue;
    remove(endpoint);
    superseded.push_back(endpoint);
  }
  return superseded;
}

}  // namespace walkpaddle::net
