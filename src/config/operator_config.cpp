#include "config/operator_config.h"

#include <fmt/core.h>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "base/error.h"
#include "base/text.h"
#include "config/section_reader.h"
#include "io/stream.h"

namespace walkpaddle::config {

namespace {

constexpr Seconds kDay = 86400;
constexpr int kLongestCopyLifetime = 30 * static_cast<int>(kDay);  // seconds
constexpr int kFewestEntries = 16;
constexpr int kMostEntries = 4'000'000;
constexpr int kLargestStore = 65536;    // megabytes
constexpr int kLongestTimeToLive = 10;  // seconds
constexpr int kMostRequestsPerAnswer = 100000;
constexpr double kShortestLease = 0.2;  // seconds
constexpr double kLongestLease = 600;   // seconds
constexpr double kHeartbeatsPerLease = 5;
constexpr std::size_t kMostPeers = 511;
constexpr std::size_t kMostLinks = 256;  // purges take a link to each peer, observations one socket for all
constexpr std::size_t kLongestSocketPath = 100;  // bytes; the system's own bound is 107
constexpr std::size_t kLongestDomain = 200;      // bytes; labels of ours stand before it
constexpr std::size_t kLongestLabel = 63;        // bytes: RFC 1035, 2.3.4

// ---- checks of single values, called by the library ----

template <int least, int most>
int check_range(cfg_t* section, cfg_opt_t* option) {
  double value = least;
  if (const auto size = cfg_opt_size(option); size > 0) {
    const bool is_float = option->type == CFGT_FLOAT;
    value = is_float ? cfg_opt_getnfloat(option, size - 1)
                     : static_cast<double>(cfg_opt_getnint(option, size - 1));
  }
  if (value >= least && value <= most) return 0;
  const auto allowed = fmt::format("{} to {}", least, most);
  return reject_value(section, option, fmt::format("{} is {:g}, expected {}", option->name, value, allowed),
                      fmt::format("{:g}", value), allowed);
}

int check_lease(cfg_t* section, cfg_opt_t* option) {
  const double value = cfg_opt_getnfloat(option, 0);
  if (value >= kShortestLease && value <= kLongestLease) return 0;
  const auto allowed = fmt::format("{:g} to {:g} seconds", kShortestLease, kLongestLease);
  return reject_value(section, option, fmt::format("{} is {:g}, expected {}", option->name, value, allowed),
                      fmt::format("{:g}", value), allowed);
}

int reject_text(cfg_t* section, cfg_opt_t* option, const std::string& allowed) {
  const std::string value = cfg_opt_getnstr(option, 0);
  return reject_value(section, option, fmt::format("{} is '{}', expected {}", option->name, value, allowed),
                      value, allowed);
}

int check_address(cfg_t* section, cfg_opt_t* option) {
  try {
    parse_address(cfg_opt_getnstr(option, 0));
    return 0;
  } catch (const InputError&) {
    return reject_text(section, option, "a.b.c.d:port");
  }
}

int check_log_form(cfg_t* section, cfg_opt_t* option) {
  const std::string_view form = cfg_opt_getnstr(option, 0);
  if (form == "text" || form == "json") return 0;
  return reject_text(section, option, "text or json");
}

int check_single(cfg_t* section, cfg_opt_t* option) {
  if (cfg_opt_size(option) <= 1) return 0;
  return reject_value(section, option, fmt::format("a second section '{}', expected one", option->name), {},
                      "one");
}

bool is_domain(std::string_view name) {
  if (name.empty() || name.size() > kLongestDomain) return false;
  while (!name.empty()) {
    const auto label = take_field(name, '.');
    const auto is_allowed = [](char c) {
      return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    };
    if (label.empty() || label.size() > kLongestLabel || !std::ranges::all_of(label, is_allowed))
      return false;
  }
  return true;
}

// ---- the form of each section, for the library; it copies them ----

cfg_opt_t* fleet_options() {
  static cfg_opt_t peer[] = {CFG_STR("address", nullptr, CFGF_NODEFAULT), CFG_STR("site", "", CFGF_NONE),
                             CFG_END()};
  static cfg_opt_t options[] = {CFG_STR("name", nullptr, CFGF_NODEFAULT),
                                CFG_STR("listen", nullptr, CFGF_NODEFAULT),
                                CFG_FLOAT("lease", 2, CFGF_NONE),
                                CFG_FLOAT("beat", 0, CFGF_NONE),
                                CFG_INT("copy_life", static_cast<long>(kDay), CFGF_NONE),
                                CFG_INT("entries", 65536, CFGF_NONE),
                                CFG_INT("objects", 16384, CFGF_NONE),
                                CFG_BOOL("purges", cfg_true, CFGF_NONE),
                                CFG_BOOL("share", cfg_false, CFGF_NONE),
                                CFG_SEC("peer", peer, CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES),
                                CFG_END()};
  return options;
}

cfg_opt_t* rollout_options() {
  static cfg_opt_t options[] = {CFG_STR("folder", nullptr, CFGF_NODEFAULT), CFG_STR("site", "", CFGF_NONE),
                                CFG_STR("generation", nullptr, CFGF_NODEFAULT),
                                CFG_STR("protocol", "", CFGF_NONE), CFG_END()};
  return options;
}

cfg_opt_t* dns_options() {
  static cfg_opt_t options[] = {CFG_STR("listen", nullptr, CFGF_NODEFAULT),
                                CFG_STR("zone", nullptr, CFGF_NODEFAULT),
                                CFG_STR("server", nullptr, CFGF_NODEFAULT),
                                CFG_INT("use", 1, CFGF_NONE),
                                CFG_FLOAT("txns", 1, CFGF_NONE),
                                CFG_END()};
  return options;
}

cfg_opt_t* document_options() {
  static cfg_opt_t store[] = {CFG_STR("folder", nullptr, CFGF_NODEFAULT),
                              CFG_INT("megabytes", 256, CFGF_NONE), CFG_END()};
  static cfg_opt_t admin[] = {CFG_STR("socket", nullptr, CFGF_NODEFAULT), CFG_END()};
  static cfg_opt_t cache_servers[] = {CFG_BOOL("tell_purges", cfg_false, CFGF_NONE), CFG_END()};
  static cfg_opt_t warm_start[] = {CFG_STR("file", nullptr, CFGF_NODEFAULT), CFG_END()};
  static cfg_opt_t log[] = {CFG_STR("form", "text", CFGF_NONE), CFG_END()};
  static cfg_opt_t options[] = {CFG_SEC("fleet", fleet_options(), CFGF_MULTI),
                                CFG_SEC("store", store, CFGF_MULTI),
                                CFG_SEC("control", admin, CFGF_MULTI),
                                CFG_SEC("boxes", cache_servers, CFGF_MULTI),
                                CFG_SEC("log", log, CFGF_MULTI),
                                CFG_SEC("learnt", warm_start, CFGF_MULTI),
                                CFG_SEC("dns", dns_options(), CFGF_MULTI),
                                CFG_SEC("changes", rollout_options(), CFGF_MULTI),
                                CFG_INT(kEndOption, 0, CFGF_NONE),
                                CFG_END()};
  return options;
}

void add_checks(Document& document) {
  const std::pair<const char*, cfg_validate_callback_t> checks[] = {
      {"fleet", check_single},
      {"store", check_single},
      {"control", check_single},
      {"boxes", check_single},
      {"log", check_single},
      {"learnt", check_single},
      {"dns", check_single},
      {"changes", check_single},
      {"fleet|listen", check_address},
      {"fleet|peer|address", check_address},
      {"fleet|lease", check_lease},
      {"fleet|copy_life", check_range<1, kLongestCopyLifetime>},
      {"fleet|entries", check_range<kFewestEntries, kMostEntries>},
      {"fleet|objects", check_range<kFewestEntries, kMostEntries>},
      {"store|megabytes", check_range<1, kLargestStore>},
      {"log|form", check_log_form},
      {"dns|listen", check_address},
      {"dns|use", check_range<1, kLongestTimeToLive>},
      {"dns|txns", check_range<1, kMostRequestsPerAnswer>}};
  for (const auto& [option, check] : checks) document.validate(option, check);
}

// ---- a function for each section ----

void read_peers(const Section& section, OperatorConfig::Fleet& fleet) {
  const auto peers = section.sections("peer");
  if (peers.size() > kMostPeers) section.refuse("more than 511 peers");
  if (fleet.exchange_purges && peers.size() > kMostLinks)
    section.refuse("more than 256 peers with purges, which take a link to each: write purges = false");
  std::set<std::string> names{fleet.name};
  std::set<std::string> addresses{fleet.listen};
  for (const auto& peer : peers) {
    const auto name = peer.title();
    const auto address = peer.required_text("address", "peer without address");
    if (!names.insert(name).second) peer.refuse("a second router named " + name);
    if (!addresses.insert(address).second) peer.refuse("a second router at " + address, "address");
    fleet.peers.push_back({name, address, peer.text("site")});
  }
}

OperatorConfig::Fleet read_fleet(const Section& section) {
  OperatorConfig::Fleet fleet;
  fleet.enabled = true;
  fleet.name = section.required_text("name", "fleet without name");
  fleet.listen = section.required_text("listen", "fleet without listen");
  fleet.lease = section.number("lease");
  fleet.exchange_purges = section.flag("purges");
  fleet.replicate = section.flag("share");
  if (!fleet.exchange_purges && !fleet.replicate)
    section.refuse("fleet without purges and without share: it does nothing");
  const double heartbeat = section.number("beat");
  fleet.heartbeat = heartbeat > 0 ? heartbeat : fleet.lease / kHeartbeatsPerLease;
  if (fleet.heartbeat > fleet.lease / 2)
    section.refuse("beat is more than half of lease: each lost one would cost trust", "beat");
  fleet.copy_lifetime = static_cast<Seconds>(section.integer("copy_life"));
  fleet.purge_log_entries = static_cast<int>(section.integer("entries"));
  fleet.indexed_objects = static_cast<int>(section.integer("objects"));
  read_peers(section, fleet);
  return fleet;
}

void read_store(const Section& section, OperatorConfig& config) {
  config.store_megabytes = static_cast<int>(section.integer("megabytes"));
  config.store_folder = section.required_text("folder", "store without folder");
  if (!config.fleet.enabled) section.refuse("store without fleet: there is nothing to keep");
}

void read_admin(const Section& section, OperatorConfig& config) {
  config.admin_socket = section.required_text("socket", "control without socket");
  if (config.admin_socket.size() > kLongestSocketPath)
    section.refuse("socket: a path of more than 100 bytes", "socket");
}

void read_cache_servers(const Section& section, OperatorConfig& config) {
  config.notify_purges = section.flag("tell_purges");
  if (!config.notify_purges) return;
  if (!config.fleet.enabled) section.refuse("tell_purges without fleet", "tell_purges");
  if (!config.fleet.exchange_purges)
    section.refuse("tell_purges in a fleet with purges = false", "tell_purges");
}

OperatorConfig::Dns read_dns(const Section& section) {
  OperatorConfig::Dns dns;
  dns.enabled = true;
  dns.time_to_live = static_cast<Seconds>(section.integer("use"));
  dns.requests_per_answer = section.number("txns");
  dns.listen = section.required_text("listen", "dns without listen");
  dns.zone = section.required_text("zone", "dns without zone");
  dns.server = section.required_text("server", "dns without server");
  for (const char* key : {"zone", "server"}) {
    const auto name = section.text(key);
    if (is_domain(name)) continue;
    section.refuse("'" + name + "', expected a domain name in lower case without the last dot", key);
  }
  return dns;
}

void read_warm_start(const Section& section, OperatorConfig& config) {
  config.warm_start_file = section.required_text("file", "learnt without file");
}

void read_rollouts(const Section& section, OperatorConfig& config) {
  auto& rollouts = config.rollouts;
  rollouts.enabled = true;
  rollouts.site = section.text("site");
  rollouts.protocol_folder = section.text("protocol");
  rollouts.folder = section.required_text("folder", "changes without folder");
  rollouts.generation =
      section.required_text("generation", "changes without generation: what this router runs now");
  if (!config.fleet.replicate)
    section.refuse("changes in a fleet that shares nothing: write share = true in fleet");
}

}  // namespace

OperatorConfig read_operator_config(const std::string& path) {
  Document document(path, document_options());
  add_checks(document);
  const auto root = document.read();
  // The fleet first: what others need of it is checked with them.
  OperatorConfig config;
  if (const auto section = root.section("fleet")) config.fleet = read_fleet(*section);
  if (const auto section = root.section("store")) read_store(*section, config);
  if (const auto section = root.section("control")) read_admin(*section, config);
  if (const auto section = root.section("boxes")) read_cache_servers(*section, config);
  if (const auto section = root.section("dns")) config.dns = read_dns(*section);
  if (const auto section = root.section("learnt")) read_warm_start(*section, config);
  if (const auto section = root.section("changes")) read_rollouts(*section, config);
  if (const auto section = root.section("log")) config.log_json = section->text("form") == "json";
  return config;
}

}  // namespace walkpaddle::config
