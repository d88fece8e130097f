#include "server/memory_monitor.h"

#include <fmt/core.h>

#include <algorithm>

#include "io/process_memory.h"

namespace walkpaddle::server {

namespace {

constexpr Seconds kSampleInterval = 0.25;
constexpr Seconds kLogInterval = 1;
// Shares of the limit. Apart, so that memory that hovers about one of them does not fill the log.
constexpr double kHighShare = 0.75;
constexpr double kNormalShare = 0.6;

}  // namespace

Task MemoryMonitor::run() {
  Event pause(parts_.scheduler);
  for (;;) {
    sample();
    co_await pause.wait(parts_.scheduler.now() + kSampleInterval);
  }
}

void MemoryMonitor::sample() {
  const Seconds now = parts_.scheduler.now();
  const double resident_mb = resident_megabytes();
  peak_mb_ = std::max(peak_mb_, resident_mb);
  if (is_high_ && resident_mb < parts_.limit_mb * kNormalShare) {
    is_high_ = false;
    parts_.log("memory", "no longer high: {}", usage_text(resident_mb));
  } else if (resident_mb >= parts_.limit_mb * kHighShare && now >= logged_at_ + kLogInterval) {
    is_high_ = true;
    logged_at_ = now;
    parts_.log("memory", "high: {}", usage_text(resident_mb));
    parts_.metrics.log_counters(parts_.log);
  }
}

std::string MemoryMonitor::usage_text(double resident_mb) const {
  const auto& budget = parts_.outbox.budget();
  const auto clients = parts_.client_listener.totals();
  return fmt::format(
      "{:.1f} MB resident of {} MB, {} of {} bytes buffered, {} clients, {} unfinished messages with {} "
      "bytes, "
      "{} deferred requests, {} open requests",
      resident_mb, parts_.limit_mb, budget.buffered(), budget.limit(), clients.connections,
      clients.unfinished_messages, clients.unfinished_bytes, clients.deferred_requests,
      parts_.dispatcher.open_requests());
}

}  // namespace walkpaddle::server
