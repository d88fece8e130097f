// The gossip's datagrams: one UDP socket for the whole fleet, however large. What comes is read whole or
// dropped; what Gossip wants sent goes out at the end of each turn. A datagram that the kernel does not take
// is lost like any other: the gossip stands that.
#pragma once

#include <functional>
#include <vector>

#include "gossip/gossip.h"
#include "io/listener.h"
#include "io/log.h"
#include "io/stream.h"

namespace walkpaddle::fleet {

class Datagrams {
 public:
  struct Counts {
    std::uint64_t in = 0, out = 0, bytes_in = 0, bytes_out = 0;
    std::uint64_t strangers = 0, unreadable = 0, unsent = 0;  // dropped
  };
  // Peers in the order of Members' numbers. Throws SystemError if the address cannot be had.
  Datagrams(Scheduler& scheduler, Log& log, membership::Membership& members, gossip::Gossip& gossip,
            const Address& listen, std::vector<Address> peers, std::function<void()> after_input);
  void pull();  // at a turn's end
  const Counts& counts() const { return counts_; }

 private:
  Task take_all();
  Task keep_time();
  void take(std::string_view bytes);

  Scheduler& scheduler_;
  Log& log_;
  membership::Membership& members_;
  gossip::Gossip& gossip_;
  const std::vector<Address> peers_;
  const std::function<void()> after_input_;
  Listener socket_;
  Event due_;
  Seconds due_at_ = kNoTime;
  Counts counts_;
};

}  // namespace walkpaddle::fleet
