#include "replication/datagram_transport.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "base/error.h"
#include "gossip/codec.h"

namespace walkpaddle::replication {

DatagramTransport::DatagramTransport(Scheduler& scheduler, Log& log, membership::Membership& members,
                                     gossip::Gossip& gossip, const Address& listen,
                                     std::vector<Address> peers, std::function<void()> after_input)
    : scheduler_(scheduler),
      log_(log),
      members_(members),
      gossip_(gossip),
      peers_(std::move(peers)),
      after_input_(std::move(after_input)),
      socket_(scheduler, bind_udp(listen)),
      due_(scheduler) {
  scheduler_.start(receive_all());
  scheduler_.start(keep_time());
}

Task DatagramTransport::receive_all() {
  constexpr int kBatch = 64;  // datagrams; then other tasks have their turn
  char buffer[gossip::kMaxPacketBytes + 1];
  Event next_turn(scheduler_);
  for (;;) {
    bool drained = false;
    for (int n = 0; n < kBatch && !drained; ++n) {
      const auto size = ::recv(socket_.fd(), buffer, sizeof buffer, 0);
      drained = size < 0 && errno == EAGAIN;
      if (size > 0) receive({buffer, static_cast<std::size_t>(size)});
    }
    after_input_();
    if (drained)
      co_await socket_.input_ready.wait();
    else
      co_await next_turn.wait(scheduler_.now());
  }
}

// The first datagram of a sort that is dropped is logged, all are counted.
void DatagramTransport::receive(std::string_view bytes) {
  ++counts_.received;
  counts_.bytes_received += bytes.size();
  const auto peer_of = [&](std::uint64_t name) { return members_.peer_named(name); };
  try {
    if (gossip::deliver_packet(bytes, peer_of, gossip_, scheduler_.now())) return;
    ++counts_.strangers;
    if (counts_.strangers == 1) log_("fleet", "datagrams of a router that is not a peer here are dropped");
  } catch (const InputError& e) {
    ++counts_.unreadable;
    if (counts_.unreadable == 1) log_("fleet", "datagrams that cannot be read are dropped: {}", e.what());
  }
}

void DatagramTransport::send(const gossip::Packet& packet) {
  const auto bytes = gossip::encode_packet(packet, members_.self());
  const auto& address = peers_[static_cast<std::size_t>(packet.peer)];
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl(address.ip);
  to.sin_port = htons(address.port);
  const auto sent = ::sendto(socket_.fd(), bytes.data(), bytes.size(), 0,
                             reinterpret_cast<const sockaddr*>(&to), sizeof to);
  if (sent < 0) {
    ++counts_.unsent;
    return;
  }
  ++counts_.sent;
  counts_.bytes_sent += bytes.size();
}

void DatagramTransport::pull() {
  const Seconds now = scheduler_.now();
  while (const auto packet = gossip_.next(now)) send(*packet);
  const Seconds due = gossip_.next_due(now);
  if (due >= due_at_) return;
  due_at_ = due;
  due_.set();
}

// Turns come when something does; the gossip needs one when nothing does.
Task DatagramTransport::keep_time() {
  for (;;) {
    const bool moved = co_await due_.wait(due_at_);
    if (!moved) due_at_ = kNoTime;
  }
}

}  // namespace walkpaddle::replication
