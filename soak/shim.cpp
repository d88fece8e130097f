// Fault injection library for LD_PRELOAD. It offsets the wall clock of one process and makes its system calls
// fail with errors that Linux documents. FaultControl sets the faults; without it nothing changes.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <initializer_list>

#include "soak/fault_control.h"

namespace {

using walkpaddle::soak::Call;
using walkpaddle::soak::FaultControl;

FaultControl* map_control() {
  const char* path = std::getenv(walkpaddle::soak::kFaultControlVariable);
  if (path == nullptr) return nullptr;
  const int fd = ::open(path, O_RDWR | O_CLOEXEC);
  if (fd < 0) return nullptr;
  void* page = ::mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  ::close(fd);
  return page == MAP_FAILED ? nullptr : static_cast<FaultControl*>(page);
}

FaultControl* control() {
  static FaultControl* const page = map_control();
  return page;
}

template <class F>
F next_function(const char* name) {
  return reinterpret_cast<F>(::dlsym(RTLD_NEXT, name));
}

// Whether this call has to fail; sets `nth` to the number of earlier failures of its kind. Calls are counted
// per process, failures in the shared memory.
bool fails(Call call, std::uint64_t& nth) {
  static std::atomic<std::uint64_t> calls[walkpaddle::soak::kCallCount];
  auto* page = control();
  if (page == nullptr) return false;
  const auto at = static_cast<std::size_t>(call);
  const auto each = page->failure_interval[at].load(std::memory_order_relaxed);
  if (each == 0 || ++calls[at] % each != 0) return false;
  nth = page->failure_count[at]++;
  return true;
}

int fail(std::initializer_list<int> errors, std::uint64_t nth) {
  errno = *(errors.begin() + nth % errors.size());
  return -1;
}

std::int64_t wall_offset() {
  auto* page = control();
  return page == nullptr ? 0 : page->wall_offset_ns.load(std::memory_order_relaxed);
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* at) noexcept {
  static const auto real = next_function<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int result = real(clock, at);
  if (result != 0 || (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE)) return result;
  constexpr std::int64_t kSecond = 1'000'000'000;
  const std::int64_t shifted = at->tv_sec * kSecond + at->tv_nsec + wall_offset();
  at->tv_sec = shifted / kSecond, at->tv_nsec = shifted % kSecond;
  return 0;
}

int gettimeofday(timeval* at, void*) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  at->tv_sec = now.tv_sec, at->tv_usec = now.tv_nsec / 1000;
  return 0;
}

time_t time(time_t* at) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (at != nullptr) *at = now.tv_sec;
  return now.tv_sec;
}

ssize_t recv(int fd, void* buffer, size_t size, int flags) {
  static const auto real = next_function<ssize_t (*)(int, void*, size_t, int)>("recv");
  std::uint64_t nth = 0;
  if (fails(Call::recv_interrupted, nth)) return fail({EINTR}, nth);
  if (fails(Call::recv_no_memory, nth)) return fail({ENOMEM}, nth);
  if (fails(Call::recv_timed_out, nth)) {
    ::shutdown(fd, SHUT_RDWR);  // after such an error the connection is unusable
    return fail({ETIMEDOUT, EHOSTUNREACH}, nth);
  }
  if (size > 1 && fails(Call::recv_short, nth)) size = 1;
  return real(fd, buffer, size, flags);
}

int recvmmsg(int fd, mmsghdr* messages, unsigned count, int flags, timespec* timeout) {
  static const auto real = next_function<int (*)(int, mmsghdr*, unsigned, int, timespec*)>("recvmmsg");
  std::uint64_t nth = 0;
  if (fails(Call::recv_interrupted, nth)) return fail({EINTR}, nth);
  if (fails(Call::recv_no_memory, nth)) return fail({ENOMEM}, nth);
  const bool is_short = fails(Call::recv_short, nth);
  const int received = real(fd, messages, is_short ? 1 : count, flags, timeout);
  if (is_short && received == 1 && messages->msg_len > 1) messages->msg_len = 1;
  return received;
}

ssize_t send(int fd, const void* bytes, size_t size, int flags) {
  static const auto real = next_function<ssize_t (*)(int, const void*, size_t, int)>("send");
  std::uint64_t nth = 0;
  if (fails(Call::send_no_buffers, nth)) return fail({ENOBUFS, ENOMEM}, nth);
  if (fails(Call::send_interrupted, nth)) return fail({EINTR}, nth);
  if (size > 1 && fails(Call::send_short, nth)) size = 1;
  return real(fd, bytes, size, flags);
}

int epoll_ctl(int epoll, int operation, int fd, epoll_event* event) noexcept {
  static const auto real = next_function<int (*)(int, int, int, epoll_event*)>("epoll_ctl");
  std::uint64_t nth = 0;
  if (operation == EPOLL_CTL_ADD && fails(Call::watch_refused, nth)) return fail({ENOSPC, ENOMEM}, nth);
  return real(epoll, operation, fd, event);
}

int epoll_pwait2(int epoll, epoll_event* events, int most, const timespec* wait, const sigset_t* mask) {
  static const auto real =
      next_function<int (*)(int, epoll_event*, int, const timespec*, const sigset_t*)>("epoll_pwait2");
  std::uint64_t nth = 0;
  if (fails(Call::wait_interrupted, nth)) return fail({EINTR}, nth);
  return real(epoll, events, most, wait, mask);
}

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  static const auto real = next_function<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  std::uint64_t nth = 0;
  if (fails(Call::accept_failed, nth)) {
    // Only ECONNABORTED removes a connection from the accept queue.
    if (nth % 4 == 0)
      if (const int aborted = real(fd, address, size, flags); aborted >= 0) ::close(aborted);
    return fail({ECONNABORTED, ENFILE, ENOBUFS, EPROTO}, nth);
  }
  return real(fd, address, size, flags);
}

int socket(int domain, int type, int protocol) noexcept {
  static const auto real = next_function<int (*)(int, int, int)>("socket");
  std::uint64_t nth = 0;
  if (fails(Call::socket_failed, nth)) return fail({ENFILE, ENOBUFS}, nth);
  return real(domain, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
  static const auto real = next_function<int (*)(int, const sockaddr*, socklen_t)>("connect");
  std::uint64_t nth = 0;
  if (fails(Call::connect_failed, nth)) return fail({ENETUNREACH, EADDRNOTAVAIL, ENOBUFS}, nth);
  if (fails(Call::connect_interrupted, nth)) {
    real(fd, address, size);
    return fail({EINTR}, nth);
  }
  return real(fd, address, size);
}

}  // extern "C"
