// Which purges each box has confirmed, without I/O. A box is told in this router's order of hearing, a
// bounded number ahead of what it has confirmed; each has a cursor, and what it confirmed of an earlier run
// counts only if the box itself says so: a box that started empty says nothing.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "purge/book.h"

namespace walkpaddle::purge {

class Boxes {
 public:
  enum class State { unknown, asked, telling, deaf };  // deaf: it does not know the command
  struct Box {
    State state = State::unknown;
    bool listed = false;
    std::uint64_t confirmed = 0, told = 0;  // places
    Seconds retry_at = 0;
  };
  struct Send {
    int box = -1;
    const Entry* entry = nullptr;  // null: ask the box for its cursor
  };

  explicit Boxes(const Book& book) : book_(book) {}

  void listed(int box, bool is);
  void may_tell(std::uint64_t place) { most_ = place; }  // what would be lost in a restart is not told
  void connection_lost(int box);                         // what was told and not confirmed is told again
  void unsent(int box, Seconds now);          // there is no connection yet: what was to be sent is sent later
  void cursor(int box, std::uint64_t place);  // its answer, 0 if it holds none from this router
  void confirmed(int box, std::uint64_t place, Seconds now);  // in order: all up to there
  void refused(int box) { at(box).state = State::deaf; }      // it does not know the command

  std::optional<Send> next(Seconds now);  // until none

  // Whether every listed box that understands purges has confirmed the place; those that have not are named.
  std::vector<int> missing(std::uint64_t place) const;
  std::uint64_t confirmed_by(int box) const;
  const std::vector<Box>& all() const { return boxes_; }

 private:
  static constexpr std::uint64_t kAhead = 32;  // a batch of a few kilobytes on its way to one box
  static constexpr Seconds kRetry = 0.5;  // without an answer, as long as a frozen box is left alone at first
  Box& at(int box);
  const Book& book_;
  std::uint64_t most_ = ~std::uint64_t{};
  std::vector<Box> boxes_;
};

}  // namespace walkpaddle::purge
