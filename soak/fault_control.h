// What the soak and the preloaded shim of one process share: a page of memory in a file that both map. The
// soak writes, the shim reads; all fields are atomic, and zero everywhere means no fault.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace walkpaddle::soak {

// System calls that the shim can let fail, each with the errors that Linux documents for it.
enum class Call : std::size_t {
  recv_interrupted,     // EINTR
  recv_short,           // one byte at a time
  recv_no_memory,       // ENOMEM
  recv_timed_out,       // ETIMEDOUT, EHOSTUNREACH: the connection is broken
  send_no_buffers,      // ENOBUFS, ENOMEM
  send_short,           // one byte at a time
  send_interrupted,     // EINTR
  watch_refused,        // epoll_ctl ADD: ENOSPC, ENOMEM
  wait_interrupted,     // epoll_pwait2: EINTR
  accept_failed,        // ECONNABORTED, ENFILE, ENOBUFS, EPROTO
  socket_failed,        // ENFILE, ENOBUFS
  connect_failed,       // ENETUNREACH, EADDRNOTAVAIL, ENOBUFS
  connect_interrupted,  // EINTR, and the connect goes on
  count
};
constexpr std::size_t kCallCount = static_cast<std::size_t>(Call::count);

struct FaultControl {
  std::atomic<std::int64_t> wall_offset_ns;                 // added to every reading of the wall clock
  std::atomic<std::uint32_t> failure_interval[kCallCount];  // each so many calls one fails; 0: none
  std::atomic<std::uint64_t> failure_count[kCallCount];     // so many did
};

constexpr const char* kFaultControlVariable = "WALKPADDLE_FAULT_CONTROL";  // names the file

}  // namespace walkpaddle::soak
