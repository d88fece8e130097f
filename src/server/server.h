/// \file
/// The server: owns the parts and connects them, from start to exit. Everything runs on the thread that calls
/// run(), except what the store's own thread writes.
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
#include "server/metrics.h"
#include "server/reload.h"
#include "server/rollout_agent.h"
#include "server/signals.h"
#include "server/warm_start.h"
#include "store/store.h"

namespace walkpaddle::server {

/// What an optional listener works with; all of it outlives the listener.
struct ListenerContext {
  Scheduler& scheduler;                ///< for its tasks
  Outbox& outbox;                      ///< for its streams
  Log& log;                            ///< for its lines
  net::RequestDispatcher& dispatcher;  ///< who decides
  net::UpstreamPool& upstream;         ///< what is known of the endpoints
  const config::Settings& settings;    ///< the platform's
};

/// One router. The log must outlive it.
class Server {
 public:
  /// `operators`: what the operator's file switches on. `read_config` is called at each reload.
  /// Throws SystemError if an address, the admin socket or a descriptor cannot be had, StoreError if the
  /// store cannot be used.
  Server(config::PlatformConfig config, const config::OperatorConfig& operators,
         ConfigReload::ReadConfig read_config, Log& log);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server();

  /// Serves; returns once stopped.
  void run() { scheduler_.run(); }
  /// Who runs next in this process, after run() has returned; nullopt: nobody.
  std::optional<Successor> take_successor() { return rollout_agent_.take_successor(); }

  /// For an optional listener.
  ListenerContext listener_context();
  /// Holds a listener beside the clients' one until the server's end; to be added before run().
  void add_listener(std::shared_ptr<void> listener) { optional_listeners_.push_back(std::move(listener)); }

 private:
  // Registers a call for the end of each turn where it stands among the members.
  struct TurnEndCall {
    TurnEndCall(Scheduler& scheduler, std::function<void()> call) {
      scheduler.call_at_turn_end(std::move(call));
    }
  };

  void log_isolated_failures();
  void connect_fleet();
  replication::ReplicationService::Setup replication_setup();
  void open_admin_socket();
  void fleet_turn_ends();

  // The order of the members is the order in which they are made and, reversed, destroyed; it also is the
  // order of what happens at the end of a turn. The store precedes the purges, which are read from it. The
  // dispatcher registers first: what a turn decides is handed to the fleet's parts, and what these write goes
  // out with the outbox at the same turn's end. Whatever holds a stream comes after the outbox. The
  // lifecycle's task is started last of all, when each part that it may touch exists.
  Log& log_;
  const config::PlatformConfig config_;
  const config::OperatorConfig operators_;
  const DescriptorBudget descriptors_;
  Scheduler scheduler_;
  Signals signals_;
  std::unique_ptr<store::Store> store_;  // null: nothing lasts
  const std::string purge_run_;
  purge::PurgeRegistry purges_;
  Seconds next_trim_ = 0;  // of the purges
  net::RequestDispatcher dispatcher_;
  TurnEndCall fleet_at_turns_end_;
  Outbox outbox_;
  net::UpstreamPool upstream_;
  net::DiscoveryClient discovery_;
  net::ClientListener client_listener_;
  ConfigReload reload_;
  Metrics metrics_;
  AdminView admin_view_;
  WarmStart warm_start_;
  Lifecycle lifecycle_;
  RolloutAgent rollout_agent_;
  std::unique_ptr<replication::PurgePersister>
      purge_persister_;                            // null: no store, or no purges between routers
  std::unique_ptr<replication::PeerLinks> links_;  // null: no purges between routers
  std::unique_ptr<replication::ReplicationService> replication_;  // null: nothing is shared
  std::unique_ptr<net::PurgeNotifier> purge_notifier_;            // null: cache servers are not notified
  std::unique_ptr<admin::AdminServer> admin_server_;              // null: no admin socket
  std::vector<std::shared_ptr<void>> optional_listeners_;
};

}  // namespace walkpaddle::server
