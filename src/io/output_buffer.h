/// \file
/// Bytes that wait to be sent on one stream, in chunks, so that memory is freed as they are sent. No I/O.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace walkpaddle {

/// A queue of bytes. Positions count from its first byte.
class OutputBuffer {
 public:
  /// Adds bytes at the end.
  void append(std::string_view bytes);
  /// Number of bytes.
  std::size_t size() const { return size_; }
  /// The first bytes, as many as lie together; empty if there are none.
  std::string_view front() const;
  /// Removes bytes from the front, at most size().
  void consume(std::size_t bytes);
  /// Removes the bytes from position `from` up to `to`, which must not exceed size().
  void erase(std::size_t from, std::size_t to);

 private:
  std::deque<std::string> chunks_;
  std::size_t consumed_ = 0;  // bytes of the first chunk that were removed
  std::size_t size_ = 0;
};

}  // namespace walkpaddle
