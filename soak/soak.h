// One soak: routers as processes among servers, discovery and clients, all on loopback, while a plan's
// troubles strike; judged by the oracle.
#pragma once

#include <string>
#include <vector>

#include "soak/oracle.h"
#include "soak/plan.h"

namespace walkpaddle::soak {

struct Programs {
  std::string router, shim, folder;  // folder: where the processes' files go
};

struct Result {
  std::vector<Violation> violations;
  std::vector<std::string> traces;  // by violation: the routers' log lines that name its request
  Oracle::Counts counts;
  Seconds worst_lag = 0;
  std::uint64_t connections = 0;   // that servers accepted
  double cpu_seconds = 0;          // seconds, of the routers that still ran at the end, since their start
  double memory_mb = 0;            // the most that one of them held
  std::vector<Seconds> latencies;  // from request to answer, of those that were served
};

Result run_plan(const Plan& plan, const Programs& programs);

// Takes troubles out of a plan that fails, as long as the same invariants still fail, at most so many plays.
Plan minimize_plan(const Plan& plan, const Programs& programs, int max_runs);

}  // namespace walkpaddle::soak
