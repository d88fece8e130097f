#include "io/accept_loop.h"

#include <cerrno>
#include <utility>

namespace walkpaddle {

namespace {

// Accepts until none waits or the slice is over: then 0. Otherwise the error that ended it.
int accept_for_slice(Listener& listener, TimeSlice& slice, const std::function<void(Fd)>& accepted) {
  int error = 0;
  slice.begin();
  while (listener.open() && !slice.is_over()) {
    Fd fd = listener.accept();
    error = fd ? 0 : errno;
    if (fd)
      accepted(std::move(fd));
    else if (error != EINTR && error != ECONNABORTED)
      break;
    error = 0;
  }
  slice.end();
  return error;
}

}  // namespace

// NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine keeps it over its waits
Task accept_connections(Scheduler& scheduler, Listener& listener, TurnBudget& busy_tasks,
                        std::function<void(Fd)> accepted) {
  constexpr Seconds kRetryPause = 0.1;  // without descriptors, until other connections may have closed
  TimeSlice slice(scheduler, busy_tasks);
  while (listener.open()) {
    while (slice.must_wait()) co_await slice.next_turn();
    const int error = accept_for_slice(listener, slice, accepted);
    if (error == 0) {
      co_await slice.next_turn();
      continue;
    }
    co_await listener.input_ready.wait(error == EAGAIN ? kNoTime : scheduler.now() + kRetryPause);
  }
}

}  // namespace walkpaddle
