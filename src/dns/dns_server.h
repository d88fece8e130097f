// Answers DNS lookups over UDP and TCP with endpoints that the routing policy chooses. The router does not
// see the requests that follow an answer, so the lookup stays in flight for the use time of the zone, and the
// concurrency limits and slow start count it.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "dns/zone.h"
#include "io/listener.h"
#include "io/log.h"
#include "io/stream.h"
#include "io/turn_budget.h"
#include "net/request_dispatcher.h"
#include "net/upstream_pool.h"

namespace walkpaddle::dns {

/// The DNS server of the router. All arguments that are references must outlive it.
class DnsServer {
 public:
  /// Listens on `listen` over UDP and TCP. Throws SystemError if the address is not available.
  DnsServer(Scheduler& scheduler, Outbox& outbox, Log& log, net::RequestDispatcher& dispatcher,
            net::UpstreamPool& upstream, Zone zone, const Address& listen);

 private:
  // Where a reply goes: to the sender of a datagram, or to a TCP connection (null for a datagram).
  struct Client {
    Address from;
    std::shared_ptr<Stream> stream;
    std::size_t max_reply_bytes = 512;
  };
  struct Socket final : Scheduler::Watcher {
    Socket(Scheduler& scheduler, Fd fd);
    ~Socket();
    void on_ready(std::uint32_t) override { input_ready.set(); }
    Scheduler& scheduler;
    Fd fd;
    Event input_ready;
  };
  Task serve_datagrams();
  Task serve_connection(Fd fd);
  bool take_queries(const std::shared_ptr<Stream>& stream, const TimeSlice& slice, Seconds& last_query_at);
  void handle_query(std::string_view bytes, Client client);
  Task run_lookup(Question question, Zone::ResolvedName name, Client client);
  void send_reply(const Client& client, const std::string& reply);

  Scheduler& scheduler_;
  Outbox& outbox_;
  Log& log_;
  net::RequestDispatcher& dispatcher_;
  net::UpstreamPool& upstream_;
  const Zone zone_;
  TurnBudget busy_tasks_;
  Socket socket_;
  Listener listener_;
  // open_lookups_: lookups that are undecided, or in flight for the requests that follow the answer.
  std::size_t open_lookups_ = 0, connections_ = 0;
};

}  // namespace walkpaddle::dns
