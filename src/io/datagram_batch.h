/// \file
/// Receives datagrams several at a time. A system call for each would be slower than a peer sends them, and
/// what the kernel drops then hits all senders alike.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cstddef>
#include <string_view>
#include <vector>

#include "io/stream.h"
#include "io/turn_budget.h"

namespace walkpaddle {

/// Buffers for the datagrams of one socket.
class DatagramBatch {
 public:
  /// A datagram that was received. `bytes` is valid until the next receive().
  struct Datagram {
    Address source;          ///< the sender
    std::string_view bytes;  ///< cut off after the length that the batch was made for
  };
  /// `max_bytes`: of one datagram.
  explicit DatagramBatch(std::size_t max_bytes);
  DatagramBatch(const DatagramBatch&) = delete;
  DatagramBatch& operator=(const DatagramBatch&) = delete;

  /// Receives the datagrams that wait at a non-blocking socket, as far as the batch holds them. False if none
  /// does.
  bool receive(int fd);
  /// Number of datagrams that the last receive() gave.
  std::size_t size() const { return size_; }
  /// Datagram `index` of them.
  Datagram operator[](std::size_t index) const;

 private:
  static constexpr std::size_t kDatagrams = 32;
  const std::size_t max_bytes_;
  std::size_t size_ = 0;
  std::vector<char> buffer_;
  std::array<sockaddr_in, kDatagrams> sources_{};
  std::array<iovec, kDatagrams> places_{};
  std::array<mmsghdr, kDatagrams> messages_{};
};

/// Receives datagrams and passes each to `handle` until none waits or the slice is over. False in the second
/// case: the rest is received in a later turn.
template <class Handle>
bool receive_slice(int fd, DatagramBatch& batch, TimeSlice& slice, Handle handle) {
  bool is_drained = false;
  slice.begin();
  while (!is_drained && !slice.is_over()) {
    is_drained = !batch.receive(fd);
    for (std::size_t n = 0; n < batch.size(); ++n) handle(batch[n]);
  }
  slice.end();
  return is_drained;
}

}  // namespace walkpaddle
