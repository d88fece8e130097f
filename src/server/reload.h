/// \file
/// Reads the platform's configuration again while requests are open.
#pragma once

#include <functional>
#include <utility>

#include "config/platform_config.h"
#include "io/log.h"
#include "io/scheduler.h"
#include "net/discovery_client.h"

namespace walkpaddle::server {

/// The reload that SIGHUP asks for. What may change while requests are open is where discovery is; all else
/// needs a restart. Scheduler, discovery client and log must outlive it.
class ConfigReload {
 public:
  /// Gives the configuration as it now stands, or throws InputError.
  using ReadConfig = std::function<config::PlatformConfig()>;

  /// `read_config` is called at each reload.
  ConfigReload(ReadConfig read_config, Scheduler& scheduler, net::DiscoveryClient& discovery, Log& log)
      : read_config_(std::move(read_config)), scheduler_(scheduler), discovery_(discovery), log_(log) {}

  /// Reads the file now. One that cannot be used is read again for a while, see next_try(). Prevents the loss
  /// of a reload whose signal comes while the file is being written: the address that it names would never be
  /// followed.
  void request();
  /// When try_again() is due, on the scheduler's clock; kNoTime if nothing is.
  Seconds next_try() const;
  /// Once more, as next_try() has come.
  void try_again();

 private:
  bool reload();  // false: the file cannot be used now

  const ReadConfig read_config_;
  Scheduler& scheduler_;
  net::DiscoveryClient& discovery_;
  Log& log_;
  Seconds retry_until_ = 0;  // 0: the last one was read
};

}  // namespace walkpaddle::server
