/// \file
/// Derives the setup of purges, store and replication from the operator's file.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "config/operator_config.h"
#include "config/platform_config.h"
#include "purge/purge_registry.h"
#include "replication/peer_links.h"
#include "store/store.h"

namespace walkpaddle::server {

/// Opens the store on disk. Returns null if the operator's file configures no fleet or no store. Throws
/// StoreError if the store cannot be used.
std::unique_ptr<store::Store> open_store(const config::OperatorConfig& operator_config);

/// The identity under which this router numbers its purges: the one kept in the store, or, without a store, a
/// new one for this start, since the numbers then begin again. Empty if purges are not replicated. `store`
/// may be null.
std::string purge_log_identity(const config::OperatorConfig& operator_config,
                               const config::PlatformConfig& config, store::Store* store, Seconds now);

/// Setup of the purge registry. `identity`: from purge_log_identity(). `storage`: disk if there is a store.
purge::PurgeRegistry::Setup purges_setup(const config::OperatorConfig& operator_config,
                                         const config::Settings& settings, const std::string& identity,
                                         purge::LogStorage storage);

/// The other routers with their addresses, in the order of the file. Throws InputError if an address cannot
/// be parsed.
std::vector<replication::Peer> fleet_peers(const config::OperatorConfig& operator_config);

}  // namespace walkpaddle::server
