/// \file
/// How the descriptors that the platform allows are divided between the server's own needs, its clients and
/// the connections to endpoints.
#pragma once

#include <cstddef>

#include "config/operator_config.h"

namespace walkpaddle::server {

/// Upper bounds of open connections. Usual clients hold a third of the descriptors at most, so half of what
/// is left leaves room for those that stay; the upstream connections have the rest.
struct DescriptorBudget {
  /// `platform_limit`: descriptors that the platform allows this process.
  DescriptorBudget(int platform_limit, const config::OperatorConfig& operators);

  std::size_t client_connections;    ///< at least 2
  std::size_t upstream_connections;  ///< at least 2
};

}  // namespace walkpaddle::server
