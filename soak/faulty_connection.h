// The soak's end of a TCP connection to a router, with network faults: writes in small delayed pieces, lost
// writes, a reset, a half-close.
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
  // Drops the bytes while writes are lost; queues them behind a trickled write that is not finished.
  void write(std::string_view bytes);
  // Writes `piece` bytes at a time, every `between` seconds.
  void trickle(const std::string& bytes, std::size_t piece, Seconds between);
  void lose_writes(Seconds until) { lost_until_ = until; }
  void reset();  // sends RST
  // Bytes passed to write() and trickle(), without lost ones.
  std::uint64_t queued() const { return queued_; }
  // Of these, the bytes that are not waiting in a trickled write.
  std::uint64_t written() const { return queued_ - pieces_.size(); }
  void half_close();  // sends FIN; reading goes on
  bool is_reset() const { return reset_; }

 private:
  Task write_pieces(std::shared_ptr<FaultyConnection> self, std::size_t piece, Seconds between);

  Scheduler& scheduler_;
  const int fd_;
  Stream stream_;
  Seconds lost_until_ = 0;
  std::uint64_t queued_ = 0;
  std::string pieces_;  // rest of a trickled write and the bytes queued behind it
  bool trickles_ = false, reset_ = false;
};

}  // namespace walkpaddle::soak
