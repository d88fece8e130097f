// A kind of replicated state, as the gossip, the catch-up and the store carry it: items of bytes under ids,
// compared by digests of ranges. What an item means, how copies are joined and what bounds them is the kind's
// own; those who carry it know none by name. No I/O.
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

class Kind {
 public:
  static constexpr int kRanges = 4;  // a fleet's calendar and changes are some dozens of items
  static constexpr int kMost = 8;    // kinds, by number
  static constexpr std::size_t kLargestItem = 1024;  // bytes: an item fits a datagram beside its head

  virtual ~Kind() = default;
  virtual std::uint8_t number() const = 0;  // on the wire; never given to another kind
  std::uint64_t digest(int range) const {   // 0: empty; equal sums, equal items
    std::uint64_t sum = 0;
    for (const auto id : of_range(range)) sum += id;
    return sum;
  }
  std::vector<std::uint64_t> of_range(int range) const {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, item] : items_)
      if (id % kRanges == static_cast<std::uint64_t>(range)) ids.push_back(id);
    std::ranges::stable_sort(ids, {}, [this](std::uint64_t id) { return place_of(id); });
    return ids;
  }
  std::vector<std::uint64_t> take_news() { return std::exchange(news_, {}); }  // ids that are new here; once
  std::string bytes(std::uint64_t id) const {                                  // empty: it is there no more
    const auto it = items_.find(id);
    return it == items_.end() ? std::string() : it->second;
  }
  virtual std::size_t place_of(std::uint64_t /*id*/) const { return 0; }  // lower ones are to be taken first
  virtual bool take(std::string_view bytes,
                    Seconds now) = 0;  // the join; true: news. InputError if unreadable

  // What goes from one router to another and to nobody else: to peers by their number among the members.
  struct Letter {
    int peer = -1;
    std::string bytes;
  };
  virtual std::optional<Letter> next_letter(Seconds /*now*/) { return std::nullopt; }  // until none
  virtual void letter(int /*from*/, std::string_view /*bytes*/, Seconds /*now*/) {
  }  // InputError if unreadable
  // What this router must not forget though it is nobody else's: it goes to the store alone.
  virtual std::string own() const { return {}; }
  virtual void own_back(std::string_view /*bytes*/) {}  // InputError if unreadable
  virtual Seconds next_due() const { return 1e15; }     // when next_letter() may have more without an input

 protected:
  static std::uint64_t id_of(std::string_view item) { return XXH3_64bits(item.data(), item.size()) | 1; }
  // False: it is held already.
  bool hold_item(const std::string& item) {
    const auto id = id_of(item);
    if (!items_.try_emplace(id, item).second) return false;
    news_.push_back(id);
    return true;
  }
  void drop_item(std::uint64_t id) { items_.erase(id); }
  std::size_t news() const { return news_.size(); }

 private:
  std::map<std::uint64_t, std::string> items_;  // as bytes, by their hash
  std::vector<std::uint64_t> news_;
};

}  // namespace walkpaddle::replica
