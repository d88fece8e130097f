/// \file
/// Optional listeners, which the operator's file enables, in addition to the one for clients.
#pragma once

#include "config/operator_config.h"
#include "server/server.h"

namespace walkpaddle::cli {

/// Adds the listeners to a server before it runs. Throws SystemError if an address cannot be bound. A test
/// program links another definition, which injects faults.
void add_optional_listeners(server::Server& server, const config::OperatorConfig& operator_config);

}  // namespace walkpaddle::cli
