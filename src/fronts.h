// What stands before the router beside its clients: fronts that the operator's file switches on.
#pragma once

#include "control/file.h"
#include "server/server.h"

namespace walkpaddle {

void add_fronts(server::Server& server, const control::File& operators);

}  // namespace walkpaddle
