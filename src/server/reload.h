/// \file
/// Reloads the platform's configuration while requests are open.
#pragma once

#include <functional>
#include <utility>

#include "config/platform_config.h"
#include "io/log.h"
#include "io/scheduler.h"
#include "net/discovery_client.h"

namespace walkpaddle::server {

/// The reload that SIGHUP requests. Only the address of discovery may change while the router serves; all
/// other settings need a restart. Scheduler, discovery client and log must outlive it.
class ConfigReload {
 public:
  /// Returns the present configuration. Throws InputError if it cannot be used.
  using ReadConfig = std::function<config::PlatformConfig()>;

  /// `read_config` is called at each reload.
  ConfigReload(ReadConfig read_config, Scheduler& scheduler, net::DiscoveryClient& discovery, Log& log)
      : read_config_(std::move(read_config)), scheduler_(scheduler), discovery_(discovery), log_(log) {}

  /// Reads the file now. If it cannot be used, it is read again for some seconds, see next_retry(). Otherwise
  /// a signal that arrives while the file is being written would be lost, and the new address never followed.
  void request();
  /// When retry() is due, on the scheduler's clock; kNoTime if no retry is needed.
  Seconds next_retry() const;
  /// Reads the file again; to be called when next_retry() has come.
  void retry();

 private:
  bool reload();  // false: the file cannot be used

  const ReadConfig read_config_;
  Scheduler& scheduler_;
  net::DiscoveryClient& discovery_;
  Log& log_;
  Seconds retry_until_ = 0;  // 0: the last reload succeeded
};

}  // namespace walkpaddle::server
