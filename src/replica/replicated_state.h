/// \file
/// A kind of replicated state as gossip, catch-up and the store carry it: items of bytes under ids, compared
/// by digests of ranges. What an item means, how copies are joined and what bounds them is the kind's own;
/// those who carry it know none by name. No I/O.
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

/// What goes from one router to another and to nobody else.
struct ReplicatedMessage {
  int peer = -1;      ///< the receiver's number among the members
  std::string bytes;  ///< in the kind's own form
};

/// The base of each kind. A kind must outlive the Gossip that carries it.
class ReplicatedState {
 public:
  static constexpr int kDigestRanges = 4;  ///< a fleet's calendar and changes are some dozens of items
  static constexpr std::size_t kMaxItemBytes = 1024;  ///< an item fits a datagram beside its head

  virtual ~ReplicatedState() = default;

  /// The kind's number on the wire; never given to another kind.
  virtual std::uint8_t number() const = 0;
  /// The sum of the ids of a range; 0: it is empty. Equal sums, equal items.
  std::uint64_t digest(int range) const {
    std::uint64_t sum = 0;
    for (const auto id : ids_of_range(range)) sum += id;
    return sum;
  }
  /// The items of a range in the order in which another copy is to join them.
  std::vector<std::uint64_t> ids_of_range(int range) const {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, item] : items_)
      if (id % kDigestRanges == static_cast<std::uint64_t>(range)) ids.push_back(id);
    std::ranges::stable_sort(ids, {}, [this](std::uint64_t id) { return join_order(id); });
    return ids;
  }
  /// The items that are new here since the last call, to be spread.
  std::vector<std::uint64_t> take_updates() { return std::exchange(updates_, {}); }
  /// An item's bytes; empty if it is not held any more.
  std::string bytes(std::uint64_t id) const {
    const auto it = items_.find(id);
    return it == items_.end() ? std::string() : it->second;
  }
  /// Items with a lower value are to be joined first.
  virtual std::size_t join_order(std::uint64_t /*id*/) const { return 0; }
  /// Joins an item of another copy; true if it was new here. Throws InputError if it cannot be read.
  virtual bool join(std::string_view bytes, Seconds now) = 0;

  /// The next message to another router; none: nothing is waiting.
  virtual std::optional<ReplicatedMessage> next_message(Seconds /*now*/) { return std::nullopt; }
  /// A message of the member `from`. Throws InputError if it cannot be read.
  virtual void receive(int /*from*/, std::string_view /*bytes*/, Seconds /*now*/) {}
  /// What this router must not forget though it is nobody else's: it goes to the store alone.
  virtual std::string private_state() const { return {}; }
  /// The same, back from the store. Throws InputError if it cannot be read.
  virtual void restore_private_state(std::string_view /*bytes*/) {}
  /// When next_message() may have more without an input.
  virtual Seconds next_due() const { return 1e15; }

 protected:
  /// An item's id: the hash of its bytes, never 0.
  static std::uint64_t id_of(std::string_view item) { return XXH3_64bits(item.data(), item.size()) | 1; }
  /// False: it is held already.
  bool add_item(const std::string& item) {
    const auto id = id_of(item);
    if (!items_.try_emplace(id, item).second) return false;
    updates_.push_back(id);
    return true;
  }
  /// An item that another replaced.
  void remove_item(std::uint64_t id) { items_.erase(id); }
  /// How many updates wait to be taken.
  std::size_t pending_updates() const { return updates_.size(); }

 private:
  std::map<std::uint64_t, std::string> items_;  // by id
  std::vector<std::uint64_t> updates_;
};

}  // namespace walkpaddle::replica
