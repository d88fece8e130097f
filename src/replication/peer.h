/// \file
/// Another router of the fleet, as configured in the operator's file.
#pragma once

#include <string>

#include "io/stream.h"

namespace walkpaddle::replication {

/// Another router of the fleet. Peers are indexed in the order of the operator's file.
struct Peer {
  std::string name;  ///< the router's name in its own operator's file
  Address address;   ///< address for datagrams and links
};

}  // namespace walkpaddle::replication
