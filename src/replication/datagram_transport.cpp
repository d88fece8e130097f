#include "replication/datagram_transport.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "base/error.h"
#include "gossip/codec.h"
#include "routing/source_quota.h"

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
      due_(scheduler),
      busy_tasks_(scheduler) {
  scheduler_.start(receive_all());
  scheduler_.start(run_timer());
}

Task DatagramTransport::receive_all() {
  TimeSlice slice(scheduler_, busy_tasks_);
  routing::SourceQuota quota;
  DatagramBatch batch(gossip::kMaxPacketBytes + 1);
  for (;;) {
    quota.begin();
    const bool is_drained =
        receive_slice(socket_.fd(), batch, slice, [&](const DatagramBatch::Datagram& datagram) {
          const bool is_dropped = slice.is_busy() && !quota.admits(datagram.source.hash());
          if (is_dropped)
            count_over_quota(datagram);
          else if (!datagram.bytes.empty())
            receive(datagram.bytes);
        });
    after_input_();
    if (is_drained)
      co_await socket_.input_ready.wait();
    else
      co_await slice.next_turn();
  }
}

void DatagramTransport::count_over_quota(const DatagramBatch::Datagram& datagram) {
  ++counts_.received;
  counts_.bytes_received += datagram.bytes.size();
  ++counts_.over_quota;
  if (counts_.over_quota == 1)
    log_("fleet", "dropping datagrams of {}: more arrive than can be read", text_of(datagram.source));
}

// Drops are counted; only the first one for each reason is logged.
void DatagramTransport::receive(std::string_view bytes) {
  ++counts_.received;
  counts_.bytes_received += bytes.size();
  const auto peer_of = [&](std::uint64_t name) { return members_.peer_named(name); };
  try {
    if (gossip::deliver_packet(bytes, peer_of, gossip_, scheduler_.now())) return;
    ++counts_.unknown_senders;
    if (counts_.unknown_senders == 1) log_("fleet", "dropping datagrams from a router that is not a peer");
  } catch (const InputError& e) {
    ++counts_.unreadable;
    if (counts_.unreadable == 1) log_("fleet", "dropping malformed datagrams: {}", e.what());
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

void DatagramTransport::send_due() {
  const Seconds now = scheduler_.now();
  while (const auto packet = gossip_.next(now)) send(*packet);
  const Seconds due = gossip_.next_due(now);
  if (due >= due_at_) return;
  due_at_ = due;
  due_.set();
}

// Makes the scheduler run a turn when a datagram is due, even if there is no input.
Task DatagramTransport::run_timer() {
  for (;;) {
    const bool moved = co_await due_.wait(due_at_);
    if (!moved) due_at_ = kNoTime;
  }
}

}  // namespace walkpaddle::replication
