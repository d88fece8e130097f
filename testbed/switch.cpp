#include "testbed/switch.h"

#include <netinet/in.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fakes/servers.h"

namespace walkpaddle::testbed {

namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr std::size_t kMaxDelayed = 100000;  // datagrams; further ones are lost

}  // namespace

Switch::Switch(unsigned seed)
    : chance_(seed), delayed_due_(scheduler_), stop_event_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

Switch::~Switch() {
  const std::uint64_t one = 1;
  if (thread_.joinable() && ::write(stop_event_.get(), &one, sizeof one) == sizeof one) thread_.join();
  scheduler_.drop_tasks();
}

int Switch::add(int router_port) {
  const int n = static_cast<int>(routers_.size());
  routers_.push_back(std::make_unique<Router>(scheduler_, bind_udp(Address{kLoopback, 0})));
  routers_.back()->port = router_port;
  by_port_[router_port] = n;
  return fakes::local_port(routers_.back()->socket.fd());
}

void Switch::start() {
  stop_listener_ = std::make_unique<Listener>(scheduler_, Fd(::dup(stop_event_.get())));
  thread_ = std::thread([this] {
    for (int n = 0; n < static_cast<int>(routers_.size()); ++n) scheduler_.start(receive_all(n));
    scheduler_.start(deliver_delayed());
    scheduler_.start(wait_for_stop());
    scheduler_.run();
  });
}

Task Switch::wait_for_stop() {
  std::uint64_t count = 0;
  while (::read(stop_listener_->fd(), &count, sizeof count) != sizeof count)
    co_await stop_listener_->input_ready.wait();
  scheduler_.stop();
}

void Switch::faults(const Faults& faults) {
  const std::lock_guard lock(faults_mutex_);
  faults_ = faults;
}

void Switch::cut(int from, int to, Seconds until) {
  const std::lock_guard lock(faults_mutex_);
  cut_[{from, to}] = until;
}

Task Switch::receive_all(int to) {
  constexpr int kMaxPerTurn = 256;
  char buffer[8192];
  Event next(scheduler_);
  for (;;) {
    bool waits = false;
    for (int n = 0; n < kMaxPerTurn && !waits; ++n) {
      sockaddr_in a{};
      socklen_t size = sizeof a;
      const int fd = routers_[static_cast<std::size_t>(to)]->socket.fd();
      const auto got = ::recvfrom(fd, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&a), &size);
      waits = got < 0 && errno == EAGAIN;
      if (got <= 0) continue;
      if (const auto from = by_port_.find(ntohs(a.sin_port)); from != by_port_.end())
        forward(from->second, to, {buffer, static_cast<std::size_t>(got)});
    }
    if (waits)
      co_await routers_[static_cast<std::size_t>(to)]->socket.input_ready.wait();
    else
      co_await next.wait(scheduler_.now());
  }
}

void Switch::forward(int from, int to, const std::string& bytes) {
  const std::lock_guard lock(faults_mutex_);
  const auto roll = [&] { return std::uniform_real_distribution<>(0, 1)(chance_); };
  if (const auto it = cut_.find({from, to}); it != cut_.end() && scheduler_.now() < it->second) return;
  if (faults_.lost > 0 && roll() < faults_.lost) return;
  for (int times = faults_.twice > 0 && roll() < faults_.twice ? 2 : 1; times > 0; --times) {
    if (faults_.delay <= 0) {
      deliver(to, bytes);
    } else if (delayed_.size() < kMaxDelayed) {
      delayed_.push({scheduler_.now() + faults_.delay * roll(), to, bytes});
      delayed_due_.set();
    }
  }
}

void Switch::deliver(int to, const std::string& bytes) {
  auto& r = *routers_[static_cast<std::size_t>(to)];
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(kLoopback), a.sin_port = htons(static_cast<std::uint16_t>(r.port));
  if (::sendto(r.socket.fd(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&a),
               sizeof a) > 0)
    passed_ += bytes.size();
}

Task Switch::deliver_delayed() {
  for (;;) {
    co_await delayed_due_.wait(delayed_.empty() ? kNoTime : delayed_.top().at);
    while (!delayed_.empty() && delayed_.top().at <= scheduler_.now()) {
      deliver(delayed_.top().to, delayed_.top().bytes);
      delayed_.pop();
    }
  }
}

}  // namespace walkpaddle::testbed
