// Memory that the soak shares with the fault injection library in one router process, through a file that
// both map. The soak sets the faults and the library applies them. Zero in all fields means no faults; all
// fields are atomic.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace walkpaddle::soak {

// Faults of system calls that the library can inject, with the errors that Linux documents for each call.
enum class Call : std::size_t {
  recv_interrupted,     // EINTR
  recv_short,           // receives one byte
  recv_no_memory,       // ENOMEM
  recv_timed_out,       // ETIMEDOUT, EHOSTUNREACH; also breaks the connection
  send_no_buffers,      // ENOBUFS, ENOMEM
  send_short,           // sends one byte
  send_interrupted,     // EINTR
  watch_refused,        // epoll_ctl ADD: ENOSPC, ENOMEM
  wait_interrupted,     // epoll_pwait2: EINTR
  accept_failed,        // ECONNABORTED, ENFILE, ENOBUFS, EPROTO
  socket_failed,        // ENFILE, ENOBUFS
  connect_failed,       // ENETUNREACH, EADDRNOTAVAIL, ENOBUFS
  connect_interrupted,  // EINTR; the connection is still established in the background
  count
};
constexpr std::size_t kCallCount = static_cast<std::size_t>(Call::count);

struct FaultControl {
  std::atomic<std::int64_t> wall_offset_ns;                 // added to every reading of the wall clock
  std::atomic<std::uint32_t> failure_interval[kCallCount];  // one in this many calls fails; 0: none
  std::atomic<std::uint64_t> failure_count[kCallCount];     // number of calls that failed
};

// Environment variable with the path of the file.
constexpr const char* kFaultControlVariable = "WALKPADDLE_FAULT_CONTROL";

}  // namespace walkpaddle::soak
