#include "soak/soak.h"

#include <fmt/core.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <set>

#include "soak/clients.h"
#include "soak/discovery.h"
#include "soak/endpoint.h"
#include "soak/process.h"

namespace walkpaddle::soak {

namespace {

constexpr std::size_t kOutboxBytes = 256 << 20;
constexpr int kObjects = 200;

std::string settings_text(const Plan& plan, const Rules& rules) {
  const int fleet = plan.fleet > 0 ? plan.fleet : plan.processes;
  const auto ms = [](Seconds time) { return static_cast<int>(time * 1e3); };
  return fmt::format(
      R"({{"allowed":{{"cancel":true,"dial_timeout":1000,"idle_close":8000,"max_attempts":4,"max_retry_after":500,
"retry_after":true,"streams_per_conn":16}},"categories":[
{{"name":"page","aim":300,"aim_stretch":2,"deadline":2000,"effect":"free","gain":1}},
{{"name":"form","aim":500,"deadline":3000,"effect":"guarded","group":"all","window":{},"gain":2}},
{{"name":"order","aim":500,"deadline":3000,"effect":"single_shot","gain":3}}],
"failure_domains":["hub","edge"],"models":["cache","parent","origin"],"fleet_size":{},"locality":1,
"rules":{{"cold_from":{},"fall_multiple":{},"warm_after":{},"overload_for":{},"drain_grace":{}}},
"specifics":{{"class_fresh":[0,0,0],"client_kb_per_s":6000,"direct":true,"in_parts":[false,false,false],
"merges_fills":true,"notes_given":"all","origin_kind":2,"second_tier_kind":1,"pass_on":[false,true,true],
"peers_fill":"none","purge_settles":6000,"notice_time":{},"seats_by_zone":[0,{}],"upper_cold_from":{},
"upper_fall_multiple":{},"parent_warms_in":{}}},"tick":1}})",
      ms(rules.window), fleet, rules.cold_from, rules.cold_multiple, ms(rules.warm_after),
      ms(rules.cold_window), ms(rules.drain_grace), ms(rules.purge_grace), fleet, rules.cold_from,
      rules.cold_multiple, ms(rules.warm_after));
}

// Everything of one soak, in one thread.
class World {
 public:
  World(const Plan& plan, const Programs& programs)
      : plan_(plan),
        programs_(programs),
        rules_{.capacity = 1.3 * plan.rate * plan.processes / plan.servers},
        outbox_(scheduler_, kOutboxBytes),
        began_(real_now()),
        oracle_(rules_, began_),
        discovery_(scheduler_, outbox_, oracle_, purges_, plan.processes, ports_, seed(1)),
        chance_(plan.seed) {
    make_servers();
    for (int n = 0; n < plan_.processes; ++n) {
      processes_.push_back(std::make_unique<Process>(
          oracle_, Process::Setup{.program = programs_.router,
                                  .shim = programs_.shim,
                                  .folder = fmt::format("{}/r{}", programs_.folder, n),
                                  .name = fmt::format("r{}", n),
                                  .number = n,
                                  .port = ports_.take(),
                                  .sockets = plan_.sockets}));
      clients_.push_back(std::make_unique<Clients>(
          scheduler_, outbox_, oracle_, *processes_.back(),
          Clients::Setup{.rate = plan_.rate, .seed = seed(1000 + n), .objects = kObjects}));
    }
  }
  ~World() { scheduler_.drop_tasks(); }

  Result run() {
    for (const auto& t : plan_.troubles)
      if (t.at >= 0)
        scheduler_.start(strike_later(t));
      else
        strike(t);  // it stands from before the start
    for (int n = 0; n < plan_.processes; ++n) begin(n);
    for (auto& c : clients_) c->start();
    scheduler_.start(watch_lag());
    scheduler_.start(supervise());
    scheduler_.start(purge_now_and_then());
    scheduler_.start(end());
    scheduler_.run();
    std::uint64_t connections = 0;
    for (const auto& s : servers_) connections += s->accepted();
    if (plan_.most_connections > 0 && connections > static_cast<std::uint64_t>(plan_.most_connections))
      oracle_.violated(Invariant::connections_bounded, -1, 0,
                       fmt::format("{} connections to servers", connections));
    const auto refused = oracle_.counts().refused;
    if (plan_.most_refused > 0 && refused > static_cast<std::uint64_t>(plan_.most_refused))
      oracle_.violated(Invariant::refused_bounded, -1, 0, fmt::format("{} requests refused", refused));
    for (const auto& p : processes_) read_guard(*p);
    oracle_.finish();
    Result result{.violations = oracle_.violations(),
                  .traces = {},
                  .counts = oracle_.counts(),
                  .worst_lag = oracle_.worst_lag(),
                  .connections = connections,
                  .took = oracle_.took()};
    for (const auto& p : processes_) {
      result.cpu += p->cpu();
      result.memory_mb = std::max(result.memory_mb, p->memory_mb());
    }
    for (const auto& v : result.violations) result.traces.push_back(trace_of(v));
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
    for (auto& s : servers_) s->know_all(servers_);
    lifecycle_until_.resize(servers_.size());
  }

  std::string config(int n) {
    auto& p = *processes_[static_cast<std::size_t>(n)];
    return fmt::format(
        R"({{"name":"r{}","seed":"{:x}","listen":"127.0.0.1:{}","bus":"127.0.0.1:{}","known":{},)"
        R"("limits":{{"sockets":{},"memory_mb":48}},"settings":{}}})",
        n, plan_.seed * 100 + static_cast<unsigned>(n), p.port(), discovery_.port(n),
        discovery_.known(n, p.start_count() + 1, servers_), plan_.sockets, settings_text(plan_, rules_));
  }

  void begin(int n) { processes_[static_cast<std::size_t>(n)]->begin(config(n)); }

  // How late this thread runs what is due: all that it sees may be as late.
  Task watch_lag() {
    constexpr Seconds kBeat = 0.005;
    Event beat(scheduler_);
    for (;;) {
      const Seconds due = real_now() + kBeat;
      co_await beat.wait(scheduler_.now() + kBeat);
      oracle_.lagged(std::max(0.0, real_now() - due));
    }
  }

  // What a machine's own keeper does: who ended is started again.
  Task supervise() {
    constexpr Seconds kLook = 0.02;
    Event pause(scheduler_);
    for (int looks = 0;; ++looks) {
      co_await pause.wait(scheduler_.now() + kLook);
      for (int n = 0; n < plan_.processes; ++n) {
        auto& p = *processes_[static_cast<std::size_t>(n)];
        p.ended();
        if (p.phase() == Process::Phase::down && !over_ && real_now() > p.ended_at() + 0.3) begin(n);
        if (looks % 25 == 0) p.check_limits();
      }
    }
  }

  Task purge_now_and_then() {
    Event pause(scheduler_);
    std::uniform_real_distribution<> roll(0, 1);
    while (!over_) {
      co_await pause.wait(scheduler_.now() + 0.3 + roll(chance_));
      const auto item = Clients::item(static_cast<int>(kObjects * roll(chance_) * roll(chance_)));
      discovery_.purge(roll(chance_) < 0.85 ? item : "", Clients::group(item));
    }
  }

  Task strike_later(Trouble t) {
    Event wait(scheduler_);
    co_await wait.wait(started_ + t.at);
    strike(t);
  }

  void strike(const Trouble& t) {
    const Seconds until = scheduler_.now() + t.lasts;
    if (t.kind >= Kind::clients_leave) {
      for (int n = 0; n < plan_.processes; ++n)
        if (t.target < 0 || t.target == n) clients_[static_cast<std::size_t>(n)]->trouble(t, until);
    } else if (t.kind >= Kind::discovery_down) {
      discovery_.trouble(t, until);
    } else if (t.kind >= Kind::server_hangs) {
      for (int n = 0; n < static_cast<int>(servers_.size()); ++n)
        if (t.target < 0 || t.target == n) scheduler_.start(strike_server(n, t, until));
    } else {
      for (int n = 0; n < plan_.processes; ++n)
        if (t.target < 0 || t.target == n) scheduler_.start(strike_router(n, t, until));
    }
  }

  Task strike_server(int n, Trouble t, Seconds until) {
    using fakes::AnnouncedState;
    auto& s = *servers_[static_cast<std::size_t>(n)];
    const bool lifecycle =
        t.kind == Kind::server_crashes || t.kind == Kind::server_drains || t.kind == Kind::server_replaced;
    if (!lifecycle) {
      s.trouble(t, until);
      co_return;
    }
    auto& busy_until = lifecycle_until_[static_cast<std::size_t>(n)];
    if (scheduler_.now() < busy_until || s.role() == Endpoint::Role::origin) co_return;
    constexpr Seconds kNoticed = 0.3;
    busy_until = until + kNoticed;
    Event wait(scheduler_);
    if (t.kind == Kind::server_drains) {
      discovery_.member(s, AnnouncedState::draining);
      co_await wait.wait(until);
      discovery_.member(s, AnnouncedState::ready);
      co_return;
    }
    if (t.kind == Kind::server_replaced) {
      discovery_.member(s, AnnouncedState::gone);
      co_await wait.wait(until);
      s.crash();
    } else {
      s.crash();
      co_await wait.wait(std::min(until, scheduler_.now() + kNoticed));
      if (scheduler_.now() < until) discovery_.member(s, AnnouncedState::gone);
      co_await wait.wait(until);
    }
    s.start_cold();
    oracle_.server_started(n, s.started());
    discovery_.member(s, AnnouncedState::ready);
  }

  static Call call_of(Kind kind) {
    constexpr int kFirst = static_cast<int>(Kind::recv_interrupted);
    return static_cast<Call>(static_cast<int>(kind) - kFirst);
  }

  Task strike_router(int n, Trouble t, Seconds until) {
    auto& p = *processes_[static_cast<std::size_t>(n)];
    Event wait(scheduler_);
    switch (t.kind) {
      case Kind::terminate:
        p.terminate();
        break;
      case Kind::kill:
        p.kill();
        break;
      case Kind::stall:
        p.stop();
        co_await wait.wait(until);
        p.go_on();
        break;
      case Kind::reload:
        discovery_.move(n);
        p.configure(config_for_reload(n));
        p.hang_up();
        break;
      case Kind::wall_step:
        p.faults().wall_offset_ns += static_cast<std::int64_t>(t.size * 1e9);
        break;
      default: {
        auto& each = p.faults().fails_each[static_cast<std::size_t>(call_of(t.kind))];
        each = static_cast<std::uint32_t>(t.size);
        const bool breaks = t.kind == Kind::recv_timed_out || t.kind == Kind::accept_failed;
        if (breaks) p.breaks_connections_until(real_now() + t.lasts + 0.5);
        co_await wait.wait(until);
        each = 0;
      }
    }
  }

  // The events that the running process holds; only where discovery is differs.
  std::string config_for_reload(int n) {
    auto& p = *processes_[static_cast<std::size_t>(n)];
    return fmt::format(
        R"({{"name":"r{}","seed":"1","listen":"127.0.0.1:{}","bus":"127.0.0.1:{}","known":{{"offset":1,"batch":[]}},)"
        R"("limits":{{"sockets":{},"memory_mb":48}},"settings":{}}})",
        n, p.port(), discovery_.port(n), plan_.sockets, settings_text(plan_, rules_));
  }

  Task end() {
    constexpr Seconds kLast = 4;  // the longest limit, and a second
    Event wait(scheduler_);
    co_await wait.wait(started_ + plan_.seconds);
    over_ = true;
    for (auto& c : clients_) c->finish();
    const Seconds until = scheduler_.now() + kLast;
    const auto open = [&] {
      return std::ranges::any_of(clients_, [](const auto& c) { return c->open() > 0; });
    };
    while (open() && scheduler_.now() < until) co_await wait.wait(scheduler_.now() + 0.05);
    scheduler_.stop();
  }

  // What the router's own guard refused, by its log.
  void read_guard(const Process& p) {
    std::ifstream log(p.log_path());
    const std::string mark = " guard: ";
    for (std::string line; std::getline(log, line);)
      if (const auto at = line.find(mark); at != std::string::npos)
        oracle_.violated(Invariant::guard, p.number(),
                         std::stoull(line.substr(at + mark.size(), 16), nullptr, 16),
                         line.substr(at + mark.size()));
  }

  // The last lines of the router's log that name the request, or its last lines.
  std::string trace_of(const Violation& v) const {
    constexpr std::size_t kMost = 12;
    if (v.router < 0) return "";
    std::ifstream log(processes_[static_cast<std::size_t>(v.router)]->log_path());
    const auto id = fmt::format("{:016x}", v.request);
    std::vector<std::string> lines, last;
    for (std::string line; std::getline(log, line);) {
      if (v.request != 0 && line.find(id) != std::string::npos) lines.push_back(line);
      last.push_back(line);
      if (last.size() > kMost) last.erase(last.begin());
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
  std::mt19937_64 chance_;
  std::vector<std::unique_ptr<Endpoint>> servers_;
  std::vector<Seconds> lifecycle_until_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<std::unique_ptr<Clients>> clients_;
  bool over_ = false;
};

std::set<Invariant> broken_by(const Result& result) {
  std::set<Invariant> all;
  for (const auto& v : result.violations) all.insert(v.invariant);
  return all;
}

}  // namespace

Result play(const Plan& plan, const Programs& programs) {
  std::filesystem::remove_all(programs.folder);
  std::filesystem::create_directories(programs.folder);
  World world(plan, programs);
  return world.run();
}

Plan reduce(const Plan& plan, const Programs& programs, int plays) {
  Plan least = plan;
  const auto broken = broken_by(play(plan, programs));
  const auto still_fails = [&](const Plan& candidate) {
    --plays;
    const auto now = broken_by(play(candidate, programs));
    return std::ranges::any_of(broken, [&](Invariant i) { return now.contains(i); });
  };
  for (auto part = least.troubles.size() / 2; part >= 1 && plays > 0; part /= 2) {
    for (std::size_t at = 0; at < least.troubles.size() && plays > 0;) {
      auto candidate = least;
      const auto first = candidate.troubles.begin() + static_cast<std::ptrdiff_t>(at);
      const auto size = std::min(part, candidate.troubles.size() - at);
      candidate.troubles.erase(first, first + static_cast<std::ptrdiff_t>(size));
      if (still_fails(candidate))
        least = candidate;
      else
        at += part;
    }
  }
  return least;
}

}  // namespace walkpaddle::soak
