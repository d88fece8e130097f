// One TCP connection: what came in, what is to go out. Writes are gathered and flushed to the kernel once a
// turn.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "io/fd.h"
#include "io/scheduler.h"

namespace walkpaddle {

struct Address {
  std::uint32_t ip = 0;  // host order
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};
Address parse_address(std::string_view text);  // a.b.c.d:port, else InputError
std::string text_of(const Address& address);

Fd listen_on(const Address& address);  // throws SystemError
Fd bind_udp(const Address& address);   // UDP, not waiting; throws SystemError
// On its way; invalid with errno if refused at once, which closing the socket does not change.
Fd dial(const Address& address);
// Whether a call failed for want of this machine's own descriptors, memory, buffers or ports.
bool is_local_resource_error(int error);

// The same by a path, for processes of this machine: mode 0600. A socket that a dead process left is
// replaced, one that answers is not.
Fd listen_on(const std::string& path);
Fd dial(const std::string& path);

class Stream;

// What the streams share: those that have something to send at the turn's end, and the room that they read
// into.
class Outbox {
 public:
  // most_held: bytes that may wait to be sent, of all streams together, before those that read slowly are
  // closed.
  Outbox(Scheduler& scheduler, std::size_t most_held)
      : scheduler_(scheduler), most_held_(most_held), room_(kRoom) {
    scheduler.call_at_turn_end([this] { flush(); });
  }
  void hold(std::size_t more, std::size_t less) { held_ += more - less; }
  bool full() const { return held_ > most_held_; }
  void add(Stream& stream) { streams_.push_back(&stream); }
  void remove(Stream& stream);
  void flush();
  // The kernel had no memory for a call of this stream: it is asked again a little later.
  void ask_again(Stream& stream);
  std::vector<char>& room() { return room_; }

 private:
  // What one read takes: some tens of small messages or part of a large one; others get their turn between.
  static constexpr std::size_t kRoom = std::size_t{64} * 1024;
  static constexpr Seconds kAskAgain = 0.005;
  Scheduler& scheduler_;
  const std::size_t most_held_;
  std::size_t held_ = 0;
  std::vector<Stream*> streams_;  // null: dropped since
  std::vector<Stream*> again_;    // the same, for those that ask again at ask_at_
  Seconds ask_at_ = kNoTime;
  std::vector<char> room_;
};

class Stream final : Scheduler::Watcher {
  friend class Outbox;

 public:
  Stream(Scheduler& scheduler, Outbox& outbox, Fd fd);
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  ~Stream();

  enum class ReadResult { bytes, nothing, end };
  ReadResult read();  // takes what the kernel holds, within a bound a call
  // The other side's end has come, whether read or not, also behind bytes that are unread.
  bool ended() const;
  bool has_unread() const;  // bytes that came and were not read yet
  std::string_view in() const { return {in_.data() + in_from_, in_.size() - in_from_}; }
  void consume(std::size_t bytes);
  Event::Awaiter readable(Seconds until = kNoTime) { return readable_.wait(until); }
  Event::Awaiter writable(Seconds until = kNoTime) { return writable_.wait(until); }
  int error() const;  // pending on the socket, 0 for none

  void write(std::string_view bytes);
  std::uint64_t written() const { return written_; }  // bytes given to write() so far
  std::uint64_t flushed() const { return flushed_; }  // of these, bytes that the kernel took
  std::size_t unsent() const { return written_ - flushed_; }
  // The bytes from place `from` to `to` of those written go out of what is still to be sent; false, and all
  // stays, if the kernel took some of them.
  bool remove_unsent(std::uint64_t from, std::uint64_t to);
  void flush();
  void shutdown_write();
  void wake() { readable_.set(); }  // its reader looks again
  void close();                     // as if the other side had closed: the reader wakes and sees the end
  bool broken() const { return broken_; }
  bool can_write() const { return !broken_ && !unwritable_; }

 private:
  void on_ready(std::uint32_t epoll_events) override;

  Scheduler& scheduler_;
  Outbox& outbox_;
  Fd fd_;
  Event readable_, writable_;
  std::string in_, out_;
  std::size_t in_from_ = 0, out_from_ = 0;
  std::uint64_t written_ = 0, flushed_ = 0;
  bool queued_ = false, blocked_ = false, broken_ = false;
  bool unwritable_ = false;  // the other side takes nothing any more; what it sent may still be read
};

}  // namespace walkpaddle
