#include "control/operators.h"

#include <fmt/core.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <nlohmann/json.hpp>
#include <system_error>

#include "base/text.h"
#include "config/settings.h"

namespace walkpaddle::control {

using nlohmann::json;

namespace {

// A purge's number as every router understands it.
std::string issuer_text(const purge::Stamp& s) { return fmt::format("{:016x}:{}", s.issuer, s.number); }

json refused(const std::string& why) { return {{"ok", false}, {"why", why}}; }

}  // namespace

Operators::Operators(Scheduler& scheduler, Outbox& outbox, Log& log, fleet::Purges& purges, std::string path,
                     Names names, const fleet::Share* share)
    : scheduler_(scheduler),
      outbox_(outbox),
      log_(log),
      purges_(purges),
      path_(std::move(path)),
      names_(std::move(names)),
      share_(share),
      listener_(scheduler, listen_on(path_)) {
  scheduler_.start(accept_all());
}

Operators::~Operators() { ::unlink(path_.c_str()); }

Task Operators::accept_all() {
  constexpr std::size_t kMost = 8;  // operators at once; another is closed unheard
  constexpr Seconds kPause = 0.1;
  while (listener_.open()) {
    Fd fd = listener_.accept();
    if (fd) {
      if (sessions_ < kMost) scheduler_.start(session(std::move(fd)));
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED) continue;
    const Seconds until = errno == EAGAIN ? kNoTime : scheduler_.now() + kPause;
    co_await listener_.came.wait(until);
  }
}

Task Operators::session(Fd fd) {
  constexpr std::size_t kLongestLine = 4096;
  constexpr Seconds kIdle = 60;
  struct Count {
    std::size_t& count;
    ~Count() { --count; }
  } count{++sessions_};
  Stream stream(scheduler_, outbox_, std::move(fd));
  for (;;) {
    const auto came = stream.read();
    if (came == Stream::Came::end) break;
    if (came == Stream::Came::bytes) {
      for (std::size_t at; (at = stream.in().find('\n')) != std::string_view::npos; stream.consume(at + 1))
        stream.write(answer(std::string(stream.in().substr(0, at))) + "\n");
      if (stream.in().size() > kLongestLine) break;
      continue;
    }
    const bool told = co_await stream.readable(scheduler_.now() + kIdle);
    if (!told) break;
  }
}

std::string Operators::number_text(const purge::Stamp& s) const {
  if (s.issuer == purges_.setup().self) return names_.self + ":" + std::to_string(s.number);
  return issuer_text(s);
}

const purge::Entry* Operators::entry_of(const std::string& number) const {
  auto rest = std::string_view(number);
  auto issuer = purges_.setup().self;
  if (number.find(':') != std::string::npos)
    if (const auto who = take_field(rest, ':'); who != names_.self)
      issuer = parse<std::uint64_t>(who, "issuer", 16);
  return purges_.book().find(issuer, parse<std::uint64_t>(rest, "number of a purge"));
}

// Who is of the fleet, and what it knows of the cache servers that a list may not tell: from whom, how old.
std::string Operators::fleet_answer() const {
  constexpr std::string_view kHealths[] = {"ready", "slow", "cold", "draining", "gone"};
  constexpr std::size_t kMostFacts = 500;  // of a reply; the count tells that there are more
  const Seconds now = scheduler_.now();
  const auto& share = *share_;
  json members = json::array(), facts = json::array();
  const auto& peers = share.members().peers();
  for (std::size_t p = 0; p < peers.size(); ++p)
    members.push_back({{"name", names_.peers[p]},
                       {"state", fleet::Members::kNames[static_cast<int>(peers[p].state)]},
                       {"for_s", now - peers[p].since},
                       {"heard_s_ago", peers[p].heard > 0 ? json(now - peers[p].heard) : json(nullptr)}});
  std::map<std::uint64_t, std::string> servers;
  for (int b = 0; b < names_.boxes(); ++b) servers[stable_hash(names_.box(b))] = names_.box(b);
  const auto all = share.watch().facts().all();
  for (const auto& f : all) {
    if (facts.size() >= kMostFacts) break;
    const auto known = servers.find(f.server);
    facts.push_back({{"server", known == servers.end() ? fmt::format("{:016x}", f.server) : known->second},
                     {"state", kHealths[static_cast<int>(f.health)]},
                     {"by", share.name_of(f.observer)},
                     {"ago_s", now - f.seen.seconds()}});
  }
  json changes = json::array(), windows = json::array();
  if (const auto* c = share.changes(); c != nullptr) {
    for (const auto& s : c->rollout().status(now))
      changes.push_back({{"name", s.plan.name},
                         {"from", s.plan.before},
                         {"to", s.plan.after},
                         {"by", s.plan.author},
                         {"state", s.stopped      ? "STOPPED"
                                   : s.done       ? "done"
                                   : s.stage == 0 ? "proposed"
                                                  : "under way"},
                         {"stage", s.stage},
                         {"stages", s.stages},
                         {"through", s.turns},
                         {"routers", s.fleet},
                         {"drives", s.drives},
                         {"txns_old", s.control_requests},
                         {"txns_new", s.canary_requests},
                         {"why", s.why}});
    for (const auto& w : c->calendar().status())
      windows.push_back({{"name", w.window.name},
                         {"version", w.window.version},
                         {"zone", w.window.zone},
                         {"from", freeze::to_string(w.window.from)},
                         {"until", freeze::to_string(w.window.until)},
                         {"by", w.window.author},
                         {"withdrawn", w.withdrawn},
                         {"withdrawn_by", w.withdrawn_by}});
  }
  json counters = json::object();
  for (const auto& [name, count] : names_.counts()) counters[name] = count;
  const auto& counts = share.counts();
  const Seconds up = std::max(1e-3, now - share.started());
  return json{
      {"ok", true},
      {"name", names_.self},
      {"alive", share.members().alive()},
      {"others", peers.size()},
      {"catching_up", share.gossip().catching_up()},
      {"local_trouble", share.members().ill()},
      {"suspected_here", share.members().suspicions()},
      {"refuted", share.members().refuted()},
      {"members", members},
      {"generation", share.changes() != nullptr ? json(share.changes()->rollout().running()) : json(nullptr)},
      {"fleets_generation",
       share.changes() != nullptr ? json(share.changes()->rollout().fleet_generation()) : json(nullptr)},
      {"calendar", share.changes() != nullptr
                       ? json(share.changes()->calendar().why_not_current(now).value_or(""))
                       : json(nullptr)},
      {"changes", changes},
      {"windows", windows},
      {"facts_held", all.size()},
      {"facts_heard", share.gossip().facts_heard()},
      {"facts", facts},
      {"counters", counters},
      {"facts_refused", share.watch().refused()},
      {"strangers", counts.strangers},
      {"unreadable", counts.unreadable},
      {"unsent", counts.unsent},
      {"bytes_in_a_s", static_cast<double>(counts.bytes_in) / up},
      {"bytes_out_a_s", static_cast<double>(counts.bytes_out) / up}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string Operators::answer(const std::string& line) {
  const Seconds now = scheduler_.now();
  const auto standing = [&](const purge::Entry& e) {
    const auto s = purges_.standing(e);
    json lacking = json::array(), unconfirmed = json::array();
    for (const int p : s.lacking) lacking.push_back(names_.peers[static_cast<std::size_t>(p)]);
    for (const int b : s.unconfirmed) unconfirmed.push_back(names_.box(b));
    return json{{"number", number_text(e.stamp)},
                {"issuer", issuer_text(e.stamp)},
                {"kind", fleet::kKindNames[static_cast<int>(e.kind)]},
                {"what", e.what},
                {"ago_s", now - e.from},
                {"holders", s.holders},
                {"routers", s.routers},
                {"accepted", s.accepted},
                {"promise_holds_s_ago",
                 s.accepted_at > 0 ? json(now - s.accepted_at - purges_.delay()) : json(nullptr)},
                {"lacking", lacking},
                {"boxes_unconfirmed", unconfirmed}};
  };
  try {
    const auto asked = json::parse(line);
    const auto what = asked.at("do").get<std::string>();
    if (what == "fleet")
      return share_ != nullptr ? fleet_answer()
                               : refused("this router shares nothing: share is not in its file").dump();
    const auto* sync = purges_.sync();
    if (sync == nullptr)
      return refused("no purges go between routers here: fleet is not in its file, or says purges = false")
          .dump();
    if (what == "purge") {
      const auto kind = fleet::kind_of(asked.at("kind").get<std::string>());
      auto name = asked.value("what", std::string());
      if (!kind) return refused("no such kind of purge").dump();
      if (const auto why = purges_.refusal(*kind, name)) return refused(*why).dump();
      const auto& e = purges_.issue(*kind, std::move(name), now);
      log_("purge", "{} issued here: {} {}", number_text(e.stamp),
           fleet::kKindNames[static_cast<int>(e.kind)], e.what);
      auto reply = standing(e);
      reply["ok"] = true;
      return reply.dump();
    }
    if (what == "status" && asked.contains("number")) {
      const auto* e = entry_of(asked["number"].get<std::string>());
      if (e == nullptr) return refused("no such purge here: never issued, or older than any copy").dump();
      auto reply = standing(*e);
      reply["ok"] = true;
      return reply.dump();
    }
    if (what == "status") {
      const Seconds at = sync->trusted_at(now);
      json latest = json::array(), peers = json::array();
      constexpr std::size_t kLatest = 20;
      const auto& entries = purges_.book().entries();
      for (auto e = entries.rbegin(); e != entries.rend() && latest.size() < kLatest; ++e)
        latest.push_back(standing(e->second));
      for (std::size_t n = 0; n < names_.peers.size(); ++n) {
        const auto& p = sync->peers()[n];
        peers.push_back({{"name", names_.peers[n]},
                         {"connected", p.up},
                         {"complete_s_ago", p.complete_at > 0 ? json(now - p.complete_at) : json(nullptr)}});
      }
      return json{{"ok", true},
                  {"trusted", sync->trusted(now)},
                  {"complete_s_ago", at > 0 ? json(std::max(0.0, now - at)) : json(nullptr)},
                  {"delay_s", purges_.delay()},
                  {"age_limit_s", purges_.age_limit(now)},
                  {"held", purges_.book().size()},
                  {"in_force", purges_.in_force()},
                  {"peers", peers},
                  {"latest", latest}}
          .dump();
    }
    return refused("no such request: " + what.substr(0, 60)).dump();
  } catch (const json::exception& e) {
    return refused(std::string("a request that cannot be read: ") + e.what())
        .dump(-1, ' ', false, json::error_handler_t::replace);
  } catch (const InputError& e) {
    return refused(e.what()).dump(-1, ' ', false, json::error_handler_t::replace);
  }
}

}  // namespace walkpaddle::control
