/// \file
/// Another router of the fleet, as the operator's file names it.
#pragma once

#include <string>

#include "io/stream.h"

namespace walkpaddle::replication {

/// One of the other routers; they are numbered in the file's order.
struct Peer {
  std::string name;  ///< as its own operator's file gives it
  Address address;   ///< of its datagrams and links
};

}  // namespace walkpaddle::replication
