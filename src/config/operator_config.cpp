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
constexpr int kMaxCopyLifetime = 30 * static_cast<int>(kDay);  // seconds
constexpr int kMinEntries = 16;
constexpr int kMaxEntries = 4'000'000;
constexpr int kMaxStoreMegabytes = 65536;
constexpr int kMaxTimeToLive = 10;  // seconds
constexpr int kMaxRequestsPerAnswer = 100000;
constexpr double kMinLease = 0.2;  // seconds
constexpr double kMaxLease = 600;  // seconds
constexpr double kHeartbeatsPerLease = 5;
constexpr std::size_t kMaxPeers = 511;
constexpr std::size_t kMaxPurgeLinks = 256;  // purges need a link to each peer, observations one socket
constexpr std::size_t kMaxSocketPath = 100;  // bytes; the system's limit is 107
constexpr std::size_t kMaxDomain = 200;      // bytes; leaves room for the labels that the router prepends
constexpr std::size_t kMaxLabel = 63;        // bytes: RFC 1035, 2.3.4

// ---- checks of single values, called by libConfuse ----

template <int min, int max>
int check_range(cfg_t* section, cfg_opt_t* option) {
  double value = min;
  if (const auto size = cfg_opt_size(option); size > 0) {
    const bool is_float = option->type == CFGT_FLOAT;
    value = is_float ? cfg_opt_getnfloat(option, size - 1)
                     : static_cast<double>(cfg_opt_getnint(option, size - 1));
  }
  if (value >= min && value <= max) return 0;
  const auto allowed = fmt::format("{} to {}", min, max);
  return reject_value(section, option, fmt::format("{} is {:g}, expected {}", option->name, value, allowed),
                      fmt::format("{:g}", value), allowed);
}

int check_lease(cfg_t* section, cfg_opt_t* option) {
  const double value = cfg_opt_getnfloat(option, 0);
  if (value >= kMinLease && value <= kMaxLease) return 0;
  const auto allowed = fmt::format("{:g} to {:g} seconds", kMinLease, kMaxLease);
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
  return reject_value(section, option,
                      fmt::format("a second section '{}', expected at most one", option->name), {}, "one");
}

bool is_domain(std::string_view name) {
  if (name.empty() || name.size() > kMaxDomain) return false;
  while (!name.empty()) {
    const auto label = take_field(name, '.');
    const auto is_allowed = [](char c) {
      return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    };
    if (label.empty() || label.size() > kMaxLabel || !std::ranges::all_of(label, is_allowed)) return false;
  }
  return true;
}

// ---- option tables of the sections; libConfuse copies them ----

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
      {"fleet|copy_life", check_range<1, kMaxCopyLifetime>},
      {"fleet|entries", check_range<kMinEntries, kMaxEntries>},
      {"fleet|objects", check_range<kMinEntries, kMaxEntries>},
      {"store|megabytes", check_range<1, kMaxStoreMegabytes>},
      {"log|form", check_log_form},
      {"dns|listen", check_address},
      {"dns|use", check_range<1, kMaxTimeToLive>},
      {"dns|txns", check_range<1, kMaxRequestsPerAnswer>}};
  for (const auto& [option, check] : checks) document.validate(option, check);
}

// ---- readers of the sections ----

void read_peers(const Section& section, OperatorConfig::Fleet& fleet) {
  const auto peers = section.sections("peer");
  if (peers.size() > kMaxPeers) section.refuse("more than 511 peers");
  if (fleet.exchange_purges && peers.size() > kMaxPurgeLinks)
    section.refuse("more than 256 peers, each of which needs a link for purges: set purges = false");
  std::set<std::string> names{fleet.name};
  std::set<std::string> addresses{fleet.listen};
  for (const auto& peer : peers) {
    const auto name = peer.title();
    const auto address = peer.required_text("address", "peer: address is missing");
    if (!names.insert(name).second) peer.refuse("another router is also named " + name);
    if (!addresses.insert(address).second)
      peer.refuse("another router also has the address " + address, "address");
    fleet.peers.push_back({name, address, peer.text("site")});
  }
}

OperatorConfig::Fleet read_fleet(const Section& section) {
  OperatorConfig::Fleet fleet;
  fleet.enabled = true;
  fleet.name = section.required_text("name", "fleet: name is missing");
  fleet.listen = section.required_text("listen", "fleet: listen is missing");
  fleet.lease = section.number("lease");
  fleet.exchange_purges = section.flag("purges");
  fleet.replicate = section.flag("share");
  if (!fleet.exchange_purges && !fleet.replicate)
    section.refuse("fleet has no effect with purges = false and share = false");
  const double heartbeat = section.number("beat");
  fleet.heartbeat = heartbeat > 0 ? heartbeat : fleet.lease / kHeartbeatsPerLease;
  if (fleet.heartbeat > fleet.lease / 2)
    section.refuse("beat is more than half of lease: one lost heartbeat would let the lease expire", "beat");
  fleet.copy_lifetime = static_cast<Seconds>(section.integer("copy_life"));
  fleet.purge_log_entries = static_cast<int>(section.integer("entries"));
  fleet.indexed_objects = static_cast<int>(section.integer("objects"));
  read_peers(section, fleet);
  return fleet;
}

void read_store(const Section& section, OperatorConfig& config) {
  config.store_megabytes = static_cast<int>(section.integer("megabytes"));
  config.store_folder = section.required_text("folder", "store: folder is missing");
  if (!config.fleet.enabled) section.refuse("store without fleet: nothing would be stored");
}

void read_admin(const Section& section, OperatorConfig& config) {
  config.admin_socket = section.required_text("socket", "control: socket is missing");
  if (config.admin_socket.size() > kMaxSocketPath)
    section.refuse("socket is a path of more than 100 bytes", "socket");
}

void read_cache_servers(const Section& section, OperatorConfig& config) {
  config.notify_purges = section.flag("tell_purges");
  if (!config.notify_purges) return;
  if (!config.fleet.enabled) section.refuse("tell_purges needs section fleet", "tell_purges");
  if (!config.fleet.exchange_purges)
    section.refuse("tell_purges needs purges = true in section fleet", "tell_purges");
}

OperatorConfig::Dns read_dns(const Section& section) {
  OperatorConfig::Dns dns;
  dns.enabled = true;
  dns.time_to_live = static_cast<Seconds>(section.integer("use"));
  dns.requests_per_answer = section.number("txns");
  dns.listen = section.required_text("listen", "dns: listen is missing");
  dns.zone = section.required_text("zone", "dns: zone is missing");
  dns.server = section.required_text("server", "dns: server is missing");
  for (const char* key : {"zone", "server"}) {
    const auto name = section.text(key);
    if (is_domain(name)) continue;
    section.refuse("'" + name + "', expected a domain name in lower case without a trailing dot", key);
  }
  return dns;
}

void read_warm_start(const Section& section, OperatorConfig& config) {
  config.warm_start_file = section.required_text("file", "learnt: file is missing");
}

void read_rollouts(const Section& section, OperatorConfig& config) {
  auto& rollouts = config.rollouts;
  rollouts.enabled = true;
  rollouts.site = section.text("site");
  rollouts.protocol_folder = section.text("protocol");
  rollouts.folder = section.required_text("folder", "changes: folder is missing");
  rollouts.generation = section.required_text(
      "generation", "changes: generation is missing (the name of what this router runs now)");
  if (!config.fleet.replicate) section.refuse("changes needs share = true in section fleet");
}

}  // namespace

OperatorConfig read_operator_config(const std::string& path) {
  Document document(path, document_options());
  add_checks(document);
  const auto root = document.read();
  // Section fleet is read first, because other sections are checked against it.
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
