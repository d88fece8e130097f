#include "server/metrics.h"

#include <fmt/core.h>
#include <time.h>

#include <string_view>

#include "guard/guard.h"
#include "io/process_memory.h"

namespace walkpaddle::server {

namespace {

constexpr Seconds kLoadSampleInterval = 1;  // sampling reads a file in /proc

using NamedCounters = std::vector<std::pair<std::string, std::uint64_t>>;

template <class Names, class Values>
void append_by_reason(NamedCounters& all, std::string_view prefix, const Names& names, const Values& values) {
  for (std::size_t n = 0; n < names.size(); ++n)
    all.emplace_back(fmt::format("{}_{}", prefix, names[n]), values[n]);
}

void append_violations(NamedCounters& all, const guard::Guard& guard) {
  for (std::size_t n = 1; n < guard::kInvariantNames.size(); ++n)
    all.emplace_back(fmt::format("violation_{}", guard::kInvariantNames[n]),
                     guard.violations(static_cast<guard::Invariant>(n)));
}

}  // namespace

NamedCounters Metrics::by_name() const {
  const auto& guard = dispatcher_.guard();
  const auto& counters = guard.counters();
  const auto ejections = dispatcher_.policy().ejections();
  NamedCounters all = {{"served", counters.served},
                       {"shed", counters.shed},
                       {"failed", counters.failed},
                       {"left", counters.left},
                       {"attempts", counters.attempts},
                       {"retries", counters.retries},
                       {"ejected_unreached", ejections.unreachable},
                       {"ejected_failing", ejections.failing},
                       {"ejected_silent", ejections.silent}};
  append_by_reason(all, "client_closed", guard::kClientCloseNames, counters.client_closes);
  append_by_reason(all, "unstarted", guard::kUnstartedNames, counters.unstarted);
  append_by_reason(all, "endpoint_closed", guard::kEndpointCloseNames, counters.endpoint_closes);
  append_violations(all, guard);
  return all;
}

void Metrics::log_counters(Log& log) const {
  std::string text;
  for (const auto& [name, count] : by_name())
    if (count > 0) text += fmt::format("{}{} {}", text.empty() ? "" : ", ", name, count);
  log("counters", "{}", text);
}

rollout::RolloutMetrics Metrics::rollout_counters() {
  const Seconds now = scheduler_.now();
  if (now >= next_load_sample_) {
    next_load_sample_ = now + kLoadSampleInterval;
    sample_process_load();
  }
  return dispatcher_.metrics()->metrics();
}

void Metrics::sample_process_load() {
  timespec cpu{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &cpu);
  const double cpu_seconds = static_cast<double>(cpu.tv_sec) + static_cast<double>(cpu.tv_nsec) * 1e-9;
  dispatcher_.metrics()->load_measured(resident_megabytes(), cpu_seconds, scheduler_.now());
}

}  // namespace walkpaddle::server
