#include "gossip/clock_offsets.h"

#include <algorithm>
#include <vector>

namespace walkpaddle::gossip {

Seconds ClockOffsets::median(Seconds now) const {
  constexpr Seconds kRecent = 60;
  std::vector<Seconds> ahead;
  for (const auto& [peer, offset] : offsets_)
    if (now - offset.noted_at < kRecent) ahead.push_back(offset.ahead);
  if (ahead.size() < 2) return 0;
  const auto middle = ahead.begin() + static_cast<std::ptrdiff_t>(ahead.size() / 2);
  std::ranges::nth_element(ahead, middle);
  return *middle;
}

}  // namespace walkpaddle::gossip
