// The operators' commands that talk to a running router, from their own process: blocking, with a time.
// Exit codes: 0 done, 1 refused or not reached, 2 wrong use.
#pragma once

#include <string>

#include "base/time.h"

namespace walkpaddle::control {

struct PurgeAsked {
  std::string kind, what;
  bool wait = false;  // until every router holds it and every box has confirmed it
  Seconds within = 10;
};
int purge(const std::string& socket, const PurgeAsked& asked);
int purge_status(const std::string& socket, const std::string& number);  // empty: of the router
int fleet(const std::string& socket, bool as_json);

}  // namespace walkpaddle::control
