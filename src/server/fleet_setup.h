/// \file
/// What the parts that talk to other routers are set up with, out of the operator's file.
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

/// The store on disk; null where the operator's file names none. StoreError if it cannot be used.
std::unique_ptr<store::Store> open_store(const config::OperatorConfig& operators);

/// Name of the purge numbers' run: of the store's life, or of this start where there is no store, whose
/// numbers begin anew. Empty where purges do not go between routers. `store` may be null.
std::string purge_run(const config::OperatorConfig& operators, const config::PlatformConfig& config,
                      store::Store* store, Seconds now);

/// `run`: as purge_run() gave it; `storage`: on disk where there is a store.
purge::PurgeRegistry::Setup purges_setup(const config::OperatorConfig& operators,
                                         const config::Settings& settings, const std::string& run,
                                         purge::LogStorage storage);

/// The other routers with their addresses, in the order of the file. InputError if one is no address.
std::vector<replication::Peer> fleet_peers(const config::OperatorConfig& operators);

}  // namespace walkpaddle::server
