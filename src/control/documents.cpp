#include "control/documents.h"

#include <algorithm>
#include <filesystem>
#include <system_error>

#include "base/text.h"
#include "config/settings.h"
#include "control/confuse.h"

namespace walkpaddle::control {

namespace {

namespace fs = std::filesystem;
constexpr std::size_t kMostFiles = 256;

std::uint8_t work_of(const std::string& path, cfg_t* s, const std::string& word) {
  if (word == "settings") return freeze::kSettings;
  if (word == "release") return freeze::kRelease;
  refuse(path, s, "'" + word + "', expected settings or release");
}

freeze::LocalTime local_of(const std::string& path, cfg_t* s, const char* name) {
  const auto text = text_of(s, name);
  const auto local = freeze::parse_local_time(text);
  if (!local)
    refuse(path, s,
           std::string(name) + " is '" + text + "', expected YEAR-MM-DD HH:MM, or MM-DD HH:MM for each year");
  return *local;
}

freeze::Window window_of(const std::string& path, cfg_t* s) {
  freeze::Window w{.name = cfg_title(s),
                   .version = static_cast<std::uint32_t>(cfg_getint(s, "version")),
                   .sites = texts_of(s, "sites"),
                   .zone = text_of(s, "zone"),
                   .from = local_of(path, s, "from"),
                   .until = local_of(path, s, "until"),
                   .blocks = 0,
                   .lead = static_cast<Seconds>(cfg_getint(s, "lead")),
                   .author = text_of(s, "by")};
  std::ranges::sort(w.sites);
  for (const auto& word : texts_of(s, "blocks")) w.blocks |= work_of(path, s, word);
  if (const auto why = refusal(w)) refuse(path, s, "window " + w.name + ": " + *why);
  return w;
}

freeze::Exception exception_of(const std::string& path, cfg_t* s, Seconds now) {
  const auto approvers = texts_of(s, "approvers");
  if (approvers.size() != 2) refuse(path, s, "an exception has two approvers");
  const auto until = local_of(path, s, "until");
  if (until.year == 0) refuse(path, s, "until has no year");
  // The end of an exception is said in UTC.
  const freeze::Window end{
      .name = "e", .zone = "UTC", .from = {1970, 1, 1, 0, 0}, .until = until, .author = "e"};
  const auto spans = freeze::spans(end, 0, 1e11, 0);
  freeze::Exception e{.change = text_of(s, "change"),
                      .window = text_of(s, "window"),
                      .reason = text_of(s, "reason"),
                      .approvers = {approvers[0], approvers[1]},
                      .version = static_cast<std::uint32_t>(cfg_getint(s, "version")),
                      .until = spans.empty() ? 0 : spans.front().until};
  if (const auto why = refusal(e, now))
    refuse(path, s, "exception " + std::string(cfg_title(s)) + ": " + *why);
  return e;
}

rollout::RolloutPlan change_of(const std::string& path, cfg_t* s) {
  rollout::RolloutPlan d{.name = cfg_title(s),
                         .work = work_of(path, s, text_of(s, "work")),
                         .before = text_of(s, "before"),
                         .after = text_of(s, "after"),
                         .author = text_of(s, "by"),
                         .body = {}};
  const auto settings = texts_of(s, "settings");
  const auto program = text_of(s, "program");
  if (d.work == freeze::kRelease && (program.empty() || !settings.empty()))
    refuse(path, s, "change " + d.name + ": a release names its program and no settings");
  if (d.work == freeze::kSettings && (settings.empty() || !program.empty()))
    refuse(path, s, "change " + d.name + ": a change of settings names settings and no program");
  d.body = program;
  for (const auto& line : settings) {
    std::string_view rest = line;
    const auto key = take_field(rest, '=');
    if (!is_live_setting(key))
      refuse(path, s,
             "change " + d.name + ": '" + std::string(key) +
                 "' does not change while a router serves; it takes a release or a restart");
    if (rest.empty() || rest.find_first_of("\n ") != std::string_view::npos)
      refuse(path, s, "change " + d.name + ": '" + line + "', expected path=value");
    d.body += (d.body.empty() ? "" : "\n") + line;
  }
  if (cfg_size(s, "stages") > 0) {
    d.stages.clear();
    for (unsigned n = 0; n < cfg_size(s, "stages"); ++n) d.stages.push_back(cfg_getnfloat(s, "stages", n));
  }
  d.min_requests = static_cast<std::uint64_t>(std::max(0L, cfg_getint(s, "txns")));
  d.min_stage_time = cfg_getfloat(s, "least"), d.max_stage_time = cfg_getfloat(s, "longest");
  d.warm_up = cfg_getfloat(s, "warm_up"), d.ready_within = cfg_getfloat(s, "ready_in");
  d.max_moving_share = cfg_getfloat(s, "at_once"), d.harm_threshold = cfg_getfloat(s, "harm"),
  d.tolerated_ratio = cfg_getfloat(s, "ratio");
  if (const auto why = refusal(d)) refuse(path, s, "change " + d.name + ": " + *why);
  return d;
}

void read_one(const std::string& path, Seconds now, Documents& to) {
  const rollout::RolloutPlan usual;
  cfg_opt_t window[] = {CFG_INT("version", 1, CFGF_NONE),
                        CFG_STR_LIST("sites", nullptr, CFGF_NONE),
                        CFG_STR("zone", nullptr, CFGF_NODEFAULT),
                        CFG_STR("from", nullptr, CFGF_NODEFAULT),
                        CFG_STR("until", nullptr, CFGF_NODEFAULT),
                        CFG_STR_LIST("blocks", const_cast<char*>("{settings, release}"), CFGF_NONE),
                        CFG_INT("lead", 0, CFGF_NONE),
                        CFG_STR("by", nullptr, CFGF_NODEFAULT),
                        CFG_END()};
  cfg_opt_t withdraw[] = {CFG_INT("version", 1, CFGF_NONE), CFG_END()};
  cfg_opt_t exception[] = {CFG_STR("change", nullptr, CFGF_NODEFAULT),
                           CFG_STR("window", nullptr, CFGF_NODEFAULT),
                           CFG_STR("reason", nullptr, CFGF_NODEFAULT),
                           CFG_STR_LIST("approvers", nullptr, CFGF_NONE),
                           CFG_INT("version", 1, CFGF_NONE),
                           CFG_STR("until", nullptr, CFGF_NODEFAULT),
                           CFG_END()};
  cfg_opt_t change[] = {CFG_STR("work", "settings", CFGF_NONE),
                        CFG_STR("before", nullptr, CFGF_NODEFAULT),
                        CFG_STR("after", nullptr, CFGF_NODEFAULT),
                        CFG_STR("by", nullptr, CFGF_NODEFAULT),
                        CFG_STR_LIST("settings", nullptr, CFGF_NONE),
                        CFG_STR("program", nullptr, CFGF_NODEFAULT),
                        CFG_FLOAT_LIST("stages", nullptr, CFGF_NONE),
                        CFG_INT("txns", static_cast<long>(usual.min_requests), CFGF_NONE),
                        CFG_FLOAT("least", usual.min_stage_time, CFGF_NONE),
                        CFG_FLOAT("longest", usual.max_stage_time, CFGF_NONE),
                        CFG_FLOAT("warm_up", usual.warm_up, CFGF_NONE),
                        CFG_FLOAT("ready_in", usual.ready_within, CFGF_NONE),
                        CFG_FLOAT("at_once", usual.max_moving_share, CFGF_NONE),
                        CFG_FLOAT("harm", usual.harm_threshold, CFGF_NONE),
                        CFG_FLOAT("ratio", usual.tolerated_ratio, CFGF_NONE),
                        CFG_END()};
  cfg_opt_t stop[] = {CFG_STR("why", nullptr, CFGF_NODEFAULT), CFG_END()};
  constexpr auto kTitled = CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES;
  cfg_opt_t all[] = {CFG_SEC("window", window, kTitled),
                     CFG_SEC("withdraw", withdraw, kTitled),
                     CFG_SEC("exception", exception, kTitled),
                     CFG_SEC("change", change, kTitled),
                     CFG_SEC("stop", stop, kTitled),
                     CFG_INT(kEnd, 0, CFGF_NONE),
                     CFG_END()};
  const auto cfg = begin(all);
  parse(cfg.get(), path);
  const auto each = [&](const char* name, auto&& take) {
    for (unsigned n = 0; n < cfg_size(cfg.get(), name); ++n) take(cfg_getnsec(cfg.get(), name, n));
  };
  each("window", [&](cfg_t* s) { to.windows.push_back(window_of(path, s)); });
  each("withdraw", [&](cfg_t* s) {
    if (cfg_getint(s, "version") < 1) refuse(path, s, "version counts from 1");
    to.withdrawals.emplace_back(cfg_title(s), static_cast<std::uint32_t>(cfg_getint(s, "version")));
  });
  each("exception", [&](cfg_t* s) { to.exceptions.push_back(exception_of(path, s, now)); });
  each("change", [&](cfg_t* s) { to.changes.push_back(change_of(path, s)); });
  each("stop", [&](cfg_t* s) {
    if (text_of(s, "why").empty()) refuse(path, s, "a stop says why");
    to.stops.emplace_back(cfg_title(s), text_of(s, "why"));
  });
}

}  // namespace

Documents read_documents(const std::string& folder, Seconds now) {
  std::vector<std::string> paths;
  std::error_code error;
  for (const auto& entry : fs::directory_iterator(folder, error))
    if (entry.path().extension() == ".conf") paths.push_back(entry.path().string());
  if (error) throw InputError("cannot read the folder " + folder + ": " + error.message());
  if (paths.size() > kMostFiles) throw InputError(folder + ": more than 256 documents");
  std::ranges::sort(paths);
  Documents documents;
  for (const auto& path : paths) read_one(path, now, documents);
  return documents;
}

}  // namespace walkpaddle::control
