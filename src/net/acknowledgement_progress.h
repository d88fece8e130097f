/// \file
/// Whether a client still takes the answers that the kernel has accepted for it. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace walkpaddle::net {

/// Follows how many bytes a peer's machine has acknowledged, as seen by samples at any times.
class AcknowledgementProgress {
 public:
  /// Takes a sample: `written` bytes in all, `unacknowledged` of them pending. Returns for how long none of
  /// the pending bytes has been acknowledged, as far as the samples tell; 0 if none is pending.
  Seconds stalled_for(std::uint64_t written, std::size_t unacknowledged, Seconds now) {
    // The end of the stream counts as a pending byte, but is not among the written ones.
    const auto acknowledged = static_cast<std::int64_t>(written) - static_cast<std::int64_t>(unacknowledged);
    if (!was_pending_ || acknowledged > acknowledged_) progress_at_ = now;
    was_pending_ = unacknowledged > 0;
    acknowledged_ = acknowledged;
    return was_pending_ ? now - progress_at_ : 0;
  }

 private:
  bool was_pending_ = false;  // at the last sample
  std::int64_t acknowledged_ = 0;
  Seconds progress_at_ = 0;
};

}  // namespace walkpaddle::net
