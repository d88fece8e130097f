/// \file
/// The operators' commands that talk to a running router over its admin socket, from another process:
/// blocking, with a timeout. They print to standard output, errors to standard error, and return the exit
/// code: 0 for success, 1 if the request was refused or the router not reached.
#pragma once

#include <string>

#include "base/time.h"

namespace walkpaddle::admin {

/// A purge requested by an operator.
struct PurgeCommand {
  std::string kind;           ///< object, group, tag, pattern or all
  std::string what;           ///< id, number, name or pattern of its target; empty for all
  bool wait_for_all = false;  ///< wait until all routers hold it and all cache servers confirmed it
  Seconds timeout = 10;       ///< longest time to wait
};

/// Issues a purge, waits until it is accepted, or for all with `wait_for_all`, and prints its status.
int purge(const std::string& socket, const PurgeCommand& command);
/// Prints the status of a purge. `number`: as printed by purge(); empty: prints the state of the purge log
/// and the latest purges.
int purge_status(const std::string& socket, const std::string& number);

/// Output format of fleet_status().
enum class OutputForm {
  text,  ///< human-readable lines
  json   ///< the router's reply, one JSON object
};
/// Prints the members of the fleet, its rollouts and freeze windows, and its observations of endpoints.
int fleet_status(const std::string& socket, OutputForm form);

}  // namespace walkpaddle::admin
