// One TCP connection of the soak's side, with the faults of a proxy between it and the router: pieces that
// trickle, bytes lost on their way out, a reset, a half-close.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "io/stream.h"

namespace walkpaddle::soak {

class FaultyConnection : public std::enable_shared_from_this<FaultyConnection> {
 public:
  FaultyConnection(Scheduler& scheduler, Outbox& outbox, Fd fd);

  Stream& stream() { return stream_; }
  void write(std::string_view bytes);  // as the faults have it
  void trickle(const std::string& bytes, std::size_t piece, Seconds between);
  void lose_writes(Seconds until) { lost_until_ = until; }
  void reset();                                     // the other side gets RST
  std::uint64_t queued() const { return queued_; }  // bytes given to be written so far
  std::uint64_t written() const {
    return queued_ - pieces_.size();
  }                   // of these, those that do not trickle any more
  void half_close();  // the other side gets the end of our bytes; we read on
  bool is_reset() const { return reset_; }

 private:
  Task write_pieces(std::shared_ptr<FaultyConnection> self, std::size_t piece, Seconds between);

  Scheduler& scheduler_;
  const int fd_;
  Stream stream_;
  Seconds lost_until_ = 0;
  std::uint64_t queued_ = 0;
  std::string pieces_;  // what trickles, with all that was written behind it
  bool trickles_ = false, reset_ = false;
};

}  // namespace walkpaddle::soak
