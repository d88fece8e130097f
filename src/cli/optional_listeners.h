/// \file
/// Listeners beside the clients' one that the operator's file switches on.
#pragma once

#include "config/operator_config.h"
#include "server/server.h"

namespace walkpaddle::cli {

/// Adds them to a server before it runs. SystemError if an address cannot be had. A program of the testbed
/// links another definition, which plants faults.
void add_optional_listeners(server::Server& server, const config::OperatorConfig& operators);

}  // namespace walkpaddle::cli
