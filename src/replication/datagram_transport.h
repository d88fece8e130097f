/// \file
/// The gossip's datagrams: one UDP socket for the whole fleet, however large. What comes is read whole or
/// dropped; what Gossip wants sent goes out at the end of each turn. A datagram that the kernel does not take
/// is lost like any other: the gossip stands that. Runs on the scheduler's thread.
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "gossip/gossip.h"
#include "io/listener.h"
#include "io/log.h"
#include "io/stream.h"

namespace walkpaddle::replication {

/// Datagrams since the start.
struct DatagramCounts {
  std::uint64_t received = 0;         ///< datagrams
  std::uint64_t sent = 0;             ///< datagrams
  std::uint64_t bytes_received = 0;   ///< without the heads of UDP
  std::uint64_t bytes_sent = 0;       ///< without the heads of UDP
  std::uint64_t unknown_senders = 0;  ///< dropped: of a router that is not a peer here
  std::uint64_t unreadable = 0;       ///< dropped
  std::uint64_t unsent = 0;           ///< not taken by the kernel
};

/// Carries one router's gossip.
class DatagramTransport {
 public:
  /// All but `peers` and `listen` must outlive this. `peers`: in the order of their numbers among the
  /// members. `after_input` is called after each batch of datagrams. Throws SystemError if the address cannot
  /// be had.
  DatagramTransport(Scheduler& scheduler, Log& log, membership::Membership& members, gossip::Gossip& gossip,
                    const Address& listen, std::vector<Address> peers, std::function<void()> after_input);

  /// Sends what is due; at a turn's end.
  void send_due();
  /// Since the start.
  const DatagramCounts& counts() const { return counts_; }

 private:
  Task receive_all();
  Task keep_time();
  void receive(std::string_view bytes);
  void send(const gossip::Packet& packet);

  Scheduler& scheduler_;
  Log& log_;
  membership::Membership& members_;
  gossip::Gossip& gossip_;
  const std::vector<Address> peers_;
  const std::function<void()> after_input_;
  Listener socket_;
  Event due_;
  Seconds due_at_ = kNoTime;
  DatagramCounts counts_;
};

}  // namespace walkpaddle::replication
