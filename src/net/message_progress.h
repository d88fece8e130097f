/// \file
/// How a message that is not complete yet arrives. Time limits on it are limits on silence, so that a message
/// which still arrives is never cut off; its rate tells which one to give up when descriptors or memory are
/// short. No I/O.
#pragma once

#include <cstddef>

#include "base/time.h"
#include "io/scheduler.h"

namespace walkpaddle::net {

/// The progress of one connection's unfinished message.
class MessageProgress {
 public:
  /// A message is expected or has begun; until its first bytes arrive, silence counts from now.
  void begin(Seconds now);
  /// Bytes of an unfinished message were received. Begins a message if none is unfinished.
  void received(std::size_t bytes, Seconds now);
  /// The message is complete.
  void finish() { begun_at_ = kNoTime; }

  /// Whether a message is expected or unfinished.
  bool is_unfinished() const { return begun_at_ < kNoTime; }
  /// How long the message has been unfinished; 0 if none is.
  Seconds age(Seconds now) const { return is_unfinished() ? now - begun_at_ : 0; }
  /// When its last bytes were received, or else when it began; kNoTime if none is unfinished.
  Seconds last_received_at() const { return is_unfinished() ? last_received_at_ : kNoTime; }
  /// Bytes per second of the last seconds.
  double rate(Seconds now) const;

 private:
  // Bytes are counted in two periods, so that the rate covers between one and two of them.
  static constexpr Seconds kPeriod = 2;
  struct Period {
    Seconds began_at = 0;
    std::size_t bytes = 0;
  };
  Seconds begun_at_ = kNoTime;
  Seconds last_received_at_ = 0;
  Period previous_, current_;
};

}  // namespace walkpaddle::net
