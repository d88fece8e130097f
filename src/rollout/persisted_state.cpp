#include "rollout/persisted_state.h"

#include <utility>

#include "store/key.h"

namespace walkpaddle::rollout {

namespace {

std::string key_of_kind(char prefix, const replica::ReplicatedState& kind) {
  std::string key(1, prefix);
  return key += std::to_string(kind.number());
}

/// Keys sort by the order in which a start must join the items: a decision or stop of a rollout that is not
/// known yet would be ignored.
std::string key_of_item(const replica::ReplicatedState& kind, std::uint64_t id) {
  return store::encode_key(key_of_kind('k', kind), {kind.join_order(id), id});
}

}  // namespace

void PersistedState::restore(std::string_view key, std::string_view value, Seconds now) {
  for (auto* kind : kinds_) {
    const bool is_private = key == key_of_kind('o', *kind);
    const bool is_item = key.starts_with(key_of_kind('k', *kind));
    if (is_private) kind->restore_private_state(value);
    if (is_item) kind->join(value, now);
    if (is_private || is_item) stored_[std::string(key)] = value;
  }
}

PersistedState::Entries PersistedState::current_entries(Extent extent) const {
  Entries entries;
  for (const auto* kind : kinds_) {
    if (auto bytes = kind->private_state(); !bytes.empty())
      entries[key_of_kind('o', *kind)] = std::move(bytes);
    if (extent == Extent::private_state) continue;
    for (int range = 0; range < replica::ReplicatedState::kDigestRanges; ++range)
      for (const auto id : kind->ids_of_range(range)) entries[key_of_item(*kind, id)] = kind->bytes(id);
  }
  return entries;
}

void PersistedState::persist(store::Store& store, Extent extent) {
  const auto entries = current_entries(extent);
  for (const auto& [key, value] : entries) {
    const auto stored = stored_.find(key);
    if (stored != stored_.end() && stored->second == value) continue;
    if (store.put(key, value, 0)) stored_[key] = value;
  }
  if (extent == Extent::private_state) return;
  std::erase_if(
      stored_, [&](const auto& entry) { return !entries.contains(entry.first) && store.erase(entry.first); });
}

}  // namespace walkpaddle::rollout
