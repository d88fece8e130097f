#include "server/server.h"

#include <exception>
#include <utility>

#include "guard/guard.h"
#include "net/request_handler.h"
#include "replication/purge_persister.h"
#include "server/fleet_setup.h"

namespace walkpaddle::server {

namespace {

constexpr Seconds kPurgeTrimInterval = 0.25;
constexpr int kDefaultStreamsPerConnection = 32;

// Bytes in the buffers of all streams may take a quarter of the memory. Code, tables and tasks take the rest,
// and the allocator keeps some memory.
std::size_t buffer_bytes(double memory_mb) {
  constexpr double kBufferShare = 0.25;
  constexpr double kBytesPerMegabyte = 1 << 20;
  return static_cast<std::size_t>(memory_mb * kBytesPerMegabyte * kBufferShare);
}

guard::Guard::Report report_violations(Log& log) {
  return [&log](guard::Invariant broken, std::uint64_t request) {
    log("guard", "{:016x}: blocked, it would violate {}", request,
        guard::kInvariantNames[static_cast<std::size_t>(broken)]);
  };
}

// After a hot restart the listening socket is inherited from the predecessor.
Fd client_listener_socket(const config::PlatformConfig& config) {
  return config.inherited_listener >= 0 ? Fd(config.inherited_listener) : listen_on(config.listen);
}

}  // namespace

Server::Server(config::PlatformConfig config, const config::OperatorConfig& operator_config,
               ConfigReload::ReadConfig read_config, Log& log)
    : log_(log),
      config_(std::move(config)),
      operator_config_(operator_config),
      descriptors_(config_.descriptor_limit, operator_config_),
      signals_(scheduler_),
      store_(open_store(operator_config_)),
      purge_log_identity_(purge_log_identity(operator_config_, config_, store_.get(), scheduler_.now())),
      purges_(purges_setup(operator_config_, config_.settings, purge_log_identity_,
                           store_ ? purge::LogStorage::disk : purge::LogStorage::memory),
              scheduler_.now()),
      dispatcher_(scheduler_, fold_seed(config_.seed), config_.settings, purges_, report_violations(log)),
      turn_end_call_(scheduler_, [this] { on_turn_end(); }),
      outbox_(scheduler_, buffer_bytes(config_.memory_mb)),
      upstream_(scheduler_, outbox_, log,
                {.max_connections = descriptors_.upstream_connections,
                 .max_attempts_per_connection =
                     config_.settings.integer("allowed.streams_per_conn", kDefaultStreamsPerConnection),
                 .dial_timeout = config_.settings.duration("allowed.dial_timeout"),
                 .endpoint_idle_close = config_.settings.duration("allowed.idle_close"),
                 .can_cancel = config_.settings.flag("allowed.cancel")}),
      discovery_(scheduler_, outbox_, log, dispatcher_, upstream_),
      client_listener_(
          scheduler_, outbox_, log, client_listener_socket(config_),
          {.connections = descriptors_.client_connections,
           .requests = routing::RequestQuota::max_requests(config_.memory_mb)},
          config::request_class_names(config_.settings),
          [this](std::shared_ptr<net::ClientConnection> client, net::Request request) {
            scheduler_.start_isolated(net::serve(scheduler_, log_, dispatcher_, upstream_, std::move(client),
                                                 std::move(request), config_.transfer_rate));
          }),
      reload_(std::move(read_config), scheduler_, discovery_, log),
      metrics_(scheduler_, dispatcher_),
      memory_monitor_({scheduler_, log, config_.memory_mb, outbox_, client_listener_, dispatcher_, metrics_}),
      admin_view_(upstream_, metrics_),
      warm_start_(operator_config_.warm_start_file, config_.settings, scheduler_, dispatcher_, upstream_,
                  log),
      lifecycle_({scheduler_, log, config_, signals_, dispatcher_, discovery_, client_listener_, reload_,
                  warm_start_, metrics_}),
      rollout_agent_(
          {scheduler_, log, config_, operator_config_, signals_, dispatcher_, metrics_, lifecycle_}) {
  upstream_.set_guard(dispatcher_.guard());
  client_listener_.set_guard(dispatcher_.guard());
  log_isolated_failures();
  log_long_runs();
  log_("start", "{} on {}, {} descriptors, {} MB", config_.name, text_of(config_.listen),
       config_.descriptor_limit, config_.memory_mb);
  connect_fleet();
  if (operator_config_.notify_purges)
    purge_notifier_ = std::make_unique<net::PurgeNotifier>(scheduler_, log_, purges_, upstream_,
                                                           replication::position_series(purge_log_identity_));
  if (!operator_config_.admin_socket.empty()) open_admin_socket();
  memory_monitor_.start();
  lifecycle_.start(rollout_agent_);
}

Server::~Server() { scheduler_.drop_tasks(); }

ListenerContext Server::listener_context() {
  return {scheduler_, outbox_, log_, dispatcher_, upstream_, config_.settings};
}

void Server::log_isolated_failures() {
  scheduler_.on_failure([this](std::exception_ptr failure) {
    try {
      std::rethrow_exception(std::move(failure));
    } catch (const std::exception& e) {
      log_("failure", "a request or connection ended with an error: {}", e.what());
    }
  });
}

void Server::log_long_runs() {
  scheduler_.on_long_run([this](const Scheduler::LongRun& run) {
    log_("thread", "held for {:.2f} s, {:.2f} s of CPU time, by {} {}", run.duration, run.cpu_time,
         run.function, run.file);
  });
}

void Server::connect_fleet() {
  const auto& fleet = operator_config_.fleet;
  if (store_ && fleet.exchange_purges)
    purge_persister_ = std::make_unique<replication::PurgePersister>(scheduler_, log_, purges_, *store_);
  purges_.after_input(scheduler_.now());
  if (fleet.enabled && fleet.exchange_purges) {
    const replication::PeerLinks::Setup setup{fleet.name, parse_address(fleet.listen),
                                              fleet_peers(operator_config_)};
    links_ = std::make_unique<replication::PeerLinks>(scheduler_, outbox_, log_, purges_, setup);
  }
  if (!fleet.replicate) return;
  replication_ = std::make_unique<replication::ReplicationService>(scheduler_, log_, replication_setup());
  discovery_.set_observations(&replication_->tracker());
  rollout_agent_.connect(*replication_);
}

replication::ReplicationService::Setup Server::replication_setup() {
  return {
      .name = operator_config_.fleet.name,
      .listen = parse_address(operator_config_.fleet.listen),
      .peers = fleet_peers(operator_config_),
      .seed = fold_seed(config_.seed),
      .store = store_.get(),
      .on_observations = [this] { discovery_.apply_observations(); },
      .take_snapshot = [this] { return warm_start_.replicated_snapshot(); },
      .restore_snapshot =
          [this](const gossip::ReplicatedSnapshot& snapshot) { warm_start_.restore_replicated(snapshot); },
      .rollouts = rollout_agent_.coordinator_setup()};
}

void Server::open_admin_socket() {
  admin::AdminReplies::Names names{operator_config_.fleet.name, {}};
  for (const auto& peer : operator_config_.fleet.peers) names.peers.push_back(peer.name);
  admin::AdminReplies replies(scheduler_, log_, purges_, std::move(names), admin_view_, replication_.get());
  admin_server_ = std::make_unique<admin::AdminServer>(scheduler_, outbox_, operator_config_.admin_socket,
                                                       std::move(replies));
}

void Server::on_turn_end() {
  const Seconds now = scheduler_.now();
  if (now >= next_purge_trim_) {
    purges_.trim(now);
    next_purge_trim_ = now + kPurgeTrimInterval;
  }
  if (purge_persister_) purge_persister_->on_turn_end();
  if (links_) links_->on_turn_end();
  if (replication_) replication_->on_turn_end();
  rollout_agent_.on_turn_end();
}

}  // namespace walkpaddle::server
