// Lookups over UDP and TCP: each is a txn that the module decides, answered once, in time. What follows an
// answer is unseen; its seat is held for the zone's `use`, so that limits and cold budgets count it.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "dns/zone.h"
#include "io/listener.h"
#include "io/log.h"
#include "io/stream.h"
#include "net/request_dispatcher.h"
#include "net/upstream_pool.h"

namespace walkpaddle::dns {

class DnsServer {
 public:
  // Throws SystemError if the address cannot be had.
  DnsServer(Scheduler& scheduler, Outbox& outbox, Log& log, net::RequestDispatcher& dispatcher,
            net::UpstreamPool& caches, Zone zone, const Address& listen);

 private:
  // Where a reply goes: a datagram's sender, or a connection while it stands.
  struct Asker {
    Address from;
    std::shared_ptr<Stream> stream;
    std::size_t size = 512;
  };
  struct Socket final : Scheduler::Watcher {
    Socket(Scheduler& scheduler, Fd fd);
    ~Socket();
    void on_ready(std::uint32_t) override { input_ready.set(); }
    Scheduler& scheduler;
    Fd fd;
    Event input_ready;
  };
  Task datagrams();
  Task accept_all();
  Task connection(Fd fd);
  void take(std::string_view bytes, Asker asker);
  Task lookup(Question question, Zone::Meaning meaning, Asker asker);
  void give(const Asker& asker, const std::string& reply);

  Scheduler& scheduler_;
  Outbox& outbox_;
  Log& log_;
  net::RequestDispatcher& dispatcher_;
  net::UpstreamPool& upstream_;
  const Zone zone_;
  Socket socket_;
  Listener listener_;
  std::size_t open_ = 0, connections_ = 0;  // open_: lookups undecided or held for what follows them
};

}  // namespace walkpaddle::dns
