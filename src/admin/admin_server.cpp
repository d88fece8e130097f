#include "admin/admin_server.h"

#include <unistd.h>

#include <cerrno>
#include <string_view>
#include <utility>

namespace walkpaddle::admin {

namespace {

constexpr std::size_t kMaxSessions = 8;                          // further connections are closed at once
constexpr std::size_t kMaxLineBytes = 4096;                      // of a request
constexpr std::size_t kMaxUnsentBytes = std::size_t{64} * 1024;  // of one session
constexpr Seconds kAcceptRetryInterval = 0.1;
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
      listener_(scheduler, listen_on(path_)) {
  scheduler_.start(accept_all());
}

AdminServer::~AdminServer() { ::unlink(path_.c_str()); }

Task AdminServer::accept_all() {
  while (listener_.open()) {
    Fd fd = listener_.accept();
    if (fd) {
      if (sessions_ < kMaxSessions) scheduler_.start(session(std::move(fd)));
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED) continue;
    const Seconds until = errno == EAGAIN ? kNoTime : scheduler_.now() + kAcceptRetryInterval;
    co_await listener_.input_ready.wait(until);
  }
}

// While many replies are unsent, no further requests are read.
Task AdminServer::session(Fd fd) {
  const SessionCounter counted(sessions_);
  Stream stream(scheduler_, outbox_, std::move(fd));
  for (;;) {
    const bool may_read = stream.unsent() <= kMaxUnsentBytes;
    const auto came = may_read ? stream.read() : Stream::ReadResult::nothing;
    if (came == Stream::ReadResult::end) break;
    if (!answer_lines(stream)) break;
    if (came == Stream::ReadResult::bytes) continue;
    stream.wake_on_output();
    const bool readable = co_await stream.readable(scheduler_.now() + kIdleTimeout);
    if (!readable) break;
  }
}

// Answers the whole requests that were received, until many replies are unsent. False if one is too long.
bool AdminServer::answer_lines(Stream& stream) {
  while (stream.unsent() <= kMaxUnsentBytes) {
    const auto end = stream.in().find('\n');
    if (end == std::string_view::npos) return stream.in().size() <= kMaxLineBytes;
    stream.write(replies_.answer(std::string(stream.in().substr(0, end))) + "\n");
    stream.consume(end + 1);
  }
  return true;
}

}  // namespace walkpaddle::admin
