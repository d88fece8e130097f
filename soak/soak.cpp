#include "soak/soak.h"

#include <fmt/core.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <set>

#include "soak/clients.h"
#include "soak/crowd.h"
#include "soak/discovery.h"
#include "soak/endpoint.h"
#include "soak/process.h"

namespace walkpaddle::soak {

namespace {

constexpr std::size_t kOutboxBytes = 256 << 20;
constexpr int kObjects = 200;

std::string settings_text(const Plan& plan, const Rules& rules) {
  const int fleet_size = plan.fleet_size > 0 ? plan.fleet_size : plan.processes;
  const auto ms = [](Seconds time) { return static_cast<int>(time * 1e3); };
  const Seconds shorter = kShorterDeadline * plan.deadline_share;
  const Seconds longer = kLongerDeadline * plan.deadline_share;
  return fmt::format(
      R"({{"allowed":{{"cancel":true,"dial_timeout":1000,"idle_close":8000,"max_attempts":4,"max_retry_after":500,
"retry_after":true,"streams_per_conn":16}},"categories":[
{{"name":"page","aim":{},"aim_stretch":2,"deadline":{},"effect":"free","gain":1}},
{{"name":"form","aim":{},"deadline":{},"effect":"guarded","group":"all","window":{},"gain":2}},
{{"name":"order","aim":{},"deadline":{},"effect":"single_shot","gain":3}}],
"failure_domains":["hub","edge"],"models":["cache","parent","origin"],"fleet_size":{},"locality":1,
"rules":{{"cold_from":{},"fall_multiple":{},"warm_after":{},"overload_for":{},"drain_grace":{}}},
"specifics":{{"class_fresh":[0,0,0],"client_kb_per_s":6000,"direct":true,"in_parts":[false,false,false],
"merges_fills":true,"notes_given":"all","origin_kind":2,"second_tier_kind":1,"pass_on":[false,true,true],
"peers_fill":"none","purge_settles":6000,"notice_time":{},"seats_by_zone":[0,{}],"upper_cold_from":{},
"upper_fall_multiple":{},"parent_warms_in":{}}},"tick":1}})",
      ms(std::min(0.3, shorter)), ms(shorter), ms(std::min(0.5, longer)), ms(longer), ms(rules.window),
      ms(std::min(0.5, longer)), ms(longer), fleet_size, rules.cold_from, rules.cold_multiple,
      ms(rules.warm_after), ms(rules.cold_window), ms(rules.drain_grace), ms(rules.purge_grace), fleet_size,
      rules.cold_from, rules.cold_multiple, ms(rules.warm_after));
}

// One soak run; everything except the router processes runs in one thread.
class Soak {
 public:
  Soak(const Plan& plan, const Programs& programs)
      : plan_(plan),
        programs_(programs),
        rules_{.capacity = 1.3 * plan.rate * plan.processes / plan.servers},
        outbox_(scheduler_, kOutboxBytes),
        began_(unix_now()),
        oracle_(rules_, began_),
        discovery_(scheduler_, outbox_, oracle_, purges_, plan.processes, ports_, seed(1)),
        random_(plan.seed) {
    make_servers();
    for (int n = 0; n < plan_.processes; ++n) {
      processes_.push_back(std::make_unique<Process>(
          oracle_, Process::Setup{.program = programs_.router,
                                  .shim = programs_.shim,
                                  .folder = fmt::format("{}/r{}", programs_.folder, n),
                                  .name = fmt::format("r{}", n),
                                  .number = n,
                                  .port = ports_.take(),
                                  .max_descriptors = plan_.max_descriptors,
                                  .max_memory_mb = static_cast<double>(plan_.memory_mb),
                                  .longest_deadline = kLongerDeadline * plan_.deadline_share}));
      clients_.push_back(std::make_unique<Clients>(scheduler_, outbox_, oracle_, *processes_.back(),
                                                   Clients::Setup{.rate = plan_.rate,
                                                                  .seed = seed(1000 + n),
                                                                  .objects = kObjects,
                                                                  .limit_share = plan_.deadline_share}));
      crowds_.push_back(std::make_unique<Crowd>(scheduler_, outbox_, *processes_.back(), seed(3000 + n)));
    }
  }
  ~Soak() { scheduler_.drop_tasks(); }

  Result run() {
    for (const auto& t : plan_.faults)
      if (t.at >= 0)
        scheduler_.start(inject_later(t));
      else
        inject(t);  // a negative time: from before the routers start
    for (int n = 0; n < plan_.processes; ++n) start_router(n);
    for (auto& c : clients_) c->start();
    scheduler_.start(measure_loop_lag());
    scheduler_.start(supervise());
    scheduler_.start(publish_purges());
    scheduler_.start(end());
    scheduler_.run();
    std::uint64_t connections = 0;
    for (const auto& s : servers_) connections += s->accepted();
    if (plan_.max_connections > 0 && connections > static_cast<std::uint64_t>(plan_.max_connections))
      oracle_.report_violation(Invariant::connections_bounded, -1, 0,
                               fmt::format("{} connections to servers", connections));
    const auto refused = oracle_.counts().rejected;
    if (plan_.max_rejected > 0 && refused > static_cast<std::uint64_t>(plan_.max_rejected))
      oracle_.report_violation(Invariant::refused_bounded, -1, 0,
                               fmt::format("{} requests rejected", refused));
    for (const auto& p : processes_) report_guard_refusals(*p);
    oracle_.finish();
    Result result{.violations = oracle_.violations(),
                  .traces = {},
                  .counts = oracle_.counts(),
                  .worst_lag = oracle_.worst_lag(),
                  .connections = connections,
                  .latencies = oracle_.latencies()};
    for (const auto& p : processes_) {
      result.cpu_seconds += p->cpu_seconds();
      result.memory_mb = std::max(result.memory_mb, p->memory_mb());
    }
    for (const auto& v : result.violations) result.traces.push_back(log_excerpt(v));
    return result;
  }

 private:
  unsigned seed(int offset) const {
    return static_cast<unsigned>(plan_.seed * 7919 + static_cast<unsigned>(offset));
  }

  void make_servers() {
    const int all = plan_.servers + plan_.parents + 1;
    for (int n = 0; n < all; ++n) {
      const auto role = n < plan_.servers ? Endpoint::Role::cache
                        : n < all - 1     ? Endpoint::Role::parent
                                          : Endpoint::Role::origin;
      servers_.push_back(std::make_unique<Endpoint>(
          scheduler_, outbox_, oracle_, purges_,
          Endpoint::Setup{.number = n, .role = role, .port = ports_.take(), .seed = seed(2000 + n)}));
    }
    for (auto& s : servers_) s->set_endpoints(servers_);
    lifecycle_busy_until_.resize(servers_.size());
  }

  std::string config(int n) {
    auto& p = *processes_[static_cast<std::size_t>(n)];
    return fmt::format(
        R"({{"name":"r{}","seed":"{:x}","listen":"127.0.0.1:{}","bus":"127.0.0.1:{}","known":{},)"
        R"("limits":{{"sockets":{},"memory_mb":{}}},"settings":{}}})",
        n, plan_.seed * 100 + static_cast<unsigned>(n), p.port(), discovery_.port(n),
        discovery_.initial_state(n, p.start_count() + 1, servers_), plan_.max_descriptors, plan_.memory_mb,
        settings_text(plan_, rules_));
  }

  void start_router(int n) { processes_[static_cast<std::size_t>(n)]->start(config(n)); }

  // Measures how late this thread runs scheduled tasks; its observations may be equally late.
  Task measure_loop_lag() {
    constexpr Seconds kLagInterval = 0.005;
    Event pause(scheduler_);
    for (;;) {
      const Seconds due = unix_now() + kLagInterval;
      co_await pause.wait(scheduler_.now() + kLagInterval);
      oracle_.record_loop_lag(std::max(0.0, unix_now() - due));
    }
  }

  // Restarts routers that ended, as a machine's process supervisor does.
  Task supervise() {
    constexpr Seconds kPollInterval = 0.02;
    Event pause(scheduler_);
    for (int looks = 0;; ++looks) {
      co_await pause.wait(scheduler_.now() + kPollInterval);
      for (int n = 0; n < plan_.processes; ++n) {
        auto& p = *processes_[static_cast<std::size_t>(n)];
        p.poll_exit();
        if (p.phase() == Process::Phase::down && !finished_ && unix_now() > p.ended_at() + 0.3)
          start_router(n);
        if (looks % 25 == 0) p.check_limits();
      }
    }
  }

  Task publish_purges() {
    Event pause(scheduler_);
    std::uniform_real_distribution<> uniform(0, 1);
    while (!finished_) {
      co_await pause.wait(scheduler_.now() + 0.3 + uniform(random_));
      const auto item = Clients::item(static_cast<int>(kObjects * uniform(random_) * uniform(random_)));
      discovery_.publish_purge(uniform(random_) < 0.85 ? item : "", Clients::group(item));
    }
  }

  Task inject_later(Fault t) {
    Event wait(scheduler_);
    co_await wait.wait(started_ + t.at);
    inject(t);
  }

  void inject(const Fault& t) {
    const Seconds until = scheduler_.now() + t.duration;
    if (t.kind >= FaultKind::crowd_unfinished) {
      for (int n = 0; n < plan_.processes; ++n)
        if (t.target < 0 || t.target == n) crowds_[static_cast<std::size_t>(n)]->inject(t, until);
    } else if (t.kind >= FaultKind::clients_leave) {
      for (int n = 0; n < plan_.processes; ++n)
        if (t.target < 0 || t.target == n) clients_[static_cast<std::size_t>(n)]->inject(t, until);
    } else if (t.kind >= FaultKind::discovery_down) {
      discovery_.inject(t, until);
    } else if (t.kind >= FaultKind::server_hangs) {
      for (int n = 0; n < static_cast<int>(servers_.size()); ++n)
        if (t.target < 0 || t.target == n) scheduler_.start(inject_at_server(n, t, until));
    } else {
      for (int n = 0; n < plan_.processes; ++n)
        if (t.target < 0 || t.target == n) scheduler_.start(inject_at_router(n, t, until));
    }
  }

  Task inject_at_server(int n, Fault t, Seconds until) {
    using fakes::AnnouncedState;
    auto& s = *servers_[static_cast<std::size_t>(n)];
    const bool lifecycle = t.kind == FaultKind::server_crashes || t.kind == FaultKind::server_drains ||
                           t.kind == FaultKind::server_replaced;
    if (!lifecycle) {
      s.inject(t, until);
      co_return;
    }
    auto& busy_until = lifecycle_busy_until_[static_cast<std::size_t>(n)];
    if (scheduler_.now() < busy_until || s.role() == Endpoint::Role::origin) co_return;
    constexpr Seconds kDetectionTime = 0.3;
    busy_until = until + kDetectionTime;
    Event wait(scheduler_);
    if (t.kind == FaultKind::server_drains) {
      discovery_.publish_endpoint(s, AnnouncedState::draining);
      co_await wait.wait(until);
      discovery_.publish_endpoint(s, AnnouncedState::ready);
      co_return;
    }
    if (t.kind == FaultKind::server_replaced) {
      discovery_.publish_endpoint(s, AnnouncedState::gone);
      co_await wait.wait(until);
      s.crash();
    } else {
      s.crash();
      co_await wait.wait(std::min(until, scheduler_.now() + kDetectionTime));
      if (scheduler_.now() < until) discovery_.publish_endpoint(s, AnnouncedState::gone);
      co_await wait.wait(until);
    }
    s.start_cold();
    oracle_.record_server_start(n, s.started());
    discovery_.publish_endpoint(s, AnnouncedState::ready);
  }

  static Call faulted_call(FaultKind kind) {
    constexpr int kFirst = static_cast<int>(FaultKind::recv_interrupted);
    return static_cast<Call>(static_cast<int>(kind) - kFirst);
  }

  Task inject_at_router(int n, Fault t, Seconds until) {
    auto& p = *processes_[static_cast<std::size_t>(n)];
    Event wait(scheduler_);
    switch (t.kind) {
      case FaultKind::terminate:
        p.terminate();
        break;
      case FaultKind::kill:
        p.kill();
        break;
      case FaultKind::stall:
        p.suspend();
        co_await wait.wait(until);
        p.resume();
        break;
      case FaultKind::reload:
        reload(n);
        break;
      case FaultKind::signal_series:
        while (scheduler_.now() < until) {
          send_signal(n);
          co_await wait.wait(scheduler_.now() + t.magnitude);
        }
        break;
      case FaultKind::wall_step:
        p.fault_control().wall_offset_ns += static_cast<std::int64_t>(t.magnitude * 1e9);
        break;
      default: {
        auto& each = p.fault_control().failure_interval[static_cast<std::size_t>(faulted_call(t.kind))];
        each = static_cast<std::uint32_t>(t.magnitude);
        const bool breaks = t.kind == FaultKind::recv_timed_out || t.kind == FaultKind::accept_failed;
        if (breaks) p.set_breaks_connections_until(unix_now() + t.duration + 0.5);
        co_await wait.wait(until);
        each = 0;
      }
    }
  }

  void reload(int n) {
    auto& p = *processes_[static_cast<std::size_t>(n)];
    discovery_.move_port(n);
    p.configure(config_for_reload(n));
    p.request_reload();
  }

  // One of the signals that the program handles.
  void send_signal(int n) {
    auto& p = *processes_[static_cast<std::size_t>(n)];
    switch (std::uniform_int_distribution<>(0, 3)(random_)) {
      case 0:
        return p.terminate();
      case 1:
        return p.terminate(SIGINT);
      default:
        return reload(n);
    }
  }

  // Configuration for a reload: only discovery's address differs for the running process.
  std::string config_for_reload(int n) {
    auto& p = *processes_[static_cast<std::size_t>(n)];
    return fmt::format(
        R"({{"name":"r{}","seed":"1","listen":"127.0.0.1:{}","bus":"127.0.0.1:{}","known":{{"offset":1,"batch":[]}},)"
        R"("limits":{{"sockets":{},"memory_mb":{}}},"settings":{}}})",
        n, p.port(), discovery_.port(n), plan_.max_descriptors, plan_.memory_mb,
        settings_text(plan_, rules_));
  }

  Task end() {
    constexpr Seconds kLastAnswers = kLongerDeadline + 1;
    Event wait(scheduler_);
    co_await wait.wait(started_ + plan_.seconds);
    finished_ = true;
    for (auto& c : clients_) c->finish();
    const Seconds until = scheduler_.now() + kLastAnswers;
    const auto open = [&] {
      return std::ranges::any_of(clients_, [](const auto& c) { return c->open() > 0; });
    };
    while (open() && scheduler_.now() < until) co_await wait.wait(scheduler_.now() + 0.05);
    scheduler_.stop();
  }

  // Reports the guard's refusals in the router's log as violations.
  void report_guard_refusals(const Process& p) {
    std::ifstream log(p.log_path());
    const std::string prefix = " guard: ";
    for (std::string line; std::getline(log, line);)
      if (const auto at = line.find(prefix); at != std::string::npos)
        oracle_.report_violation(Invariant::guard, p.number(),
                                 std::stoull(line.substr(at + prefix.size(), 16), nullptr, 16),
                                 line.substr(at + prefix.size()));
  }

  // Returns all lines of the router's log that contain the request's id, or else the last lines of the log.
  std::string log_excerpt(const Violation& v) const {
    constexpr std::size_t kMaxLines = 12;
    if (v.router < 0) return "";
    std::ifstream log(processes_[static_cast<std::size_t>(v.router)]->log_path());
    const auto id = fmt::format("{:016x}", v.request);
    std::vector<std::string> lines, last;
    for (std::string line; std::getline(log, line);) {
      if (v.request != 0 && line.find(id) != std::string::npos) lines.push_back(line);
      last.push_back(line);
      if (last.size() > kMaxLines) last.erase(last.begin());
    }
    std::string text;
    for (const auto& line : lines.empty() ? last : lines) text += "      " + line + "\n";
    return text;
  }

  const Plan plan_;
  const Programs programs_;
  const Rules rules_;
  fakes::Ports ports_;
  Scheduler scheduler_;
  Outbox outbox_;
  const Seconds began_, started_ = scheduler_.now() + 0.5;
  Oracle oracle_;
  PurgeHistory purges_;
  Discovery discovery_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Endpoint>> servers_;
  std::vector<Seconds> lifecycle_busy_until_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<std::unique_ptr<Clients>> clients_;
  std::vector<std::unique_ptr<Crowd>> crowds_;
  bool finished_ = false;
};

std::set<Invariant> broken_invariants(const Result& result) {
  std::set<Invariant> all;
  for (const auto& v : result.violations) all.insert(v.invariant);
  return all;
}

}  // namespace

Result run_plan(const Plan& plan, const Programs& programs) {
  std::filesystem::remove_all(programs.folder);
  std::filesystem::create_directories(programs.folder);
  Soak soak_run(plan, programs);
  return soak_run.run();
}

Plan minimize_plan(const Plan& plan, const Programs& programs, int max_runs) {
  Plan least = plan;
  const auto broken = broken_invariants(run_plan(plan, programs));
  const auto still_fails = [&](const Plan& candidate) {
    --max_runs;
    const auto now = broken_invariants(run_plan(candidate, programs));
    return std::ranges::any_of(broken, [&](Invariant i) { return now.contains(i); });
  };
  for (auto part = least.faults.size() / 2; part >= 1 && max_runs > 0; part /= 2) {
    for (std::size_t at = 0; at < least.faults.size() && max_runs > 0;) {
      auto candidate = least;
      const auto first = candidate.faults.begin() + static_cast<std::ptrdiff_t>(at);
      const auto size = std::min(part, candidate.faults.size() - at);
      candidate.faults.erase(first, first + static_cast<std::ptrdiff_t>(size));
      if (still_fails(candidate))
        least = candidate;
      else
        at += part;
    }
  }
  return least;
}

}  // namespace walkpaddle::soak
