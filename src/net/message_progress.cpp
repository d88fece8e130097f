#include "net/message_progress.h"

#include <algorithm>

namespace walkpaddle::net {

void MessageProgress::begin(Seconds now) {
  begun_at_ = now;
  last_received_at_ = now;
  previous_ = {now, 0};
  current_ = {now, 0};
}

void MessageProgress::received(std::size_t bytes, Seconds now) {
  if (!is_unfinished()) begin(now);
  last_received_at_ = now;
  if (now >= current_.began_at + kPeriod) {
    previous_ = current_;
    current_ = {now, 0};
  }
  current_.bytes += bytes;
}

double MessageProgress::rate(Seconds now) const {
  constexpr Seconds kLeastTime = 0.001;  // so that the first bytes of a message give a finite rate
  // If nothing has come for a whole period, the one before it is over as well.
  const bool previous_is_over = now >= current_.began_at + 2 * kPeriod;
  const Seconds since = previous_is_over ? current_.began_at : previous_.began_at;
  const auto bytes = current_.bytes + (previous_is_over ? 0 : previous_.bytes);
  return static_cast<double>(bytes) / std::max(kLeastTime, now - since);
}

}  // namespace walkpaddle::net
