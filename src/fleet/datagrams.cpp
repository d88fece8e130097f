#include "fleet/datagrams.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>

#include "base/text.h"
#include "gossip/codec.h"

namespace walkpaddle::fleet {

Datagrams::Datagrams(Scheduler& scheduler, Log& log, membership::Membership& members, gossip::Gossip& gossip,
                     const Address& listen, std::vector<Address> peers, std::function<void()> after_input)
    : scheduler_(scheduler),
      log_(log),
      members_(members),
      gossip_(gossip),
      peers_(std::move(peers)),
      after_input_(std::move(after_input)),
      socket_(scheduler, datagrams_on(listen)),
      due_(scheduler) {
  scheduler_.start(take_all());
  scheduler_.start(keep_time());
}

Task Datagrams::take_all() {
  constexpr int kATurn = 64;  // then others get theirs
  char room[gossip::kMaxPacketBytes + 1];
  Event next(scheduler_);
  for (;;) {
    bool waits = false;
    for (int n = 0; n < kATurn && !waits; ++n) {
      const auto got = ::recv(socket_.fd(), room, sizeof room, 0);
      waits = got < 0 && errno == EAGAIN;
      if (got > 0) take({room, static_cast<std::size_t>(got)});
    }
    after_input_();
    if (waits)
      co_await socket_.came.wait();
    else
      co_await next.wait(scheduler_.now());
  }
}

void Datagrams::take(std::string_view bytes) {
  ++counts_.in, counts_.bytes_in += bytes.size();
  try {
    const bool known = gossip::deliver_packet(
        bytes, [&](std::uint64_t name) { return members_.peer_named(name); }, gossip_, scheduler_.now());
    if (known) return;
    if (++counts_.strangers == 1) log_("fleet", "datagrams of a router that is not a peer here are dropped");
  } catch (const InputError& e) {
    if (++counts_.unreadable == 1) log_("fleet", "datagrams that cannot be read are dropped: {}", e.what());
  }
}

void Datagrams::pull() {
  const Seconds now = scheduler_.now();
  while (const auto packet = gossip_.next(now)) {
    const auto bytes = gossip::encode_packet(*packet, members_.self());
    sockaddr_in to{};
    to.sin_family = AF_INET;
    const auto& address = peers_[static_cast<std::size_t>(packet->peer)];
    to.sin_addr.s_addr = htonl(address.ip), to.sin_port = htons(address.port);
    if (::sendto(socket_.fd(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to),
                 sizeof to) < 0)
      ++counts_.unsent;
    else
      ++counts_.out, counts_.bytes_out += bytes.size();
  }
  if (const Seconds due = gossip_.next_due(now); due < due_at_) due_at_ = due, due_.set();
}

// Turns come when something does; the gossip needs one when nothing does.
Task Datagrams::keep_time() {
  for (;;) {
    const bool moved = co_await due_.wait(due_at_);
    if (!moved) due_at_ = kNoTime;
  }
}

}  // namespace walkpaddle::fleet
