// The plan of one soak run: which faults are injected, when, and into what. A plan is drawn from a seed or
// read from a file in the syntax of the operator's file; the same plan gives the same schedule.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace walkpaddle::soak {

enum class FaultKind {
  // Faults of a router's process. The magnitude is the step of the wall clock in seconds, or N where one in N
  // calls fails.
  terminate,
  kill,
  stall,
  reload,
  signal_series,
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
  // Faults of a server.
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
  // Faults of the discovery connection of one router, or of all.
  discovery_down,
  discovery_silent,
  discovery_trickles,
  discovery_late,
  // Faults of the clients of one router.
  clients_leave,
  clients_burst,
  clients_trickle,
  clients_read_slowly,
  clients_spoil,
  clients_short_limits,
  clients_crowd,
  clients_half_close,
  clients_close_unread,
  clients_repeat_ids,
  // Clients of one router that do not keep to the protocol. The magnitude is their number.
  crowd_unfinished,
  crowd_unread,
  crowd_floods,
  count
};
constexpr int kFaultKindCount = static_cast<int>(FaultKind::count);

std::string_view name_of(FaultKind kind);

struct Fault {
  FaultKind kind = FaultKind::count;
  Seconds at = 0, duration = 0;  // `at` counts from the start of the traffic
  int target = 0;                // number of the router or server; -1: all of them
  double magnitude = 0;          // its meaning depends on the kind; 0 if unused
};

struct Plan {
  std::uint64_t seed = 1;
  Seconds seconds = 20;
  int processes = 12, servers = 8, parents = 2;
  double rate = 25;           // requests per second at each router
  int max_descriptors = 256;  // open files allowed to each router
  int memory_mb = 48;         // memory allowed to each router
  double deadline_share = 1;  // of the deadlines of 2 and 3 s, also for the limits of requests
  int fleet_size = 0;         // routers according to the settings; 0: the number of processes
  int max_rejected = 0;       // rejected requests of all routers; 0: no limit
  int max_connections = 0;    // to servers, of all routers; 0: no limit
  std::vector<Fault> faults{};
};

// The deadline of the idempotent request class and of the two others, in seconds.
constexpr Seconds kShorterDeadline = 2, kLongerDeadline = 3;

// Draws groups of overlapping faults, some after a quiet period, until shortly before the end.
Plan random_plan(std::uint64_t seed, Seconds seconds, int processes);
Plan read_plan(const std::string& path);    // throws InputError with file and line
std::string format_plan(const Plan& plan);  // in the form that read_plan() reads

}  // namespace walkpaddle::soak
