// What is in force: for an object, the newest purge that covers it, as the time before which its copies are
// old. Bounded: past a bound the oldest purges of a kind fold into slots by hash, that cover more, never
// less.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "purge/entry.h"
#include "purge/patterns.h"
#include "purge/tags.h"

namespace walkpaddle::purge {

class Cover {
 public:
  struct Bounds {
    Seconds life = 7;             // no copy is older: for so long a purge is in force
    std::size_t most = 4096;      // of a kind, before the oldest fold
    std::size_t objects = 16384;  // whose tags and patterns are remembered
  };
  explicit Cover(const Bounds& bounds);

  void object(std::uint64_t hash, Seconds from) { objects_.add(hash, from, bounds_.most); }
  void group(std::uint32_t group, Seconds from) { groups_.add(group, from, bounds_.most); }
  void tag(std::uint64_t hash, Seconds from);
  void pattern(std::string_view pattern, Seconds from);  // one that Patterns::refusal() lets pass
  void all(Seconds from) { all_ = std::max(all_, from); }
  void add(const Entry& entry);  // any kind, by the entry's own text

  // Copies of this object made before the time returned are old; 0 if none is in force. `name` is read for
  // patterns alone.
  Seconds newest(std::uint64_t object, std::uint32_t group, std::string_view name, Seconds now);
  // The newest purge of any of these tags: what an answer itself says of its copy.
  Seconds newest_of(std::span<const std::uint64_t> tags, Seconds now) const;

  void learn(std::uint64_t object, std::span<const std::uint64_t> tags, Seconds now);
  void trim(Seconds now);  // drops what is out of force; a bounded part a call
  std::size_t size() const { return objects_.size() + groups_.size() + tags_.size() + patterns_.size(); }

 private:
  // Purges by a key, the newest of each.
  class Keyed {
   public:
    void add(std::uint64_t key, Seconds from, std::size_t most);
    Seconds newest(std::uint64_t key) const;
    Seconds newest() const { return newest_; }  // of all
    void trim(Seconds least);
    std::size_t size() const { return held_.size(); }

   private:
    static constexpr std::size_t kSlots = 1024, kATrim = 4096;
    static std::size_t slot(std::uint64_t key) { return key >> 7 & (kSlots - 1); }
    void pop(bool fold);
    std::unordered_map<std::uint64_t, Seconds> held_;
    std::deque<std::pair<Seconds, std::uint64_t>> order_;  // as they came
    std::vector<Seconds> folded_;                          // none before the first fold
    Seconds newest_ = 0;
  };

  const Bounds bounds_;
  Keyed objects_, groups_, tags_;
  Patterns patterns_;
  Tags known_;
  Seconds all_ = 0;
};

}  // namespace walkpaddle::purge
