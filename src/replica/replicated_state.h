/// \file
/// The interface of a kind of replicated state towards gossip, catch-up and the store: items of bytes with
/// ids, compared by digests of ranges. The kind itself defines the meaning of its items, how copies are
/// joined and their limits. No I/O.
#pragma once

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"

namespace walkpaddle::replica {

/// A message from one router to one other.
struct ReplicatedMessage {
  int peer = -1;      ///< index of the receiver among the peers
  std::string bytes;  ///< encoded by the kind
};

/// The base class of the kinds of replicated state. A kind must outlive the Gossip that it is added to.
class ReplicatedState {
 public:
  /// Number of ranges: few, as a fleet's calendar and changes have some dozens of items.
  static constexpr int kDigestRanges = 4;
  static constexpr std::size_t kMaxItemBytes = 1024;  ///< an item fits a datagram with its header

  virtual ~ReplicatedState() = default;

  /// The kind's number on the wire, which no other kind may ever have.
  virtual std::uint8_t number() const = 0;
  /// The sum of the ids of a range's items; 0: the range is empty. Equal sums are taken to mean equal items.
  std::uint64_t digest(int range) const {
    std::uint64_t sum = 0;
    for (const auto id : ids_of_range(range)) sum += id;
    return sum;
  }
  /// The ids of a range's items, in the order in which another copy has to join them.
  std::vector<std::uint64_t> ids_of_range(int range) const {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, item] : items_)
      if (id % kDigestRanges == static_cast<std::uint64_t>(range)) ids.push_back(id);
    std::ranges::stable_sort(ids, {}, [this](std::uint64_t id) { return join_order(id); });
    return ids;
  }
  /// The ids of items that are new here since the last call, for gossip to spread.
  std::vector<std::uint64_t> take_updates() { return std::exchange(updates_, {}); }
  /// The bytes of an item; empty if it was replaced or is unknown.
  std::string bytes(std::uint64_t id) const {
    const auto it = items_.find(id);
    return it == items_.end() ? std::string() : it->second;
  }
  /// The item's place in the order of joining; lower values come first.
  virtual std::size_t join_order(std::uint64_t /*id*/) const { return 0; }
  /// Joins an item of another copy; true if it was new here. Throws InputError if it cannot be decoded.
  virtual bool join(std::string_view bytes, Seconds now) = 0;

  /// The next message to another router; nullopt if there is none.
  virtual std::optional<ReplicatedMessage> next_message(Seconds /*now*/) { return std::nullopt; }
  /// Handles a message from the peer with index `from`. Throws InputError if it cannot be decoded.
  virtual void receive(int /*from*/, std::string_view /*bytes*/, Seconds /*now*/) {}
  /// State that this router must keep across restarts but does not replicate; written only to the store.
  virtual std::string private_state() const { return {}; }
  /// Restores the private state from the store. Throws InputError if it cannot be decoded.
  virtual void restore_private_state(std::string_view /*bytes*/) {}
  /// The time at which next_message() may have a message even if no input arrives.
  virtual Seconds next_due() const { return 1e15; }

 protected:
  /// An item's id: the hash of its bytes, never 0.
  static std::uint64_t id_of(std::string_view item) { return XXH3_64bits(item.data(), item.size()) | 1; }
  /// Adds an item; false if it is there already.
  bool add_item(const std::string& item) {
    const auto id = id_of(item);
    if (!items_.try_emplace(id, item).second) return false;
    updates_.push_back(id);
    return true;
  }
  /// Removes an item that another one replaced.
  void remove_item(std::uint64_t id) { items_.erase(id); }
  /// The number of updates that take_updates() would return.
  std::size_t pending_updates() const { return updates_.size(); }

 private:
  std::map<std::uint64_t, std::string> items_;  // by id
  std::vector<std::uint64_t> updates_;
};

}  // namespace walkpaddle::replica
