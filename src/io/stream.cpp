#include "io/stream.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "base/error.h"
#include "base/text.h"
#include "io/listener.h"

namespace walkpaddle {

namespace {

sockaddr_in sockaddr_of(const Address& address) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(address.ip);
  a.sin_port = htons(address.port);
  return a;
}

Fd new_socket() { return Fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)); }

}  // namespace

Address parse_address(std::string_view text) {
  auto rest = text;
  auto host = take_field(rest, ':');
  Address a{0, parse<std::uint16_t>(rest, "port")};
  for (int n = 0; n < 4; ++n) a.ip = a.ip << 8 | parse<std::uint8_t>(take_field(host, '.'), "address");
  if (!host.empty()) throw_bad_value("address", text);
  return a;
}

std::string text_of(const Address& a) {
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8)
    text += std::to_string(a.ip >> shift & 255) + (shift > 0 ? "." : ":");
  return text + std::to_string(a.port);
}

Fd listen_on(const Address& address) {
  Fd fd = new_socket();
  const auto a = sockaddr_of(address);
  const int on = 1;
  if (!fd || ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0 ||
      ::listen(fd.get(), SOMAXCONN) != 0)
    throw SystemError("listen on " + text_of(address), errno);
  return fd;
}

Fd bind_udp(const Address& address) {
  Fd fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const auto a = sockaddr_of(address);
  if (!fd || ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0)
    throw SystemError("bind UDP socket to " + text_of(address), errno);
  constexpr int kReceiveBufferBytes = 1 << 20;  // some thousand datagrams, while the thread is busy elsewhere
  ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof kReceiveBufferBytes);
  return fd;
}

Fd Listener::accept() { return Fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)); }

bool is_local_resource_error(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM || error == EAGAIN ||
         error == EADDRNOTAVAIL;
}

Fd dial(const Address& address) {
  Fd fd = new_socket();
  if (!fd) return fd;
  const auto a = sockaddr_of(address);
  // An interrupted connect continues in the background, as with EINPROGRESS.
  if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0 && errno != EINPROGRESS &&
      errno != EINTR)
    return Fd();
  return fd;
}

namespace {

// The kernel lacks memory or buffers; the connection itself is intact.
bool is_memory_error(int error) { return error == ENOBUFS || error == ENOMEM; }

}  // namespace

void Outbox::remove(Stream& stream) {
  std::replace(streams_.begin(), streams_.end(), &stream, static_cast<Stream*>(nullptr));
  std::erase(retries_, &stream);
}

void Outbox::retry_later(Stream& stream) {
  if (std::ranges::find(retries_, &stream) == retries_.end()) retries_.push_back(&stream);
  retry_at_ = std::min(retry_at_, scheduler_.now() + kRetryInterval);
  scheduler_.request_turn_by(retry_at_);
}

void Outbox::flush() {
  if (scheduler_.now() >= retry_at_) {
    retry_at_ = kNoTime;
    for (auto* stream : std::exchange(retries_, {})) stream->on_ready(EPOLLIN | EPOLLOUT);
  }
  for (auto* stream : std::exchange(streams_, {}))
    if (stream != nullptr) stream->flush();
}

Stream::Stream(Scheduler& scheduler, Outbox& outbox, Fd fd)
    : scheduler_(scheduler), outbox_(outbox), fd_(std::move(fd)), readable_(scheduler), writable_(scheduler) {
  const int on = 1;
  ::setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  scheduler_.watch(fd_.get(), *this);
}

Stream::~Stream() {
  outbox_.remove(*this);
  outbox_.budget().remove_output(unsent());
  outbox_.budget().remove(in().size());
  scheduler_.unwatch(fd_.get(), *this);
}

void Stream::on_ready(std::uint32_t epoll_events) {
  if ((epoll_events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) readable_.set();
  if ((epoll_events & (EPOLLOUT | EPOLLHUP | EPOLLERR)) != 0) {
    writable_.set();
    if (std::exchange(blocked_, false)) flush();
  }
}

namespace {

// An edge-triggered event is reported once, so an interrupted call is repeated at once: there may be no other
// event for these bytes.
ssize_t receive(int fd, char* buffer, std::size_t size, int flags = 0) {
  ssize_t got = 0;
  do {
    got = ::recv(fd, buffer, size, flags);
  } while (got < 0 && errno == EINTR);
  return got;
}

}  // namespace

Stream::ReadResult Stream::read(std::size_t max_bytes) {
  if (broken_) return ReadResult::end;
  auto& buffer = outbox_.read_buffer();
  if (in_from_ >= in().size()) in_.erase(0, std::exchange(in_from_, 0));
  const auto got = receive(fd_.get(), buffer.data(), std::min(buffer.size(), max_bytes));
  const int error_number = errno;
  if (got > 0) {
    in_.append(buffer.data(), static_cast<std::size_t>(got));
    outbox_.budget().add(static_cast<std::size_t>(got));
    return ReadResult::bytes;
  }
  if (got < 0 && error_number == EAGAIN) return ReadResult::nothing;
  if (got < 0 && is_memory_error(error_number)) {
    outbox_.retry_later(*this);
    return ReadResult::nothing;
  }
  broken_ = got < 0;
  return ReadResult::end;
}

void Stream::expect(std::size_t message_bytes) {
  in_.erase(0, std::exchange(in_from_, 0));
  in_.reserve(message_bytes);
}

bool Stream::ended() const {
  if (broken_ || unwritable_) return true;
  char next = 0;
  const auto got = ::recv(fd_.get(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got <= 0) return got == 0 || (errno != EAGAIN && errno != EINTR);
  return peer_has_closed();
}

std::size_t Stream::available(std::size_t max_bytes) const {
  if (broken_) return 0;
  auto& buffer = outbox_.read_buffer();
  // With MSG_TRUNC a TCP socket counts the bytes without copying them (tcp(7)).
  constexpr int kFlags = MSG_PEEK | MSG_TRUNC | MSG_DONTWAIT;
  const auto got = receive(fd_.get(), buffer.data(), std::min(buffer.size(), max_bytes), kFlags);
  return got > 0 ? static_cast<std::size_t>(got) : 0;
}

bool Stream::peer_has_closed() const {
  if (broken_ || unwritable_) return true;
  pollfd end{fd_.get(), POLLRDHUP, 0};
  return ::poll(&end, 1, 0) > 0;
}

void Stream::consume(std::size_t bytes) {
  in_from_ += bytes;
  outbox_.budget().remove(bytes);
  shrink_input();
}

// A buffer that has grown for large messages is replaced once it is less than half full: hundreds of
// connections would hold more in such buffers than all messages that are being received.
void Stream::shrink_input() {
  constexpr std::size_t kMaxKeptBytes = 4096;
  if (in_.capacity() <= kMaxKeptBytes || in().size() >= in_.capacity() / 2) return;
  std::string(in()).swap(in_);
  in_from_ = 0;
}

namespace {

sockaddr_un sockaddr_of(const std::string& path) {
  sockaddr_un a{};
  a.sun_family = AF_UNIX;
  if (path.size() >= sizeof a.sun_path) throw SystemError(path, ENAMETOOLONG);
  std::copy(path.begin(), path.end(), a.sun_path);
  return a;
}

Fd new_local_socket() { return Fd(::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)); }

}  // namespace

Fd dial(const std::string& path) {
  const auto a = sockaddr_of(path);
  Fd fd = new_local_socket();
  if (fd && ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) fd = Fd();
  return fd;
}

Fd listen_on(const std::string& path) {
  const auto a = sockaddr_of(path);
  if (dial(path)) throw SystemError("listen on " + path, EADDRINUSE);
  struct stat s {};
  if (::stat(path.c_str(), &s) == 0 && S_ISSOCK(s.st_mode)) ::unlink(path.c_str());
  Fd fd = new_local_socket();
  const auto old_mask = ::umask(0177);
  const bool listening = fd && ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0 &&
                         ::listen(fd.get(), 16) == 0;
  const int error_number = errno;
  ::umask(old_mask);
  if (!listening) throw SystemError("listen on " + path, error_number);
  return fd;
}

Address Stream::peer() const {
  sockaddr_in a{};
  socklen_t size = sizeof a;
  if (::getpeername(fd_.get(), reinterpret_cast<sockaddr*>(&a), &size) != 0 || a.sin_family != AF_INET)
    return {};
  return {ntohl(a.sin_addr.s_addr), ntohs(a.sin_port)};
}

int Stream::error() const {
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  return error;
}

void Stream::write(std::string_view bytes) {
  if (broken_ || unwritable_) return;
  if (unsent() == 0) progress_at_ = scheduler_.now();
  out_.append(bytes);
  written_ += bytes.size();
  outbox_.budget().add_output(bytes.size());
  if (!std::exchange(queued_, true)) outbox_.add(*this);
}

bool Stream::remove_unsent(std::uint64_t from, std::uint64_t to) {
  if (broken_ || from < flushed_) return false;
  out_.erase(from - flushed_, to - flushed_);
  written_ -= to - from;
  outbox_.budget().remove_output(to - from);
  return true;
}

void Stream::output_accepted(std::size_t bytes) {
  out_.consume(bytes);
  flushed_ += bytes;
  progress_at_ = scheduler_.now();
  outbox_.budget().remove_output(bytes);
  if (bytes > 0 && std::exchange(wake_on_output_, false)) readable_.set();
}

void Stream::flush() {
  queued_ = false;
  while (!blocked_ && !broken_ && !unwritable_ && out_.size() > 0) {
    const auto front = out_.front();
    const auto sent = ::send(fd_.get(), front.data(), front.size(), MSG_NOSIGNAL);
    if (sent >= 0) {
      output_accepted(static_cast<std::size_t>(sent));
    } else if (errno == EAGAIN) {
      blocked_ = true;
    } else if (is_memory_error(errno)) {
      blocked_ = true;
      outbox_.retry_later(*this);
    } else if (errno != EINTR) {
      unwritable_ = true;
      readable_.set();
      writable_.set();
    }
  }
  update_backlog();
}

void Stream::update_backlog() {
  const Seconds now = scheduler_.now();
  if (out_.size() == 0) {
    drained_at_ = std::min(drained_at_, now);
    return;
  }
  if (!blocked_) return;
  if (backlog_since_ >= kNoTime || now > drained_at_ + kMaxBacklogPause) {
    backlog_since_ = now;
    flushed_at_backlog_ = flushed_;
  }
  drained_at_ = kNoTime;
}

std::size_t Stream::queued() const { return unsent_with(SIOCOUTQNSD); }

std::size_t Stream::unacknowledged() const { return unsent_with(SIOCOUTQ); }

// Adds one of the kernel's counts of output, named by its ioctl request, to the bytes that are unsent here.
std::size_t Stream::unsent_with(unsigned long kernel_count) const {
  int in_kernel = 0;
  if (broken_ || ::ioctl(fd_.get(), kernel_count, &in_kernel) != 0) in_kernel = 0;
  return unsent() + static_cast<std::size_t>(in_kernel);
}

void Stream::retry_flush() {
  blocked_ = false;
  flush();
}

Stream::BacklogProgress Stream::backlog() const {
  if (backlog_since_ >= kNoTime || scheduler_.now() > drained_at_ + kMaxBacklogPause) return {};
  return {scheduler_.now() - backlog_since_, static_cast<std::size_t>(flushed_ - flushed_at_backlog_)};
}

void Stream::shutdown_write() { ::shutdown(fd_.get(), SHUT_WR); }

void Stream::close() {
  broken_ = true;
  readable_.set();
  writable_.set();
}

}  // namespace walkpaddle
