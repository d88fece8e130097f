#include "server/fleet_setup.h"

#include <fmt/core.h>

#include "base/hash.h"
#include "replication/purge_persister.h"

namespace walkpaddle::server {

std::unique_ptr<store::Store> open_store(const config::OperatorConfig& operator_config) {
  if (!operator_config.fleet.enabled || operator_config.store_folder.empty()) return nullptr;
  return std::make_unique<store::Store>(store::Store::Setup{
      operator_config.store_folder, static_cast<std::size_t>(operator_config.store_megabytes)});
}

std::string purge_log_identity(const config::OperatorConfig& operator_config,
                               const config::PlatformConfig& config, store::Store* store, Seconds now) {
  const auto& fleet = operator_config.fleet;
  if (!fleet.enabled || !fleet.exchange_purges) return {};
  const auto fresh_identity =
      fmt::format("{:016x}", stable_hash(fmt::format("{} {} {}", fleet.name, config.seed, now)));
  return store != nullptr ? replication::load_or_create_identity(*store, fresh_identity) : fresh_identity;
}

purge::PurgeRegistry::Setup purges_setup(const config::OperatorConfig& operator_config,
                                         const config::Settings& settings, const std::string& identity,
                                         purge::LogStorage storage) {
  purge::PurgeRegistry::Setup setup;
  setup.discovery_settle_time = settings.duration("specifics.purge_settles");
  const auto& fleet = operator_config.fleet;
  if (!fleet.enabled || !fleet.exchange_purges) return setup;
  setup.replicated = true;
  setup.peer_count = static_cast<int>(fleet.peers.size());
  setup.storage = storage;
  setup.self = stable_hash(fleet.name + " " + identity);
  setup.max_copy_age = fleet.copy_lifetime;
  setup.timing = {fleet.lease, fleet.heartbeat};
  setup.max_entries = static_cast<std::size_t>(fleet.purge_log_entries);
  setup.max_objects = static_cast<std::size_t>(fleet.indexed_objects);
  return setup;
}

std::vector<replication::Peer> fleet_peers(const config::OperatorConfig& operator_config) {
  std::vector<replication::Peer> peers;
  for (const auto& peer : operator_config.fleet.peers)
    peers.push_back({peer.name, parse_address(peer.address)});
  return peers;
}

}  // namespace walkpaddle::server
