/// \file
/// The server: owns the components of a router and connects them. Everything runs on the thread that calls
/// run(), except for the writes of the store, which has a thread of its own.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admin/admin_server.h"
#include "config/operator_config.h"
#include "config/platform_config.h"
#include "io/log.h"
#include "io/scheduler.h"
#include "io/stream.h"
#include "net/client_listener.h"
#include "net/discovery_client.h"
#include "net/purge_notifier.h"
#include "net/request_dispatcher.h"
#include "net/upstream_pool.h"
#include "purge/purge_registry.h"
#include "replication/peer_links.h"
#include "replication/purge_persister.h"
#include "replication/replication_service.h"
#include "server/admin_view.h"
#include "server/descriptor_budget.h"
#include "server/lifecycle.h"
#include "server/memory_monitor.h"
#include "server/metrics.h"
#include "server/reload.h"
#include "server/rollout_agent.h"
#include "server/signals.h"
#include "server/warm_start.h"
#include "store/store.h"

namespace walkpaddle::server {

/// What an optional listener may use; all of it outlives the listener.
struct ListenerContext {
  Scheduler& scheduler;                ///< runs its tasks
  Outbox& outbox;                      ///< bounds the output of its streams
  Log& log;                            ///< the router's log
  net::RequestDispatcher& dispatcher;  ///< makes routing decisions
  net::UpstreamPool& upstream;         ///< knows the endpoints
  const config::Settings& settings;    ///< the platform's settings
};

/// A router. The log must outlive it.
class Server {
 public:
  /// `operator_config`: what the operator's file enables. `read_config` is called at each reload. Throws
  /// SystemError if a socket or another descriptor cannot be opened, StoreError if the store cannot be used.
  Server(config::PlatformConfig config, const config::OperatorConfig& operator_config,
         ConfigReload::ReadConfig read_config, Log& log);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server();

  /// Serves requests until the lifecycle stops the scheduler.
  void run() { scheduler_.run(); }
  /// The program to run next in this process, after run() has returned; nullopt for none.
  std::optional<Successor> take_successor() { return rollout_agent_.take_successor(); }

  /// The components for an optional listener.
  ListenerContext listener_context();
  /// Keeps an additional listener alive until the server is destroyed. To be called before run().
  void add_listener(std::shared_ptr<void> listener) { optional_listeners_.push_back(std::move(listener)); }

 private:
  // Registers a call for the end of each turn, at its place in the order of the members.
  struct TurnEndCall {
    TurnEndCall(Scheduler& scheduler, std::function<void()> call) {
      scheduler.call_at_turn_end(std::move(call));
    }
  };

  void log_isolated_failures();
  void log_long_runs();
  void connect_fleet();
  replication::ReplicationService::Setup replication_setup();
  void open_admin_socket();
  void on_turn_end();

  // The members are constructed in this order and destroyed in reverse; those that register a call for the
  // end of a turn are called in this order too. The store precedes the purges, which are read from it. The
  // dispatcher precedes the call for purges and replication, which pass on what the turn decided, and the
  // outbox, which then sends what they wrote in the same turn. Members that own streams follow the outbox.
  // The lifecycle's task is started last, when all members that it uses exist.
  Log& log_;
  const config::PlatformConfig config_;
  const config::OperatorConfig operator_config_;
  const DescriptorBudget descriptors_;
  Scheduler scheduler_;
  Signals signals_;
  std::unique_ptr<store::Store> store_;  // null: nothing is kept on disk
  const std::string purge_log_identity_;
  purge::PurgeRegistry purges_;
  Seconds next_purge_trim_ = 0;  // when purges_ is trimmed next
  net::RequestDispatcher dispatcher_;
  TurnEndCall turn_end_call_;
  Outbox outbox_;
  net::UpstreamPool upstream_;
  net::DiscoveryClient discovery_;
  net::ClientListener client_listener_;
  ConfigReload reload_;
  Metrics metrics_;
  MemoryMonitor memory_monitor_;
  AdminView admin_view_;
  WarmStart warm_start_;
  Lifecycle lifecycle_;
  RolloutAgent rollout_agent_;
  std::unique_ptr<replication::PurgePersister>
      purge_persister_;                            // null: no store, or purges are not replicated
  std::unique_ptr<replication::PeerLinks> links_;  // null: purges are not replicated
  std::unique_ptr<replication::ReplicationService> replication_;  // null: nothing is replicated
  std::unique_ptr<net::PurgeNotifier> purge_notifier_;  // null: cache servers are not notified of purges
  std::unique_ptr<admin::AdminServer> admin_server_;    // null: no admin socket
  std::vector<std::shared_ptr<void>> optional_listeners_;
};

}  // namespace walkpaddle::server
