/// \file
/// Which datagrams are dropped unread while more arrive than can be handled: those of sources that send most.
/// Otherwise the kernel drops what comes while its buffer is full, so that a source with few datagrams would
/// lose as large a share of them. After the rate limits of DNS servers (BIND, "Response Rate Limiting"). No
/// I/O.
#pragma once

#include <array>
#include <cstdint>

namespace walkpaddle::routing {

/// Counts datagrams by source for one period of overload after another. Its size is fixed: sources whose
/// hashes collide share a quota.
class SourceQuota {
 public:
  /// Begins a period: each source has its whole quota again.
  void begin() { handled_.fill(0); }
  /// Whether another datagram of the source with this hash is handled in this period.
  bool admits(std::uint64_t source_hash);

 private:
  static constexpr std::size_t kBuckets = 256;
  std::array<std::uint8_t, kBuckets> handled_{};
};

}  // namespace walkpaddle::routing
