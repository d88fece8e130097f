/// \file
/// How much of a client's messages may be read. Small messages are read as they arrive. Of a large one only
/// the beginning is, until there is memory for the rest: meanwhile the rest stays with the kernel and the
/// client, so that any number of unfinished messages takes a bounded amount of memory.
///
/// Lifetimes: the stream and the budget must outlive it. Threads: everything runs on the scheduler's one
/// thread.
#pragma once

#include <cstddef>

#include "io/buffer_budget.h"
#include "io/stream.h"
#include "net/resp_parser.h"

namespace walkpaddle::net {

/// Reads the messages of one connection within a budget that all connections share.
class MessageIntake {
 public:
  /// Size up to which a message is read without a reservation: that of a request without a body and some
  /// more. Connections are bounded in number, so these bytes are too.
  static constexpr std::size_t kUnreservedBytes = 4096;
  /// Bytes that one read takes of small messages, so that a client which sends many of them at once does not
  /// keep others waiting.
  static constexpr std::size_t kReadBytes = 1024;

  /// `unfinished_messages`: the memory for large messages of all connections.
  MessageIntake(Stream& stream, BufferBudget& unfinished_messages)
      : stream_(stream), memory_(unfinished_messages, [this] { stream_.wake(); }) {}

  /// Bytes that the next read may take; 0: the rest of the message awaits memory and has not arrived whole. A
  /// rest that has arrived whole is read at once, because the message takes no memory of its own then.
  std::size_t max_read_bytes() const;
  /// To be called after each read, when the whole messages were consumed.
  void messages_consumed();
  /// A whole message was consumed.
  void message_finished() { memory_.release(); }
  /// Whether a message has memory reserved.
  bool holds_memory() const { return memory_.bytes() > 0; }
  /// Whether the rest of a message awaits memory.
  bool awaits_memory() const { return memory_.is_waiting(); }
  /// Bytes that have arrived with the kernel since the last call, for a message that awaits memory.
  std::size_t take_arrived();
  /// Whether the kernel may hold a whole message that was not read, or the end of one.
  bool may_have_unread_message() const;

 private:
  bool rest_has_arrived() const;

  Stream& stream_;
  BufferBudget::Reservation memory_;  // for the whole of the unfinished message, if it is large
  MissingBytes missing_;              // of that message
  std::size_t arrived_ = 0;           // of the missing bytes, with the kernel when last looked at
};

}  // namespace walkpaddle::net
