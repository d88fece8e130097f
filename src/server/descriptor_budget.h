/// \file
/// Divides the file descriptors that the platform allows between the server itself, client connections and
/// upstream connections.
#pragma once

#include <cstddef>

#include "config/operator_config.h"

namespace walkpaddle::server {

/// Upper bounds of open connections. What the server itself does not need is divided evenly: clients usually
/// hold at most a third of the descriptors, so half leaves room for clients that stay connected.
struct DescriptorBudget {
  /// `platform_limit`: number of descriptors that the platform allows this process.
  DescriptorBudget(int platform_limit, const config::OperatorConfig& operator_config);

  std::size_t client_connections;    ///< at least 2
  std::size_t upstream_connections;  ///< at least 2
};

}  // namespace walkpaddle::server
