#include "soak/faulty_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace walkpaddle::soak {

FaultyConnection::FaultyConnection(Scheduler& scheduler, Outbox& outbox, Fd fd)
    : scheduler_(scheduler), fd_(fd.get()), stream_(scheduler, outbox, std::move(fd)) {}

void FaultyConnection::write(std::string_view bytes) {
  if (scheduler_.now() < lost_until_) return;
  queued_ += bytes.size();
  if (trickles_)
    pieces_ += bytes;
  else
    stream_.write(bytes);
}

void FaultyConnection::trickle(const std::string& bytes, std::size_t piece, Seconds between) {
  if (scheduler_.now() < lost_until_) return;
  queued_ += bytes.size();
  pieces_ += bytes;
  if (!std::exchange(trickles_, true)) scheduler_.start(write_pieces(shared_from_this(), piece, between));
}

Task FaultyConnection::write_pieces(std::shared_ptr<FaultyConnection> self, std::size_t piece,
                                    Seconds between) {
  Event pause(scheduler_);
  while (!self->pieces_.empty() && !self->stream_.broken()) {
    const auto size = std::min(piece, self->pieces_.size());
    self->stream_.write(std::string_view(self->pieces_).substr(0, size));
    self->pieces_.erase(0, size);
    co_await pause.wait(scheduler_.now() + between);
  }
  self->trickles_ = false;
}

void FaultyConnection::reset() {
  if (std::exchange(reset_, true)) return;
  const linger at_once{1, 0};
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  stream_.close();  // the owner then drops the object
}

void FaultyConnection::half_close() { ::shutdown(fd_, SHUT_WR); }

}  // namespace walkpaddle::soak
