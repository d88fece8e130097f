/// \file
/// UDP transport of the gossip protocol, with one socket for all peers. A received datagram is processed in
/// full or dropped. What Gossip has to send is sent at the end of each scheduler turn. A datagram that the
/// kernel does not accept is not resent, since the gossip protocol tolerates losses. Runs on the scheduler's
/// thread.
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "gossip/gossip.h"
#include "io/datagram_batch.h"
#include "io/listener.h"
#include "io/log.h"
#include "io/stream.h"
#include "io/turn_budget.h"

namespace walkpaddle::replication {

/// Counters of datagrams since the start.
struct DatagramCounts {
  std::uint64_t received = 0;         ///< datagrams received, dropped ones included
  std::uint64_t sent = 0;             ///< datagrams sent
  std::uint64_t bytes_received = 0;   ///< payload bytes received
  std::uint64_t bytes_sent = 0;       ///< payload bytes sent
  std::uint64_t unknown_senders = 0;  ///< datagrams dropped because the sender is not a peer
  std::uint64_t unreadable = 0;       ///< datagrams dropped because they are malformed
  std::uint64_t over_quota = 0;       ///< datagrams dropped unread because their source sends too many
  std::uint64_t unsent = 0;           ///< datagrams that the kernel did not accept
};

/// Sends and receives the gossip of one router.
class DatagramTransport {
 public:
  /// `scheduler`, `log`, `members` and `gossip` must outlive the transport. `peers` has the addresses in the
  /// order of the members' peer indexes. `after_input` is called after each batch of received datagrams.
  /// Throws SystemError if the socket cannot be bound to `listen`.
  DatagramTransport(Scheduler& scheduler, Log& log, membership::Membership& members, gossip::Gossip& gossip,
                    const Address& listen, std::vector<Address> peers, std::function<void()> after_input);

  /// Sends the datagrams that are due. Must be called at the end of each scheduler turn.
  void send_due();
  /// Counters since the start.
  const DatagramCounts& counts() const { return counts_; }

 private:
  Task receive_all();
  Task run_timer();
  void count_over_quota(const DatagramBatch::Datagram& datagram);
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
  TurnBudget busy_tasks_;
  DatagramCounts counts_;
};

}  // namespace walkpaddle::replication
