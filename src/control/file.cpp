#include "control/file.h"

#include <algorithm>
#include <set>

#include "base/text.h"
#include "control/confuse.h"
#include "io/stream.h"

namespace walkpaddle::control {

namespace {

template <int least, int most>
int within(cfg_t* cfg, cfg_opt_t* opt) {
  const double value = cfg_opt_size(opt) == 0 ? least
                       : opt->type == CFGT_FLOAT
                           ? cfg_opt_getnfloat(opt, cfg_opt_size(opt) - 1)
                           : static_cast<double>(cfg_opt_getnint(opt, cfg_opt_size(opt) - 1));
  if (value >= least && value <= most) return 0;
  cfg_error(cfg, "%s is %g, expected %d to %d", opt->name, value, least, most);
  return -1;
}

int lease_within(cfg_t* cfg, cfg_opt_t* opt) {
  constexpr double kLeast = 0.2, kMost = 600;
  const double value = cfg_opt_getnfloat(opt, 0);
  if (value >= kLeast && value <= kMost) return 0;
  cfg_error(cfg, "%s is %g, expected %g to %g seconds", opt->name, value, kLeast, kMost);
  return -1;
}

int address_reads(cfg_t* cfg, cfg_opt_t* opt) {
  try {
    parse_address(cfg_opt_getnstr(opt, 0));
    return 0;
  } catch (const InputError&) {
    cfg_error(cfg, "%s is '%s', expected a.b.c.d:port", opt->name, cfg_opt_getnstr(opt, 0));
    return -1;
  }
}

int one_alone(cfg_t* cfg, cfg_opt_t* opt) {
  if (cfg_opt_size(opt) <= 1) return 0;
  cfg_error(cfg, "a second section '%s', expected one", opt->name);
  return -1;
}

int form_known(cfg_t* cfg, cfg_opt_t* opt) {
  const std::string_view form = cfg_opt_getnstr(opt, 0);
  if (form == "text" || form == "json") return 0;
  cfg_error(cfg, "form is '%s', expected text or json", cfg_opt_getnstr(opt, 0));
  return -1;
}

bool is_domain(std::string_view name) {
  constexpr std::size_t kLongestName = 200, kLongestLabel = 63;  // labels of ours stand before it
  if (name.empty() || name.size() > kLongestName) return false;
  while (!name.empty()) {
    const auto label = take_field(name, '.');
    const auto stands = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    if (label.empty() || label.size() > kLongestLabel || !std::ranges::all_of(label, stands)) return false;
  }
  return true;
}

}  // namespace

File read_file(const std::string& path) {
  cfg_opt_t peer[] = {CFG_STR("address", nullptr, CFGF_NODEFAULT), CFG_STR("site", "", CFGF_NONE), CFG_END()};
  cfg_opt_t changes[] = {CFG_STR("folder", nullptr, CFGF_NODEFAULT), CFG_STR("site", "", CFGF_NONE),
                         CFG_STR("generation", nullptr, CFGF_NODEFAULT), CFG_STR("protocol", "", CFGF_NONE),
                         CFG_END()};
  cfg_opt_t fleet[] = {CFG_STR("name", nullptr, CFGF_NODEFAULT),
                       CFG_STR("listen", nullptr, CFGF_NODEFAULT),
                       CFG_FLOAT("lease", 2, CFGF_NONE),
                       CFG_FLOAT("beat", 0, CFGF_NONE),
                       CFG_INT("copy_life", 86400, CFGF_NONE),
                       CFG_INT("entries", 65536, CFGF_NONE),
                       CFG_INT("objects", 16384, CFGF_NONE),
                       CFG_BOOL("purges", cfg_true, CFGF_NONE),
                       CFG_BOOL("share", cfg_false, CFGF_NONE),
                       CFG_SEC("peer", peer, CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES),
                       CFG_END()};
  cfg_opt_t store[] = {CFG_STR("folder", nullptr, CFGF_NODEFAULT), CFG_INT("megabytes", 256, CFGF_NONE),
                       CFG_END()};
  cfg_opt_t control[] = {CFG_STR("socket", nullptr, CFGF_NODEFAULT), CFG_END()};
  cfg_opt_t boxes[] = {CFG_BOOL("tell_purges", cfg_false, CFGF_NONE), CFG_END()};
  cfg_opt_t dns[] = {CFG_STR("listen", nullptr, CFGF_NODEFAULT),
                     CFG_STR("zone", nullptr, CFGF_NODEFAULT),
                     CFG_STR("server", nullptr, CFGF_NODEFAULT),
                     CFG_INT("use", 1, CFGF_NONE),
                     CFG_FLOAT("txns", 1, CFGF_NONE),
                     CFG_END()};
  cfg_opt_t learnt[] = {CFG_STR("file", nullptr, CFGF_NODEFAULT), CFG_END()};
  cfg_opt_t log[] = {CFG_STR("form", "text", CFGF_NONE), CFG_END()};
  cfg_opt_t all[] = {CFG_SEC("fleet", fleet, CFGF_MULTI),
                     CFG_SEC("store", store, CFGF_MULTI),
                     CFG_SEC("control", control, CFGF_MULTI),
                     CFG_SEC("boxes", boxes, CFGF_MULTI),
                     CFG_SEC("log", log, CFGF_MULTI),
                     CFG_SEC("learnt", learnt, CFGF_MULTI),
                     CFG_SEC("dns", dns, CFGF_MULTI),
                     CFG_SEC("changes", changes, CFGF_MULTI),
                     CFG_INT(kEnd, 0, CFGF_NONE),
                     CFG_END()};
  const auto owned = begin(all);
  cfg_t* cfg = owned.get();
  for (const char* section : {"fleet", "store", "control", "boxes", "log", "learnt", "dns", "changes"})
    cfg_set_validate_func(cfg, section, one_alone);
  cfg_set_validate_func(cfg, "fleet|listen", address_reads);
  cfg_set_validate_func(cfg, "fleet|peer|address", address_reads);
  cfg_set_validate_func(cfg, "fleet|lease", lease_within);
  cfg_set_validate_func(cfg, "fleet|copy_life", within<1, 30 * 86400>);
  cfg_set_validate_func(cfg, "fleet|entries", within<16, 4'000'000>);
  cfg_set_validate_func(cfg, "fleet|objects", within<16, 4'000'000>);
  cfg_set_validate_func(cfg, "store|megabytes", within<1, 65536>);
  cfg_set_validate_func(cfg, "log|form", form_known);
  cfg_set_validate_func(cfg, "dns|listen", address_reads);
  cfg_set_validate_func(cfg, "dns|use", within<1, 10>);
  cfg_set_validate_func(cfg, "dns|txns", within<1, 100000>);
  parse(cfg, path);

  File f;
  if (cfg_size(cfg, "fleet") > 0) {
    auto* s = cfg_getnsec(cfg, "fleet", 0);
    auto& to = f.fleet;
    to.on = true;
    to.name = text_of(s, "name"), to.listen = text_of(s, "listen");
    if (to.name.empty()) refuse(path, s, "fleet without name");
    if (to.listen.empty()) refuse(path, s, "fleet without listen");
    to.lease = cfg_getfloat(s, "lease");
    to.purges = cfg_getbool(s, "purges") == cfg_true;
    to.share = cfg_getbool(s, "share") == cfg_true;
    if (!to.purges && !to.share) refuse(path, s, "fleet without purges and without share: it does nothing");
    to.beat = cfg_getfloat(s, "beat") > 0 ? cfg_getfloat(s, "beat") : to.lease / 5;
    if (to.beat > to.lease / 2)
      refuse(path, s, "beat is more than half of lease: each lost one would cost trust");
    to.copy_life = static_cast<Seconds>(cfg_getint(s, "copy_life"));
    to.entries = static_cast<int>(cfg_getint(s, "entries")),
    to.objects = static_cast<int>(cfg_getint(s, "objects"));
    std::set<std::string> names{to.name}, addresses{to.listen};
    // Purges take a link a peer; facts take one socket for all.
    constexpr unsigned kMostPeers = 511, kMostLinks = 256;
    if (cfg_size(s, "peer") > kMostPeers) refuse(path, s, "more than 511 peers");
    if (to.purges && cfg_size(s, "peer") > kMostLinks)
      refuse(path, s, "more than 256 peers with purges, which take a link to each: write purges = false");
    for (unsigned n = 0; n < cfg_size(s, "peer"); ++n) {
      auto* p = cfg_getnsec(s, "peer", n);
      to.peers.push_back({cfg_title(p), text_of(p, "address"), text_of(p, "site")});
      if (to.peers.back().address.empty()) refuse(path, p, "peer without address");
      if (!names.insert(to.peers.back().name).second)
        refuse(path, p, "a second router named " + to.peers.back().name);
      if (!addresses.insert(to.peers.back().address).second)
        refuse(path, p, "a second router at " + to.peers.back().address);
    }
  }
  if (cfg_size(cfg, "store") > 0) {
    auto* s = cfg_getnsec(cfg, "store", 0);
    f.store_folder = text_of(s, "folder");
    f.store_megabytes = static_cast<int>(cfg_getint(s, "megabytes"));
    if (f.store_folder.empty()) refuse(path, s, "store without folder");
    if (!f.fleet.on) refuse(path, s, "store without fleet: there is nothing to keep");
  }
  if (cfg_size(cfg, "control") > 0) {
    auto* s = cfg_getnsec(cfg, "control", 0);
    f.socket = text_of(s, "socket");
    constexpr std::size_t kLongestPath = 100;  // the system's own bound is 107
    if (f.socket.empty()) refuse(path, s, "control without socket");
    if (f.socket.size() > kLongestPath) refuse(path, s, "socket: a path of more than 100 bytes");
  }
  if (cfg_size(cfg, "boxes") > 0) {
    auto* s = cfg_getnsec(cfg, "boxes", 0);
    f.tell_boxes = cfg_getbool(s, "tell_purges") == cfg_true;
    if (f.tell_boxes && !f.fleet.on) refuse(path, s, "tell_purges without fleet");
    if (f.tell_boxes && !f.fleet.purges) refuse(path, s, "tell_purges in a fleet with purges = false");
  }
  if (cfg_size(cfg, "dns") > 0) {
    auto* s = cfg_getnsec(cfg, "dns", 0);
    auto& to = f.dns;
    to.on = true;
    to.listen = text_of(s, "listen"), to.zone = text_of(s, "zone"), to.server = text_of(s, "server");
    to.use = static_cast<Seconds>(cfg_getint(s, "use")), to.txns = cfg_getfloat(s, "txns");
    for (const auto& [name, value] :
         {std::pair{"listen", to.listen}, {"zone", to.zone}, {"server", to.server}})
      if (value.empty()) refuse(path, s, std::string("dns without ") + name);
    for (const auto& name : {to.zone, to.server})
      if (!is_domain(name))
        refuse(path, s, "'" + name + "', expected a domain name in lower case without the last dot");
  }
  if (cfg_size(cfg, "learnt") > 0) {
    auto* s = cfg_getnsec(cfg, "learnt", 0);
    f.learnt = text_of(s, "file");
    if (f.learnt.empty()) refuse(path, s, "learnt without file");
  }
  if (cfg_size(cfg, "changes") > 0) {
    auto* s = cfg_getnsec(cfg, "changes", 0);
    auto& to = f.changes;
    to.on = true;
    to.folder = text_of(s, "folder"), to.site = text_of(s, "site");
    to.generation = text_of(s, "generation"), to.protocol = text_of(s, "protocol");
    if (to.folder.empty()) refuse(path, s, "changes without folder");
    if (to.generation.empty()) refuse(path, s, "changes without generation: what this router runs now");
    if (!f.fleet.share)
      refuse(path, s, "changes in a fleet that shares nothing: write share = true in fleet");
  }
  if (cfg_size(cfg, "log") > 0) f.log_json = text_of(cfg_getnsec(cfg, "log", 0), "form") == "json";
  return f;
}

}  // namespace walkpaddle::control
