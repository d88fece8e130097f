#include "server/reload.h"

#include <exception>

namespace walkpaddle::server {

namespace {

constexpr Seconds kRetryInterval = 0.25;
constexpr Seconds kRetryPeriod = 3;  // the platform considers a reload complete 4 s after the signal

}  // namespace

void ConfigReload::request() { retry_until_ = reload() ? 0 : scheduler_.now() + kRetryPeriod; }

Seconds ConfigReload::next_retry() const {
  const Seconds now = scheduler_.now();
  return now < retry_until_ ? now + kRetryInterval : kNoTime;
}

void ConfigReload::retry() {
  if (reload()) retry_until_ = 0;
}

bool ConfigReload::reload() {
  try {
    const auto config = read_config_();
    log_("reload", "discovery address {}", config.discovery ? text_of(*config.discovery) : "none");
    if (config.discovery) discovery_.follow(*config.discovery);
    return true;
  } catch (const std::exception& e) {
    log_("reload", "configuration unchanged: {}", e.what());
    return false;
  }
}

}  // namespace walkpaddle::server
