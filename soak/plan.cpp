#include "soak/plan.h"

#include <fmt/core.h>

#include <algorithm>
#include <random>

#include "base/text.h"
#include "config/section_reader.h"

namespace walkpaddle::soak {

namespace {

enum class Target { router, server, clients };

// For each fault kind: its name, its target, and the ranges of durations (seconds) and magnitudes that random
// plans draw from.
struct FaultRange {
  std::string_view name;
  Target target;
  Seconds shortest, longest;
  double smallest, largest;
};

constexpr FaultRange kFaultTable[kFaultKindCount] = {
    {"terminate", Target::router, 0, 0, 0, 0},
    {"kill", Target::router, 0.2, 1.5, 0, 0},
    {"stall", Target::router, 0.1, 0.5, 0, 0},
    {"reload", Target::router, 0, 0, 0, 0},
    {"signal_series", Target::router, 0.5, 3, 0.03, 0.4},
    {"wall_step", Target::router, 0, 0, -3600, 3600},
    {"recv_interrupted", Target::router, 1, 4, 3, 40},
    {"recv_short", Target::router, 1, 3, 2, 20},
    {"recv_no_memory", Target::router, 1, 3, 20, 100},
    {"recv_timed_out", Target::router, 1, 3, 100, 400},
    {"send_no_buffers", Target::router, 1, 4, 5, 50},
    {"send_short", Target::router, 1, 3, 2, 20},
    {"send_interrupted", Target::router, 1, 4, 3, 40},
    {"watch_refused", Target::router, 1, 4, 2, 8},
    {"wait_interrupted", Target::router, 1, 4, 2, 10},
    {"accept_failed", Target::router, 1, 4, 2, 6},
    {"socket_failed", Target::router, 1, 4, 2, 6},
    {"connect_failed", Target::router, 1, 4, 2, 6},
    {"connect_interrupted", Target::router, 1, 4, 2, 6},
    {"server_hangs", Target::server, 0.5, 3, 0, 0},
    {"server_vanishes", Target::server, 1, 4, 0, 0},
    {"server_crashes", Target::server, 0.3, 2, 0, 0},
    {"server_drains", Target::server, 2, 6, 0, 0},
    {"server_replaced", Target::server, 1, 3, 0, 0},
    {"server_slow", Target::server, 1, 5, 3, 30},
    {"server_overloaded", Target::server, 0.5, 3, 0.3, 1},
    {"server_late_accept", Target::server, 0.5, 2, 0, 0},
    {"server_hangs_up", Target::server, 0.5, 2, 0, 0},
    {"server_closes_idle", Target::server, 1, 3, 0, 0},
    {"server_resets_idle", Target::server, 1, 3, 0, 0},
    {"server_forgets_idle", Target::server, 1, 4, 0, 0},
    {"server_resets_midway", Target::server, 1, 3, 0.05, 0.3},
    {"server_half_closes", Target::server, 1, 3, 0.02, 0.1},
    {"answers_lost", Target::server, 1, 3, 0.05, 0.5},
    {"answers_trickle", Target::server, 1, 3, 0.05, 0.5},
    {"answers_spoilt", Target::server, 1, 3, 0.02, 0.2},
    {"answers_doubled", Target::server, 1, 4, 0.05, 0.5},
    {"discovery_down", Target::router, 1, 6, 0, 0},
    {"discovery_silent", Target::router, 1, 6, 0, 0},
    {"discovery_trickles", Target::router, 1, 5, 0, 0},
    {"discovery_late", Target::router, 1, 5, 0.1, 0.4},
    {"clients_leave", Target::clients, 1, 5, 0.05, 0.4},
    {"clients_burst", Target::clients, 0.5, 3, 2, 4},
    {"clients_trickle", Target::clients, 1, 4, 0, 0},
    {"clients_read_slowly", Target::clients, 1, 3, 0, 0},
    {"clients_spoil", Target::clients, 1, 4, 0.02, 0.1},
    {"clients_short_limits", Target::clients, 1, 5, 0.1, 0.5},
    {"clients_crowd", Target::clients, 1, 4, 60, 180},
    {"clients_half_close", Target::clients, 1, 4, 0.05, 0.3},
    {"clients_close_unread", Target::clients, 1, 3, 0.05, 0.3},
    {"clients_repeat_ids", Target::clients, 1, 4, 0.2, 1},
    {"crowd_unfinished", Target::clients, 1, 4, 100, 600},
    {"crowd_unread", Target::clients, 1, 4, 50, 300},
    {"crowd_floods", Target::clients, 1, 3, 1, 6},
};

const FaultRange& fault_range(FaultKind kind) { return kFaultTable[static_cast<int>(kind)]; }

Fault draw(std::mt19937_64& random, const Plan& plan, Seconds at) {
  const auto kind = static_cast<FaultKind>(std::uniform_int_distribution<>(0, kFaultKindCount - 1)(random));
  const auto& range = fault_range(kind);
  const auto between = [&](double least, double most) {
    return std::uniform_real_distribution<>(least, most)(random);
  };
  Fault fault{.kind = kind, .at = at, .duration = between(range.shortest, range.longest)};
  // The origin has the last number; it is never stopped or drained.
  const bool stops_serving = kind == FaultKind::server_vanishes || kind == FaultKind::server_crashes ||
                             kind == FaultKind::server_drains || kind == FaultKind::server_replaced;
  const int targets =
      range.target == Target::server ? plan.servers + plan.parents + (stops_serving ? 0 : 1) : plan.processes;
  fault.target = std::uniform_int_distribution<>(0, targets - 1)(random);
  fault.magnitude = between(range.smallest, range.largest);
  // Some faults hit all targets at once.
  constexpr double kAllTargetsProbability = 0.1;
  const bool may_hit_all = kind == FaultKind::reload || kind == FaultKind::wall_step ||
                           kind == FaultKind::stall || kind == FaultKind::server_closes_idle ||
                           kind == FaultKind::server_resets_idle || kind == FaultKind::server_forgets_idle ||
                           (kind >= FaultKind::discovery_down && kind <= FaultKind::discovery_late) ||
                           (range.target == Target::clients && kind < FaultKind::crowd_unfinished);
  if (may_hit_all && between(0, 1) < kAllTargetsProbability) fault.target = -1;
  // Half of the clock steps are a few seconds, the others up to an hour.
  if (kind == FaultKind::wall_step && between(0, 1) < 0.5) fault.magnitude /= 600;
  return fault;
}

}  // namespace

std::string_view name_of(FaultKind kind) { return fault_range(kind).name; }

Plan random_plan(std::uint64_t seed, Seconds seconds, int processes) {
  constexpr Seconds kFaultFreeEnd = 3;  // leaves open requests time to finish
  Plan plan{.seed = seed, .seconds = seconds, .processes = processes};
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<> uniform(0, 1);
  const double longest_quiet = seconds / 4;
  // The least memory that the platform's pages name, with as many descriptors as let a crowd in.
  constexpr double kLeastMemoryProbability = 0.5, kShortDeadlinesProbability = 0.4;
  if (uniform(random) < kLeastMemoryProbability) {
    plan.memory_mb = 32;
    plan.max_descriptors = 1024;
  }
  if (uniform(random) < kShortDeadlinesProbability) plan.deadline_share = 0.08 + 0.3 * uniform(random);
  // In some plans one router's clock differs from discovery's from the beginning.
  constexpr double kInitialStepProbability = 0.4;
  if (uniform(random) < kInitialStepProbability)
    plan.faults.push_back({.kind = FaultKind::wall_step,
                           .at = -1,
                           .target = static_cast<int>(processes * uniform(random)),
                           .magnitude = 7200 * (uniform(random) - 0.5)});
  for (Seconds at = 0.5 + uniform(random); at < seconds - kFaultFreeEnd;) {
    // The faults of a group start at the same moment or within a second of each other.
    const int group_size = 2 + static_cast<int>(3 * uniform(random)) + processes / 8;
    const int router = static_cast<int>(processes * uniform(random));
    // Further signals during a graceful shutdown.
    if (uniform(random) < 0.2) {
      constexpr Seconds kShutdownSpan = 1;
      for (const auto kind :
           {FaultKind::terminate, FaultKind::terminate, FaultKind::reload, FaultKind::stall})
        plan.faults.push_back({.kind = kind,
                               .at = at + kShutdownSpan * uniform(random),
                               .duration = kind == FaultKind::stall ? 0.3 : 0,
                               .target = router});
    }
    for (int n = 0; n < group_size; ++n) {
      auto fault = draw(random, plan, at + (uniform(random) < 0.5 ? 0 : uniform(random)));
      // About half of the faults that don't target servers hit the same router.
      if (fault_range(fault.kind).target != Target::server && fault.target >= 0 && uniform(random) < 0.5)
        fault.target = router;
      plan.faults.push_back(fault);
    }
    at += uniform(random) < 0.15 ? longest_quiet * uniform(random) : 0.3 + 1.2 * uniform(random);
  }
  std::ranges::stable_sort(plan.faults, {}, &Fault::at);
  return plan;
}

Plan read_plan(const std::string& path) {
  cfg_opt_t fault_options[] = {CFG_STR("kind", nullptr, CFGF_NONE), CFG_FLOAT("at", 0, CFGF_NONE),
                               CFG_FLOAT("lasts", 0, CFGF_NONE),    CFG_INT("target", 0, CFGF_NONE),
                               CFG_FLOAT("size", 0, CFGF_NONE),     CFG_END()};
  cfg_opt_t options[] = {CFG_INT("seed", 1, CFGF_NONE),
                         CFG_FLOAT("seconds", 20, CFGF_NONE),
                         CFG_INT("processes", 12, CFGF_NONE),
                         CFG_INT("servers", 8, CFGF_NONE),
                         CFG_INT("parents", 2, CFGF_NONE),
                         CFG_FLOAT("rate", 25, CFGF_NONE),
                         CFG_INT("descriptors", 256, CFGF_NONE),
                         CFG_INT("memory_mb", 48, CFGF_NONE),
                         CFG_FLOAT("deadline_share", 1, CFGF_NONE),
                         CFG_INT("most_connections", 0, CFGF_NONE),
                         CFG_INT("most_refused", 0, CFGF_NONE),
                         CFG_SEC("trouble", fault_options, CFGF_MULTI),
                         CFG_INT(config::kEndOption, 0, CFGF_NONE),
                         CFG_END()};
  config::Document document(path, options);
  const auto all = document.read();
  Plan plan{.seed = static_cast<std::uint64_t>(all.integer("seed")),
            .seconds = all.number("seconds"),
            .processes = static_cast<int>(all.integer("processes")),
            .servers = static_cast<int>(all.integer("servers")),
            .parents = static_cast<int>(all.integer("parents")),
            .rate = all.number("rate"),
            .max_descriptors = static_cast<int>(all.integer("descriptors")),
            .memory_mb = static_cast<int>(all.integer("memory_mb")),
            .deadline_share = all.number("deadline_share"),
            .max_rejected = static_cast<int>(all.integer("most_refused")),
            .max_connections = static_cast<int>(all.integer("most_connections"))};
  constexpr int kMaxProcesses = 60, kMaxServers = 200;
  if (plan.processes < 1 || plan.processes > kMaxProcesses || plan.servers < 1 ||
      plan.servers > kMaxServers || plan.parents < 0 || plan.seconds <= 0 || plan.rate <= 0)
    throw InputError(path + ": processes, servers, parents, seconds or rate is out of range");
  for (const auto& section : all.sections("trouble")) {
    const auto name = section.text("kind");
    const auto* range = std::ranges::find(kFaultTable, std::string_view(name), &FaultRange::name);
    if (range == std::end(kFaultTable))
      section.refuse(fmt::format("unknown kind of trouble '{}'", name), "kind");
    plan.faults.push_back({.kind = static_cast<FaultKind>(range - std::begin(kFaultTable)),
                           .at = section.number("at"),
                           .duration = section.number("lasts"),
                           .target = static_cast<int>(section.integer("target")),
                           .magnitude = section.number("size")});
  }
  std::ranges::stable_sort(plan.faults, {}, &Fault::at);
  return plan;
}

std::string format_plan(const Plan& plan) {
  std::string text = fmt::format(
      "seed = {}\nseconds = {}\nprocesses = {}\nservers = {}\nparents = {}\nrate = {}\n"
      "descriptors = {}\nmemory_mb = {}\ndeadline_share = {}\n",
      plan.seed, plan.seconds, plan.processes, plan.servers, plan.parents, plan.rate, plan.max_descriptors,
      plan.memory_mb, plan.deadline_share);
  for (const auto& t : plan.faults)
    text += fmt::format(
        "trouble {{\n  kind = \"{}\"\n  at = {:.3f}\n  lasts = {:.3f}\n  target = {}\n  size = {:.4f}\n}}\n",
        name_of(t.kind), t.at, t.duration, t.target, t.magnitude);
  return text;
}

}  // namespace walkpaddle::soak
