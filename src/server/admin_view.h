/// \file
/// The state of the server that the admin socket shows in addition to purges and fleet.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "admin/admin_replies.h"
#include "net/upstream_pool.h"
#include "server/metrics.h"

namespace walkpaddle::server {

/// A read-only view of the upstream pool and the counters, which must outlive it.
class AdminView final : public admin::RouterView {
 public:
  /// Keeps the references; reads nothing before the admin socket asks.
  AdminView(const net::UpstreamPool& upstream, const Metrics& metrics)
      : upstream_(upstream), metrics_(metrics) {}

  int endpoints() const override { return upstream_.endpoint_count(); }
  std::string endpoint_id(int endpoint) const override { return std::string(upstream_.id(endpoint)); }
  std::vector<std::pair<std::string, std::uint64_t>> counters() const override { return metrics_.by_name(); }

 private:
  const net::UpstreamPool& upstream_;
  const Metrics& metrics_;
};

}  // namespace walkpaddle::server
