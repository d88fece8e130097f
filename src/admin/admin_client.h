/// \file
/// The operators' commands that talk to a running router over its admin socket, from their own process:
/// blocking, with a timeout. They print to standard output, errors to standard error, and give the exit code:
/// 0 done, 1 refused or not reached.
#pragma once

#include <string>

#include "base/time.h"

namespace walkpaddle::admin {

/// The purge that an operator asks for.
struct PurgeCommand {
  std::string kind;           ///< object, group, tag, pattern or all
  std::string what;           ///< its id, number, name or pattern; empty for all
  bool wait_for_all = false;  ///< until every router holds it and every cache server has confirmed it
  Seconds timeout = 10;       ///< of the wait
};

/// Issues a purge, waits until it is accepted or as asked, and prints where it stands.
int purge(const std::string& socket, const PurgeCommand& command);
/// Prints where a purge stands. `number`: as purge() printed it; empty: the router and its last purges.
int purge_status(const std::string& socket, const std::string& number);

/// How fleet_status() prints.
enum class OutputForm {
  text,  ///< lines for people
  json   ///< the router's reply as it came, one object
};
/// Prints who of the fleet is alive, and what it knows of the endpoints.
int fleet_status(const std::string& socket, OutputForm form);

}  // namespace walkpaddle::admin
