// Stream sockets with buffered input and output. Output is collected and passed to the kernel once per turn
// of the scheduler.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "io/buffer_budget.h"
#include "io/fd.h"
#include "io/output_buffer.h"
#include "io/scheduler.h"

namespace walkpaddle {

/// An IPv4 address and port.
struct Address {
  std::uint32_t ip = 0;  ///< in host byte order
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
  /// A hash within this process.
  std::uint64_t hash() const {
    constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15;  // Fibonacci hashing (Knuth, 6.4)
    constexpr int kShift = 32;
    return (((static_cast<std::uint64_t>(ip) << 16) | port) * kMultiplier) >> kShift;
  }
};
/// Parses "a.b.c.d:port". Throws InputError for anything else.
Address parse_address(std::string_view text);
/// The address as "a.b.c.d:port".
std::string text_of(const Address& address);

/// Opens a non-blocking listening TCP socket. Throws SystemError.
Fd listen_on(const Address& address);
/// Opens a non-blocking UDP socket bound to `address`. Throws SystemError.
Fd bind_udp(const Address& address);
/// Starts a non-blocking TCP connect. Returns an invalid Fd if it fails at once; errno then still has the
/// cause, as closing the socket does not change it.
Fd dial(const Address& address);
/// Whether a call failed because this machine ran out of descriptors, memory, buffers or ports.
bool is_local_resource_error(int error);

/// Opens a listening Unix socket at `path`, with mode 0600. Replaces a socket that a dead process left there;
/// throws SystemError with EADDRINUSE if a live process answers.
Fd listen_on(const std::string& path);
/// Connects to the Unix socket at `path`. Returns an invalid Fd if that fails.
Fd dial(const std::string& path);

class Stream;

/// State shared by all streams of a scheduler: the streams with output to send at the end of the turn, the
/// memory that their buffers may take, and the buffer that they read into. `scheduler` must outlive it, and
/// it must outlive its streams.
class Outbox {
 public:
  /// `max_buffered`: bytes that all streams together may hold (BufferBudget).
  Outbox(Scheduler& scheduler, std::size_t max_buffered)
      : scheduler_(scheduler), budget_(scheduler, max_buffered), read_buffer_(kReadBufferBytes) {
    scheduler.call_at_turn_end([this] { flush(); });
  }
  /// The memory for the buffers of all streams.
  BufferBudget& budget() { return budget_; }
  /// Has the stream flushed at the end of the turn.
  void add(Stream& stream) { streams_.push_back(&stream); }
  /// Removes a stream that is being destroyed.
  void remove(Stream& stream);
  /// Flushes the streams that were added, and repeats the calls that are due for a retry.
  void flush();
  /// Schedules a retry of a call of this stream for which the kernel had no memory.
  void retry_later(Stream& stream);
  /// The buffer for the next read of any stream.
  std::vector<char>& read_buffer() { return read_buffer_; }

 private:
  // Bytes that one read takes: tens of small messages or part of a large one, so that other streams are
  // served in between.
  static constexpr std::size_t kReadBufferBytes = std::size_t{64} * 1024;
  static constexpr Seconds kRetryInterval = 0.005;
  Scheduler& scheduler_;
  BufferBudget budget_;
  std::vector<Stream*> streams_;  // to be flushed; null: destroyed since
  std::vector<Stream*> retries_;  // to be retried at retry_at_
  Seconds retry_at_ = kNoTime;
  std::vector<char> read_buffer_;
};

/// A connection over a non-blocking stream socket. `scheduler` and `outbox` must outlive it.
class Stream final : Scheduler::Watcher {
  friend class Outbox;

 public:
  /// Takes ownership of a non-blocking socket that is connected or connecting, and watches it.
  Stream(Scheduler& scheduler, Outbox& outbox, Fd fd);
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  ~Stream();

  /// What a read found: bytes, nothing yet, or the end of the connection.
  enum class ReadResult { bytes, nothing, end };
  /// Appends what the kernel has received to in(), at most one read buffer or `max_bytes` per call. `end` if
  /// the peer has closed its side or the connection is broken.
  ReadResult read(std::size_t max_bytes = kNoLimit);
  /// Makes room for a message of this size at the front of in(), so that the buffer need not grow.
  void expect(std::size_t message_bytes);
  /// Whether the peer has closed its side, even if bytes from before are still unread.
  bool ended() const;
  /// Whether bytes were received that have not been consumed, here or in the kernel.
  bool has_unread() const { return !in().empty() || has_input(); }
  /// Whether the kernel has received bytes that were not read yet.
  bool has_input() const { return available(1) > 0; }
  /// Number of bytes that the kernel has received and that were not read yet, as far as `max_bytes` and one
  /// read buffer.
  std::size_t available(std::size_t max_bytes) const;
  /// Whether the peer has closed its side or the connection is broken, even if bytes from before are unread.
  bool peer_has_closed() const;
  /// The bytes that were read and not consumed yet.
  std::string_view in() const { return {in_.data() + in_from_, in_.size() - in_from_}; }
  /// Removes bytes from the front of in().
  void consume(std::size_t bytes);
  /// Waits for input, the end of the connection or wake(), until a given time.
  Event::Awaiter readable(Seconds until = kNoTime) { return readable_.wait(until); }
  /// Waits until the socket becomes writable or breaks, until a given time.
  Event::Awaiter writable(Seconds until = kNoTime) { return writable_.wait(until); }
  /// The address of the other side; 0.0.0.0:0 if it is not known.
  Address peer() const;
  /// The pending error of the socket (SO_ERROR), 0 for none.
  int error() const;

  /// Queues bytes to be sent at the end of the turn. They are discarded if the stream can no longer write.
  void write(std::string_view bytes);
  std::uint64_t written() const { return written_; }  ///< bytes given to write(), less those removed
  std::uint64_t flushed() const { return flushed_; }  ///< of these, bytes that the kernel accepted
  /// Bytes that were written and that the kernel has not accepted yet.
  std::size_t unsent() const { return written_ - flushed_; }
  /// Bytes that were written and not sent to the peer's machine yet, those in the kernel's buffer included.
  std::size_t queued() const;
  /// The same and those that the peer's machine has not acknowledged. Closing the socket may discard them.
  std::size_t unacknowledged() const;
  /// Tries to pass on output that the kernel has refused so far, without waiting until it reports room.
  void retry_flush();
  /// Since when the kernel has accepted nothing although bytes are unsent; kNoTime: nothing is unsent.
  Seconds stalled_since() const { return unsent() > 0 ? progress_at_ : kNoTime; }
  /// What the peer has taken of a backlog of output.
  struct BacklogProgress {
    /// Since when the kernel has not accepted all output, but for pauses of kMaxBacklogPause; 0: it has.
    Seconds duration = 0;
    std::size_t bytes = 0;  ///< bytes that it has accepted in this time
  };
  /// The progress of the present backlog.
  BacklogProgress backlog() const;
  /// Removes bytes that were written but not sent: those from position `from` up to `to`, as counted by
  /// written(). Returns false and removes nothing if some of them were passed to the kernel or the stream is
  /// broken.
  bool remove_unsent(std::uint64_t from, std::uint64_t to);
  /// Passes as much output to the kernel as it accepts.
  void flush();
  /// Shuts down the sending side of the connection.
  void shutdown_write();
  /// Wakes the task that waits in readable() once, when the kernel next accepts output.
  void wake_on_output() { wake_on_output_ = true; }
  /// Wakes the task that waits in readable().
  void wake() { readable_.set(); }
  /// Marks the stream as broken, as if the peer had closed it: waiting tasks wake and read() returns `end`.
  /// The socket is closed on destruction.
  void close();
  /// Whether the connection failed or close() was called.
  bool broken() const { return broken_; }
  /// Whether written bytes can still be sent.
  bool can_write() const { return !broken_ && !unwritable_; }

 private:
  // Within this time the next answer of a busy client follows; the kernel is still sending meanwhile.
  static constexpr Seconds kMaxBacklogPause = 0.2;
  static constexpr std::size_t kNoLimit = static_cast<std::size_t>(-1);
  void on_ready(std::uint32_t epoll_events) override;
  void output_accepted(std::size_t bytes);
  void update_backlog();
  void shrink_input();
  std::size_t unsent_with(unsigned long kernel_count) const;

  Scheduler& scheduler_;
  Outbox& outbox_;
  Fd fd_;
  Event readable_, writable_;
  std::string in_;
  std::size_t in_from_ = 0;
  OutputBuffer out_;
  std::uint64_t written_ = 0, flushed_ = 0;
  Seconds progress_at_ = 0;               // when the kernel last accepted output, or the first was written
  Seconds drained_at_ = kNoTime;          // when the kernel accepted all of a backlog
  Seconds backlog_since_ = kNoTime;       // since when bytes have been unsent that the kernel refused
  std::uint64_t flushed_at_backlog_ = 0;  // flushed_ at that time
  bool queued_ = false, blocked_ = false, broken_ = false;
  bool wake_on_output_ = false;
  bool unwritable_ = false;  // sending failed; what the peer sent may still be read
};

}  // namespace walkpaddle
