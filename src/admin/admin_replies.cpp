#include "admin/admin_replies.h"

#include <fmt/core.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "base/error.h"
#include "base/hash.h"
#include "base/text.h"

namespace walkpaddle::admin {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxObservations = 500;  // in a reply; `facts_held` is the total number
constexpr std::size_t kMaxLatestPurges = 20;   // in a reply
constexpr std::size_t kMaxActionBytes = 60;    // bytes of an unknown action repeated in the reply
constexpr Seconds kMinUptime = 1e-3;           // least divisor of rates
constexpr int kHexBase = 16;

// The number of a purge in the form that every router accepts.
std::string stamp_text(const purge::PurgeStamp& stamp) {
  return fmt::format("{:016x}:{}", stamp.issuer, stamp.number);
}

json refused(const std::string& why) { return {{"ok", false}, {"why", why}}; }

// Names come from files and from the network; bytes that are not UTF-8 are replaced.
std::string dump_replacing(const json& reply) {
  return reply.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Seconds since `time`; null if `time` is 0, which means never.
json age_json(Seconds now, Seconds time) { return time > 0 ? json(now - time) : json(nullptr); }

std::string_view state_text(const rollout::RolloutStatus& rollout) {
  if (rollout.stopped) return "STOPPED";
  if (rollout.done) return "done";
  return rollout.stage == 0 ? "proposed" : "under way";
}

json rollouts_json(const rollout::RolloutCoordinator& changes, Seconds now) {
  json all = json::array();
  for (const auto& rollout : changes.rollout().status(now))
    all.push_back({{"name", rollout.plan.name},
                   {"from", rollout.plan.before},
                   {"to", rollout.plan.after},
                   {"by", rollout.plan.author},
                   {"state", state_text(rollout)},
                   {"stage", rollout.stage},
                   {"stages", rollout.stages},
                   {"through", rollout.turns},
                   {"routers", rollout.fleet},
                   {"drives", rollout.drives},
                   {"txns_old", rollout.control_requests},
                   {"txns_new", rollout.canary_requests},
                   {"why", rollout.why}});
  return all;
}

json windows_json(const rollout::RolloutCoordinator& changes) {
  json all = json::array();
  for (const auto& status : changes.calendar().status())
    all.push_back({{"name", status.window.name},
                   {"version", status.window.version},
                   {"zone", status.window.zone},
                   {"from", freeze::to_string(status.window.from)},
                   {"until", freeze::to_string(status.window.until)},
                   {"by", status.window.author},
                   {"withdrawn", status.withdrawn},
                   {"withdrawn_by", status.withdrawn_by}});
  return all;
}

// Adds the fields of rollouts, null or empty if rollouts are disabled.
void add_rollouts(json& reply, const rollout::RolloutCoordinator* changes, Seconds now) {
  reply["generation"] = nullptr;
  reply["fleets_generation"] = nullptr;
  reply["calendar"] = nullptr;
  reply["changes"] = json::array();
  reply["windows"] = json::array();
  if (changes == nullptr) return;
  reply["generation"] = changes->rollout().running();
  reply["fleets_generation"] = changes->rollout().fleet_generation();
  reply["calendar"] = changes->calendar().why_not_current(now).value_or("");
  reply["changes"] = rollouts_json(*changes, now);
  reply["windows"] = windows_json(*changes);
}

}  // namespace

AdminReplies::AdminReplies(const Scheduler& scheduler, Log& log, purge::PurgeRegistry& purges, Names names,
                           const RouterView& router, const replication::ReplicationService* replication)
    : scheduler_(scheduler),
      log_(log),
      purges_(purges),
      names_(std::move(names)),
      router_(router),
      replication_(replication) {}

std::string AdminReplies::answer(const std::string& line) {
  try {
    const auto request = json::parse(line);
    const auto action = request.at("do").get<std::string>();
    if (action == "fleet" && replication_ != nullptr) return fleet_status();
    return reply_to(request, action).dump();
  } catch (const json::exception& e) {
    return dump_replacing(refused(std::string("malformed request: ") + e.what()));
  } catch (const InputError& e) {
    return dump_replacing(refused(e.what()));
  }
}

json AdminReplies::reply_to(const json& request, const std::string& action) {
  if (action == "fleet")
    return refused(
        "this router does not replicate observations: its operator's file does not set share = true");
  if (purges_.replication() == nullptr)
    return refused(
        "purges are not replicated: the operator's file has no section fleet, or sets purges = false");
  if (action == "purge") return issue_purge(request);
  if (action == "status" && request.contains("number"))
    return purge_status(request["number"].get<std::string>());
  if (action == "status") return purges_status();
  return refused("unknown request: " + action.substr(0, kMaxActionBytes));
}

// ---- purges ----

json AdminReplies::issue_purge(const json& request) {
  const auto kind = purge::parse_purge_kind(request.at("kind").get<std::string>());
  auto name = request.value("what", std::string());
  if (!kind) return refused("unknown kind of purge");
  if (const auto why = purges_.rejection_reason(*kind, name)) return refused(*why);
  const auto& entry = purges_.issue(*kind, std::move(name), scheduler_.now());
  log_("purge", "{} issued by this router: {} {}", number_text(entry.stamp), purge::to_string(entry.kind),
       entry.target);
  auto reply = purge_json(entry);
  reply["ok"] = true;
  return reply;
}

json AdminReplies::purge_status(const std::string& number) const {
  const auto* entry = find_purge(number);
  if (entry == nullptr) return refused("unknown purge: never issued, or dropped because no copy is as old");
  auto reply = purge_json(*entry);
  reply["ok"] = true;
  return reply;
}

json AdminReplies::purges_status() const {
  const Seconds now = scheduler_.now();
  const auto* sync = purges_.replication();
  const Seconds trusted_at = sync->complete_as_of(now);
  return {{"ok", true},
          {"trusted", sync->lease_valid(now)},
          {"complete_s_ago", trusted_at > 0 ? json(std::max(0.0, now - trusted_at)) : json(nullptr)},
          {"delay_s", purges_.promised_delay()},
          {"age_limit_s", purges_.copy_age_limit(now)},
          {"held", purges_.log().size()},
          {"in_force", purges_.in_force()},
          {"peers", purge_peers_json()},
          {"latest", latest_purges_json()}};
}

json AdminReplies::purge_peers_json() const {
  const Seconds now = scheduler_.now();
  json all = json::array();
  for (std::size_t n = 0; n < names_.peers.size(); ++n) {
    const auto peer = purges_.replication()->peer_status(static_cast<int>(n));
    all.push_back({{"name", names_.peers[n]},
                   {"connected", peer.connected},
                   {"complete_s_ago", age_json(now, peer.complete_at)}});
  }
  return all;
}

json AdminReplies::latest_purges_json() const {
  json latest = json::array();
  const auto& entries = purges_.log().entries();
  for (auto entry = entries.rbegin(); entry != entries.rend() && latest.size() < kMaxLatestPurges; ++entry)
    latest.push_back(purge_json(entry->second));
  return latest;
}

json AdminReplies::purge_json(const purge::PurgeEntry& entry) const {
  const Seconds now = scheduler_.now();
  const auto status = purges_.status(entry);
  json lacking = json::array();
  for (const int peer : status.peers_lacking) lacking.push_back(names_.peers[static_cast<std::size_t>(peer)]);
  json unconfirmed = json::array();
  for (const int endpoint : status.servers_unconfirmed) unconfirmed.push_back(router_.endpoint_id(endpoint));
  json in_force_age = nullptr;
  if (status.accepted_at > 0) in_force_age = now - status.accepted_at - purges_.promised_delay();
  return {{"number", number_text(entry.stamp)},
          {"issuer", stamp_text(entry.stamp)},
          {"kind", purge::to_string(entry.kind)},
          {"what", entry.target},
          {"ago_s", now - entry.valid_since},
          {"holders", status.replicas},
          {"routers", status.routers},
          {"accepted", status.accepted},
          {"promise_holds_s_ago", in_force_age},
          {"lacking", lacking},
          {"boxes_unconfirmed", unconfirmed}};
}

std::string AdminReplies::number_text(const purge::PurgeStamp& stamp) const {
  if (stamp.issuer == purges_.setup().self) return names_.self + ":" + std::to_string(stamp.number);
  return stamp_text(stamp);
}

const purge::PurgeEntry* AdminReplies::find_purge(const std::string& number) const {
  auto rest = std::string_view(number);
  auto issuer = purges_.setup().self;
  if (number.find(':') != std::string::npos) {
    const auto name = take_field(rest, ':');
    if (name != names_.self) issuer = parse<std::uint64_t>(name, "issuer", kHexBase);
  }
  return purges_.log().find(issuer, parse<std::uint64_t>(rest, "number of a purge"));
}

// ---- the fleet ----

// Members of the fleet, and the replicated observations of endpoints with their observer and age.
std::string AdminReplies::fleet_status() const {
  const Seconds now = scheduler_.now();
  const auto& fleet = *replication_;
  const auto& datagrams = fleet.counts();
  const auto observations = fleet.tracker().observations().all();
  const Seconds uptime = std::max(kMinUptime, now - fleet.started());
  json reply = {{"ok", true},
                {"name", names_.self},
                {"alive", fleet.members().alive_count()},
                {"others", fleet.members().peers().size()},
                {"catching_up", fleet.gossip().catching_up()},
                {"local_trouble", fleet.members().local_health_score()},
                {"suspected_here", fleet.members().suspicions()},
                {"refuted", fleet.members().refuted()},
                {"members", members_json()},
                {"facts_held", observations.size()},
                {"facts_heard", fleet.gossip().observations_received()},
                {"facts", observations_json(observations)},
                {"counters", counters_json()},
                {"facts_refused", fleet.tracker().refused()},
                {"strangers", datagrams.unknown_senders},
                {"unreadable", datagrams.unreadable},
                {"unsent", datagrams.unsent},
                {"bytes_in_a_s", static_cast<double>(datagrams.bytes_received) / uptime},
                {"bytes_out_a_s", static_cast<double>(datagrams.bytes_sent) / uptime}};
  add_rollouts(reply, fleet.rollouts(), now);
  return dump_replacing(reply);
}

json AdminReplies::members_json() const {
  const Seconds now = scheduler_.now();
  json all = json::array();
  const auto& peers = replication_->members().peers();
  for (std::size_t n = 0; n < peers.size(); ++n)
    all.push_back({{"name", names_.peers[n]},
                   {"state", membership::to_string(peers[n].state)},
                   {"for_s", now - peers[n].since},
                   {"heard_s_ago", age_json(now, peers[n].last_contact)}});
  return all;
}

json AdminReplies::observations_json(const std::vector<replica::EndpointObservation>& observations) const {
  const Seconds now = scheduler_.now();
  std::map<std::uint64_t, std::string> endpoints;
  for (int n = 0; n < router_.endpoints(); ++n) {
    auto id = router_.endpoint_id(n);
    const auto hash = stable_hash(id);
    endpoints[hash] = std::move(id);
  }
  json all = json::array();
  for (const auto& observation : observations) {
    if (all.size() >= kMaxObservations) break;
    const auto known = endpoints.find(observation.endpoint);
    all.push_back(
        {{"server", known == endpoints.end() ? fmt::format("{:016x}", observation.endpoint) : known->second},
         {"state", replica::to_string(observation.health)},
         {"by", replication_->name_of(observation.observer)},
         {"ago_s", now - observation.observed_at.seconds()}});
  }
  return all;
}

json AdminReplies::counters_json() const {
  json all = json::object();
  for (const auto& [name, count] : router_.counters()) all[name] = count;
  return all;
}

}  // namespace walkpaddle::admin
