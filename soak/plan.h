// The plan of one soak: what is played, when, at whom. It comes from a seed or from a document in the
// operators' language; the same plan gives the same schedule.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace walkpaddle::soak {

enum class FaultKind {
  // At a router's process. Size: seconds of the clock's step, or each so many calls one fails.
  terminate,
  kill,
  stall,
  reload,
  wall_step,
  recv_interrupted,
  recv_short,
  recv_no_memory,
  recv_timed_out,
  send_no_buffers,
  send_short,
  send_interrupted,
  watch_refused,
  wait_interrupted,
  accept_failed,
  socket_failed,
  connect_failed,
  connect_interrupted,
  // At a server.
  server_hangs,
  server_vanishes,
  server_crashes,
  server_drains,
  server_replaced,
  server_slow,
  server_overloaded,
  server_late_accept,
  server_hangs_up,
  server_closes_idle,
  server_resets_idle,
  server_forgets_idle,
  server_resets_midway,
  server_half_closes,
  answers_lost,
  answers_trickle,
  answers_spoilt,
  answers_doubled,
  // At the discovery of one router, or of all.
  discovery_down,
  discovery_silent,
  discovery_trickles,
  discovery_late,
  // At the clients of one router.
  clients_leave,
  clients_burst,
  clients_trickle,
  clients_read_slowly,
  clients_spoil,
  clients_short_limits,
  clients_crowd,
  clients_half_close,
  count
};
constexpr int kFaultKindCount = static_cast<int>(FaultKind::count);

std::string_view name_of(FaultKind kind);

struct Fault {
  FaultKind kind = FaultKind::count;
  Seconds at = 0, duration = 0;  // since the soak's traffic began
  int target = 0;                // which router or server; -1: all of them
  double magnitude = 0;          // as the kind says; 0 where it needs none
};

struct Plan {
  std::uint64_t seed = 1;
  Seconds seconds = 20;
  int processes = 12, servers = 8, parents = 2;
  double rate = 25;           // requests a second at each router
  int max_descriptors = 256;  // descriptors that a router may hold
  int fleet_size = 0;         // routers by the settings; 0: as many as run
  int max_rejected = 0;       // requests, of all routers together; 0: not judged
  int max_connections = 0;    // to servers, of all routers together; 0: not judged
  std::vector<Fault> faults{};
};

// Two or three troubles at a time, some after a quiet time, until shortly before the end.
Plan random_plan(std::uint64_t seed, Seconds seconds, int processes);
Plan read_plan(const std::string& path);    // InputError with file and line
std::string format_plan(const Plan& plan);  // as read_plan reads it

}  // namespace walkpaddle::soak
