/// \file
/// Persistence of replicated state: the items of each kind and the router's private state are kept in the
/// store. Keys begin with "k" for items and "o" for private state, followed by the number of the kind.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "replica/replicated_state.h"
#include "store/store.h"

namespace walkpaddle::rollout {

/// Keeps the store's entries of some kinds of replicated state up to date.
class PersistedState {
 public:
  /// The entries that persist() writes.
  enum class Extent : std::uint8_t {
    private_state,  ///< only the private state; to be written before an answer that depends on it is sent
    all,            ///< also the items; entries of items that no longer exist are erased
  };

  /// The kinds must outlive this object.
  explicit PersistedState(std::vector<replica::ReplicatedState*> kinds) : kinds_(std::move(kinds)) {}

  /// Whether a key of the store is one of replicated state.
  static bool owns(std::string_view key) { return key.starts_with('k') || key.starts_with('o'); }
  /// Restores an entry of the store. Entries must be passed in the order of their keys. Throws InputError if
  /// the entry is invalid.
  void restore(std::string_view key, std::string_view value, Seconds now);
  /// Writes the entries that have changed. The next call retries those that the store did not accept.
  void persist(store::Store& store, Extent extent);

 private:
  using Entries = std::map<std::string, std::string>;
  Entries current_entries(Extent extent) const;

  std::vector<replica::ReplicatedState*> kinds_;
  Entries stored_;
};

}  // namespace walkpaddle::rollout
