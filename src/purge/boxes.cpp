#include "purge/boxes.h"

#include <algorithm>

namespace walkpaddle::purge {

Boxes::Box& Boxes::at(int box) {
  if (box >= static_cast<int>(boxes_.size())) boxes_.resize(static_cast<std::size_t>(box) + 1);
  return boxes_[static_cast<std::size_t>(box)];
}

void Boxes::listed(int box, bool is) { at(box).listed = is; }

void Boxes::connection_lost(int box) {
  auto& b = at(box);
  if (b.state != State::deaf) b.state = State::unknown;
  b.told = b.confirmed, b.retry_at = 0;
}

void Boxes::unsent(int box, Seconds now) {
  constexpr Seconds kDialled = 0.05;  // a connection is up within some milliseconds, or not for a while
  auto& b = at(box);
  b.told = b.confirmed, b.retry_at = now + kDialled;
  if (b.state != State::telling) b.state = State::unknown;
}

void Boxes::cursor(int box, std::uint64_t place) {
  auto& b = at(box);
  b.state = State::telling;
  b.confirmed = b.told = std::min(place, book_.places());
  b.retry_at = 0;
}

void Boxes::confirmed(int box, std::uint64_t place, Seconds now) {
  auto& b = at(box);
  if (b.state != State::telling || place > b.told) return;  // of an earlier connection
  b.confirmed = std::max(b.confirmed, place);
  b.retry_at = b.told > b.confirmed ? now + kRetry : 0;
}

std::optional<Boxes::Send> Boxes::next(Seconds now) {
  for (std::size_t n = 0; n < boxes_.size(); ++n) {
    auto& b = boxes_[n];
    const int box = static_cast<int>(n);
    if (!b.listed || b.state == State::deaf) continue;
    if (b.state != State::telling) {
      if (now < b.retry_at || book_.size() == 0) continue;
      b.state = State::asked, b.retry_at = now + kRetry;
      return Send{box, nullptr};
    }
    if (b.told == b.confirmed && now < b.retry_at) continue;
    if (b.told > b.confirmed && now >= b.retry_at) b.told = b.confirmed;  // unanswered: told again
    if (b.told >= b.confirmed + kAhead) continue;
    const auto* entry = book_.from_place(b.told + 1);
    if (entry == nullptr) {
      if (b.told == b.confirmed) b.told = b.confirmed = book_.places();  // dropped since: nothing to confirm
      continue;
    }
    if (entry->place > most_) continue;
    if (b.told == b.confirmed) b.retry_at = now + kRetry;
    b.told = entry->place;
    return Send{box, entry};
  }
  return std::nullopt;
}

std::vector<int> Boxes::missing(std::uint64_t place) const {
  std::vector<int> boxes;
  for (std::size_t n = 0; n < boxes_.size(); ++n)
    if (boxes_[n].listed && boxes_[n].state != State::deaf && boxes_[n].confirmed < place)
      boxes.push_back(static_cast<int>(n));
  return boxes;
}

std::uint64_t Boxes::confirmed_by(int box) const {
  return box < static_cast<int>(boxes_.size()) ? boxes_[static_cast<std::size_t>(box)].confirmed : 0;
}

}  // namespace walkpaddle::purge
