#include "admin/admin_server.h"

#include <unistd.h>

#include <string_view>
#include <utility>

#include "io/accept_loop.h"
#include "io/read_slice.h"

namespace walkpaddle::admin {

namespace {

constexpr std::size_t kMaxSessions = 8;                          // further connections are closed at once
constexpr std::size_t kMaxLineBytes = 4096;                      // of a request
constexpr std::size_t kMaxUnsentBytes = std::size_t{64} * 1024;  // of one session
constexpr Seconds kIdleTimeout = 60;

struct SessionCounter {
  explicit SessionCounter(std::size_t& counted) : count(counted) { ++count; }
  SessionCounter(const SessionCounter&) = delete;
  SessionCounter& operator=(const SessionCounter&) = delete;
  ~SessionCounter() { --count; }
  std::size_t& count;
};

}  // namespace

AdminServer::AdminServer(Scheduler& scheduler, Outbox& outbox, std::string path, AdminReplies replies)
    : scheduler_(scheduler),
      outbox_(outbox),
      path_(std::move(path)),
      replies_(std::move(replies)),
      busy_tasks_(scheduler),
      listener_(scheduler, listen_on(path_)) {
  scheduler_.start(accept_connections(scheduler_, listener_, busy_tasks_, [this](Fd fd) {
    if (sessions_ < kMaxSessions) scheduler_.start(session(std::move(fd)));
  }));
}

AdminServer::~AdminServer() { ::unlink(path_.c_str()); }

// While many replies are unsent, no further requests are read.
Task AdminServer::session(Fd fd) {
  const SessionCounter counted(sessions_);
  Stream stream(scheduler_, outbox_, std::move(fd));
  TimeSlice slice(scheduler_, busy_tasks_);
  for (;;) {
    while (slice.must_wait()) co_await slice.next_turn();
    const auto came = read_slice(
        stream, slice, [&] { return answer_lines(stream, slice); }, kMaxUnsentBytes);
    if (came == Stream::ReadResult::end) break;
    if (came == Stream::ReadResult::bytes) {
      co_await slice.next_turn();
      continue;
    }
    stream.wake_on_output();
    const bool readable = co_await stream.readable(scheduler_.now() + kIdleTimeout);
    if (!readable) break;
  }
}

// Answers the whole requests that were received, until many replies are unsent or the slice is over. False if
// one is too long.
bool AdminServer::answer_lines(Stream& stream, const TimeSlice& slice) {
  while (stream.unsent() <= kMaxUnsentBytes && !slice.is_over()) {
    const auto end = stream.in().find('\n');
    if (end == std::string_view::npos) return stream.in().size() <= kMaxLineBytes;
    stream.write(replies_.answer(std::string(stream.in().substr(0, end))) + "\n");
    stream.consume(end + 1);
  }
  return true;
}

}  // namespace walkpaddle::admin
