/// \file
/// Replicated state in the store: the items of each kind, and what a router must not forget though it is
/// nobody else's. Keys are "k" and "o" with the kind's number.
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

/// Keeps the entries of some kinds in the store as they stand.
class PersistedState {
 public:
  /// What a call writes.
  enum class Extent : std::uint8_t {
    private_state,  ///< what this router must not forget: it goes before an answer that rests on it leaves
    all,            ///< the items too; what is no more is erased
  };

  /// The kinds outlive this.
  explicit PersistedState(std::vector<replica::ReplicatedState*> kinds) : kinds_(std::move(kinds)) {}

  /// Whether an entry of the store is of a kind.
  static bool owns(std::string_view key) { return key.starts_with('k') || key.starts_with('o'); }
  /// An entry of the store, in the order of its keys; throws InputError where it cannot be used.
  void restore(std::string_view key, std::string_view value, Seconds now);
  /// Writes what has changed; what the store does not take is tried again by the next call.
  void persist(store::Store& store, Extent extent);

 private:
  using Entries = std::map<std::string, std::string>;
  Entries present(Extent extent) const;

  std::vector<replica::ReplicatedState*> kinds_;
  Entries stored_;
};

}  // namespace walkpaddle::rollout
