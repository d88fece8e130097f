#include "admin/admin_server.h"

#include <unistd.h>

#include <cerrno>
#include <string_view>
#include <utility>

namespace walkpaddle::admin {

namespace {

constexpr std::size_t kMostSessions = 8;  // another is closed unheard
constexpr std::size_t kLongestLine = 4096;
constexpr Seconds kAcceptRetryInterval = 0.1;
constexpr Seconds kIdleTimeout = 60;

struct SessionCount {
  explicit SessionCount(std::size_t& counted) : count(counted) { ++count; }
  SessionCount(const SessionCount&) = delete;
  SessionCount& operator=(const SessionCount&) = delete;
  ~SessionCount() { --count; }
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
      if (sessions_ < kMostSessions) scheduler_.start(session(std::move(fd)));
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED) continue;
    const Seconds until = errno == EAGAIN ? kNoTime : scheduler_.now() + kAcceptRetryInterval;
    co_await listener_.input_ready.wait(until);
  }
}

Task AdminServer::session(Fd fd) {
  const SessionCount counted(sessions_);
  Stream stream(scheduler_, outbox_, std::move(fd));
  for (;;) {
    const auto came = stream.read();
    if (came == Stream::ReadResult::end) break;
    if (came == Stream::ReadResult::bytes) {
      answer_lines(stream);
      if (stream.in().size() > kLongestLine) break;
      continue;
    }
    const bool readable = co_await stream.readable(scheduler_.now() + kIdleTimeout);
    if (!readable) break;
  }
}

void AdminServer::answer_lines(Stream& stream) {
  for (;;) {
    const auto end = stream.in().find('\n');
    if (end == std::string_view::npos) return;
    stream.write(replies_.answer(std::string(stream.in().substr(0, end))) + "\n");
    stream.consume(end + 1);
  }
}

}  // namespace walkpaddle::admin
