// What stands before the router beside its clients: fronts that the operator's file switches on.
#pragma once

#include "config/operator_config.h"
#include "server/server.h"

namespace walkpaddle {

void add_fronts(server::Server& server, const config::OperatorConfig& operators);

}  // namespace walkpaddle
