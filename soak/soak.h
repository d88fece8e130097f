// One soak run: routers run as processes among fake servers, discovery and clients on loopback while the
// faults of a plan are injected. The oracle checks the invariants.
#pragma once

#include <string>
#include <vector>

#include "soak/oracle.h"
#include "soak/plan.h"

namespace walkpaddle::soak {

struct Programs {
  std::string router, shim, folder;  // folder: for the files of the processes
};

struct Result {
  std::vector<Violation> violations;
  std::vector<std::string> traces;  // for each violation, log lines of its router
  Oracle::Counts counts;
  Seconds worst_lag = 0;
  std::uint64_t connections = 0;   // accepted by servers
  double cpu_seconds = 0;          // CPU time of the routers that ran at the end, since their start
  double memory_mb = 0;            // highest peak among these routers
  std::vector<Seconds> latencies;  // from request to answer, for served requests
};

Result run_plan(const Plan& plan, const Programs& programs);

// Removes faults from a failing plan while at least one of the same invariants is still violated. Runs the
// plan once to find its violations, then candidates at most `max_runs` times.
Plan minimize_plan(const Plan& plan, const Programs& programs, int max_runs);

}  // namespace walkpaddle::soak
