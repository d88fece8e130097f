#include "soak/plan.h"

#include <fmt/core.h>

#include <algorithm>
#include <random>

#include "base/text.h"
#include "config/section_reader.h"

namespace walkpaddle::soak {

namespace {

enum class At { router, server, clients };

// Of each kind: its name, at whom, and the ranges from which a seed draws.
struct Range {
  std::string_view name;
  At at;
  Seconds shortest, longest;
  double least, most;
};

constexpr Range kRanges[kKinds] = {
    {"terminate", At::router, 0, 0, 0, 0},
    {"kill", At::router, 0.2, 1.5, 0, 0},
    {"stall", At::router, 0.1, 0.5, 0, 0},
    {"reload", At::router, 0, 0, 0, 0},
    {"wall_step", At::router, 0, 0, -3600, 3600},
    {"recv_interrupted", At::router, 1, 4, 3, 40},
    {"recv_short", At::router, 1, 3, 2, 20},
    {"recv_no_memory", At::router, 1, 3, 20, 100},
    {"recv_timed_out", At::router, 1, 3, 100, 400},
    {"send_no_buffers", At::router, 1, 4, 5, 50},
    {"send_short", At::router, 1, 3, 2, 20},
    {"send_interrupted", At::router, 1, 4, 3, 40},
    {"watch_refused", At::router, 1, 4, 2, 8},
    {"wait_interrupted", At::router, 1, 4, 2, 10},
    {"accept_failed", At::router, 1, 4, 2, 6},
    {"socket_failed", At::router, 1, 4, 2, 6},
    {"connect_failed", At::router, 1, 4, 2, 6},
    {"connect_interrupted", At::router, 1, 4, 2, 6},
    {"server_hangs", At::server, 0.5, 3, 0, 0},
    {"server_vanishes", At::server, 1, 4, 0, 0},
    {"server_crashes", At::server, 0.3, 2, 0, 0},
    {"server_drains", At::server, 2, 6, 0, 0},
    {"server_replaced", At::server, 1, 3, 0, 0},
    {"server_slow", At::server, 1, 5, 3, 30},
    {"server_overloaded", At::server, 0.5, 3, 0.3, 1},
    {"server_late_accept", At::server, 0.5, 2, 0, 0},
    {"server_hangs_up", At::server, 0.5, 2, 0, 0},
    {"server_closes_idle", At::server, 1, 3, 0, 0},
    {"server_resets_idle", At::server, 1, 3, 0, 0},
    {"server_forgets_idle", At::server, 1, 4, 0, 0},
    {"server_resets_midway", At::server, 1, 3, 0.05, 0.3},
    {"server_half_closes", At::server, 1, 3, 0.02, 0.1},
    {"answers_lost", At::server, 1, 3, 0.05, 0.5},
    {"answers_trickle", At::server, 1, 3, 0.05, 0.5},
    {"answers_spoilt", At::server, 1, 3, 0.02, 0.2},
    {"answers_doubled", At::server, 1, 4, 0.05, 0.5},
    {"discovery_down", At::router, 1, 6, 0, 0},
    {"discovery_silent", At::router, 1, 6, 0, 0},
    {"discovery_trickles", At::router, 1, 5, 0, 0},
    {"discovery_late", At::router, 1, 5, 0.1, 0.4},
    {"clients_leave", At::clients, 1, 5, 0.05, 0.4},
    {"clients_burst", At::clients, 0.5, 3, 2, 4},
    {"clients_trickle", At::clients, 1, 4, 0, 0},
    {"clients_read_slowly", At::clients, 1, 3, 0, 0},
    {"clients_spoil", At::clients, 1, 4, 0.02, 0.1},
    {"clients_short_limits", At::clients, 1, 5, 0.1, 0.5},
    {"clients_crowd", At::clients, 1, 4, 60, 180},
    {"clients_half_close", At::clients, 1, 4, 0.05, 0.3},
};

const Range& range_of(Kind kind) { return kRanges[static_cast<int>(kind)]; }

Trouble draw(std::mt19937_64& chance, const Plan& plan, Seconds at) {
  const auto kind = static_cast<Kind>(std::uniform_int_distribution<>(0, kKinds - 1)(chance));
  const auto& range = range_of(kind);
  const auto between = [&](double least, double most) {
    return std::uniform_real_distribution<>(least, most)(chance);
  };
  Trouble trouble{.kind = kind, .at = at, .lasts = between(range.shortest, range.longest)};
  // The origin is the last server; it neither dies nor drains.
  const bool dies = kind == Kind::server_vanishes || kind == Kind::server_crashes ||
                    kind == Kind::server_drains || kind == Kind::server_replaced;
  const int targets = range.at == At::server ? plan.servers + plan.parents + (dies ? 0 : 1) : plan.processes;
  trouble.target = std::uniform_int_distribution<>(0, targets - 1)(chance);
  trouble.size = between(range.least, range.most);
  // Some troubles strike all at once.
  constexpr double kAll = 0.1;
  const bool may_strike_all = kind == Kind::reload || kind == Kind::wall_step || kind == Kind::stall ||
                              kind == Kind::server_closes_idle || kind == Kind::server_resets_idle ||
                              kind == Kind::server_forgets_idle ||
                              (kind >= Kind::discovery_down && kind <= Kind::discovery_late) ||
                              range.at == At::clients;
  if (may_strike_all && between(0, 1) < kAll) trouble.target = -1;
  // Half of the clocks step by seconds, the others by up to an hour.
  if (kind == Kind::wall_step && between(0, 1) < 0.5) trouble.size /= 600;
  return trouble;
}

}  // namespace

std::string_view name_of(Kind kind) { return range_of(kind).name; }

Plan random_plan(std::uint64_t seed, Seconds seconds, int processes) {
  constexpr Seconds kQuietEnd = 3;  // what is open then has its time
  Plan plan{.seed = seed, .seconds = seconds, .processes = processes};
  std::mt19937_64 chance(seed);
  std::uniform_real_distribution<> roll(0, 1);
  const double longest_quiet = seconds / 4;
  // Some machines' clocks differ from discovery's from the beginning.
  constexpr double kClocksDiffer = 0.4;
  if (roll(chance) < kClocksDiffer)
    plan.troubles.push_back({.kind = Kind::wall_step,
                             .at = -1,
                             .target = static_cast<int>(processes * roll(chance)),
                             .size = 7200 * (roll(chance) - 0.5)});
  for (Seconds at = 0.5 + roll(chance); at < seconds - kQuietEnd;) {
    // Each router sees several of these; at the same moment, or within a second of each other.
    const int together = 2 + static_cast<int>(3 * roll(chance)) + processes / 8;
    const int router = static_cast<int>(processes * roll(chance));
    // What else may happen to a process while it ends.
    if (roll(chance) < 0.2) {
      constexpr Seconds kEnds = 1;
      for (const auto kind : {Kind::terminate, Kind::terminate, Kind::reload, Kind::stall})
        plan.troubles.push_back({.kind = kind,
                                 .at = at + kEnds * roll(chance),
                                 .lasts = kind == Kind::stall ? 0.3 : 0,
                                 .target = router});
    }
    for (int n = 0; n < together; ++n) {
      auto trouble = draw(chance, plan, at + (roll(chance) < 0.5 ? 0 : roll(chance)));
      // Half of them meet at one router.
      if (range_of(trouble.kind).at != At::server && trouble.target >= 0 && roll(chance) < 0.5)
        trouble.target = router;
      plan.troubles.push_back(trouble);
    }
    at += roll(chance) < 0.15 ? longest_quiet * roll(chance) : 0.3 + 1.2 * roll(chance);
  }
  std::ranges::stable_sort(plan.troubles, {}, &Trouble::at);
  return plan;
}

Plan read_plan(const std::string& path) {
  cfg_opt_t trouble_options[] = {CFG_STR("kind", nullptr, CFGF_NONE), CFG_FLOAT("at", 0, CFGF_NONE),
                                 CFG_FLOAT("lasts", 0, CFGF_NONE),    CFG_INT("target", 0, CFGF_NONE),
                                 CFG_FLOAT("size", 0, CFGF_NONE),     CFG_END()};
  cfg_opt_t options[] = {CFG_INT("seed", 1, CFGF_NONE),
                         CFG_FLOAT("seconds", 20, CFGF_NONE),
                         CFG_INT("processes", 12, CFGF_NONE),
                         CFG_INT("servers", 8, CFGF_NONE),
                         CFG_INT("parents", 2, CFGF_NONE),
                         CFG_FLOAT("rate", 25, CFGF_NONE),
                         CFG_INT("most_connections", 0, CFGF_NONE),
                         CFG_INT("most_refused", 0, CFGF_NONE),
                         CFG_SEC("trouble", trouble_options, CFGF_MULTI),
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
            .most_refused = static_cast<int>(all.integer("most_refused")),
            .most_connections = static_cast<int>(all.integer("most_connections"))};
  constexpr int kMostProcesses = 60, kMostServers = 200;
  if (plan.processes < 1 || plan.processes > kMostProcesses || plan.servers < 1 ||
      plan.servers > kMostServers || plan.parents < 0 || plan.seconds <= 0 || plan.rate <= 0)
    throw InputError(path + ": processes, servers, seconds or rate are out of range");
  for (const auto& section : all.sections("trouble")) {
    const auto name = section.text("kind");
    const auto* range = std::ranges::find(kRanges, std::string_view(name), &Range::name);
    if (range == std::end(kRanges)) section.refuse(fmt::format("no trouble '{}'", name), "kind");
    plan.troubles.push_back({.kind = static_cast<Kind>(range - std::begin(kRanges)),
                             .at = section.number("at"),
                             .lasts = section.number("lasts"),
                             .target = static_cast<int>(section.integer("target")),
                             .size = section.number("size")});
  }
  std::ranges::stable_sort(plan.troubles, {}, &Trouble::at);
  return plan;
}

std::string text_of(const Plan& plan) {
  std::string text =
      fmt::format("seed = {}\nseconds = {}\nprocesses = {}\nservers = {}\nparents = {}\nrate = {}\n",
                  plan.seed, plan.seconds, plan.processes, plan.servers, plan.parents, plan.rate);
  for (const auto& t : plan.troubles)
    text += fmt::format(
        "trouble {{\n  kind = \"{}\"\n  at = {:.3f}\n  lasts = {:.3f}\n  target = {}\n  size = {:.4f}\n}}\n",
        name_of(t.kind), t.at, t.lasts, t.target, t.size);
  return text;
}

}  // namespace walkpaddle::soak
