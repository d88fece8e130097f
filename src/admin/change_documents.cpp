#include "admin/change_documents.h"

#include <fmt/core.h>

#include <algorithm>
#include <filesystem>
#include <string_view>
#include <system_error>

#include "base/error.h"
#include "base/text.h"
#include "config/section_reader.h"
#include "config/settings.h"

namespace walkpaddle::admin {

namespace {

namespace fs = std::filesystem;
using config::Section;

constexpr std::size_t kMaxFiles = 256;
constexpr std::size_t kRequiredApprovers = 2;
constexpr Seconds kMaxUnixTime = 1e11;

std::uint8_t read_work(const Section& section, const std::string& word) {
  if (word == "settings") return freeze::kSettings;
  if (word == "release") return freeze::kRelease;
  section.refuse("'" + word + "', expected settings or release");
}

freeze::LocalTime read_local_time(const Section& section, const char* key) {
  const auto text = section.text(key);
  const auto local = freeze::parse_local_time(text);
  if (!local)
    section.refuse(
        std::string(key) + " is '" + text + "', expected YEAR-MM-DD HH:MM, or MM-DD HH:MM for each year",
        key);
  return *local;
}

freeze::Window read_window(const Section& section) {
  freeze::Window window{.name = section.title(),
                        .version = static_cast<std::uint32_t>(section.integer("version")),
                        .sites = section.texts("sites"),
                        .zone = section.text("zone"),
                        .from = read_local_time(section, "from"),
                        .until = read_local_time(section, "until"),
                        .blocks = 0,
                        .lead = static_cast<Seconds>(section.integer("lead")),
                        .author = section.text("by")};
  std::ranges::sort(window.sites);
  for (const auto& word : section.texts("blocks")) window.blocks |= read_work(section, word);
  if (const auto why = refusal(window)) section.refuse("window " + window.name + ": " + *why);
  return window;
}

std::pair<std::string, std::uint32_t> read_withdrawal(const Section& section) {
  const long version = section.integer("version");
  if (version < 1) section.refuse("version counts from 1", "version");
  return {section.title(), static_cast<std::uint32_t>(version)};
}

// The end of an exception, given in UTC, as Unix time; 0 if the time does not exist.
Seconds utc_seconds(const freeze::LocalTime& until) {
  const freeze::Window window{
      .name = "e", .zone = "UTC", .from = {1970, 1, 1, 0, 0}, .until = until, .author = "e"};
  const auto spans = freeze::spans(window, 0, kMaxUnixTime, 0);
  return spans.empty() ? 0 : spans.front().until;
}

freeze::Exception read_exception(const Section& section, Seconds now) {
  const auto approvers = section.texts("approvers");
  if (approvers.size() != kRequiredApprovers)
    section.refuse("an exception needs exactly two approvers", "approvers");
  const auto until = read_local_time(section, "until");
  if (until.year == 0) section.refuse("until needs a year", "until");
  freeze::Exception exception{.change = section.text("change"),
                              .window = section.text("window"),
                              .reason = section.text("reason"),
                              .approvers = {approvers[0], approvers[1]},
                              .version = static_cast<std::uint32_t>(section.integer("version")),
                              .until = utc_seconds(until)};
  if (const auto why = refusal(exception, now)) section.refuse("exception " + section.title() + ": " + *why);
  return exception;
}

[[noreturn]] void refuse_change(const Section& section, const std::string& why, const std::string& key = {}) {
  section.refuse(fmt::format("change {}: {}", section.title(), why), key);
}

// Joins lines "path=value". Only settings that a router applies while it serves are allowed.
std::string join_settings(const Section& section, const std::vector<std::string>& lines) {
  std::string joined;
  for (const auto& line : lines) {
    std::string_view value = line;
    const std::string key(take_field(value, '='));
    if (!config::is_live_setting(key))
      refuse_change(
          section,
          fmt::format("'{}' cannot be changed while a router serves; it needs a release or a restart", key),
          key);
    if (value.empty() || value.find_first_of("\n ") != std::string_view::npos)
      refuse_change(section, fmt::format("'{}', expected path=value", line), key);
    joined.append(joined.empty() ? "" : "\n").append(line);
  }
  return joined;
}

std::string read_body(const Section& section, std::uint8_t work) {
  const auto settings = section.texts("settings");
  auto program = section.text("program");
  if (work == freeze::kRelease) {
    if (program.empty() || !settings.empty())
      refuse_change(section, "a release needs program and must not have settings");
    return program;
  }
  if (settings.empty() || !program.empty())
    refuse_change(section, "a change of settings needs settings and must not have program");
  return join_settings(section, settings);
}

rollout::RolloutPlan read_change(const Section& section) {
  rollout::RolloutPlan document{.name = section.title(),
                                .work = read_work(section, section.text("work")),
                                .before = section.text("before"),
                                .after = section.text("after"),
                                .author = section.text("by"),
                                .body = {}};
  document.body = read_body(section, document.work);
  if (auto stages = section.numbers("stages"); !stages.empty()) document.stages = std::move(stages);
  document.min_requests = static_cast<std::uint64_t>(std::max(0L, section.integer("txns")));
  document.min_stage_time = section.number("least");
  document.max_stage_time = section.number("longest");
  document.warm_up = section.number("warm_up");
  document.ready_within = section.number("ready_in");
  document.max_moving_share = section.number("at_once");
  document.harm_threshold = section.number("harm");
  document.tolerated_ratio = section.number("ratio");
  if (const auto why = refusal(document)) refuse_change(section, *why);
  return document;
}

std::pair<std::string, std::string> read_stop(const Section& section) {
  return {section.title(), section.required_text("why", "a stop needs a reason: key why is missing")};
}

// ---- option tables of the sections; libConfuse copies them ----

cfg_opt_t* window_options() {
  static cfg_opt_t options[] = {CFG_INT("version", 1, CFGF_NONE),
                                CFG_STR_LIST("sites", nullptr, CFGF_NONE),
                                CFG_STR("zone", nullptr, CFGF_NODEFAULT),
                                CFG_STR("from", nullptr, CFGF_NODEFAULT),
                                CFG_STR("until", nullptr, CFGF_NODEFAULT),
                                CFG_STR_LIST("blocks", const_cast<char*>("{settings, release}"), CFGF_NONE),
                                CFG_INT("lead", 0, CFGF_NONE),
                                CFG_STR("by", nullptr, CFGF_NODEFAULT),
                                CFG_END()};
  return options;
}

cfg_opt_t* exception_options() {
  static cfg_opt_t options[] = {CFG_STR("change", nullptr, CFGF_NODEFAULT),
                                CFG_STR("window", nullptr, CFGF_NODEFAULT),
                                CFG_STR("reason", nullptr, CFGF_NODEFAULT),
                                CFG_STR_LIST("approvers", nullptr, CFGF_NONE),
                                CFG_INT("version", 1, CFGF_NONE),
                                CFG_STR("until", nullptr, CFGF_NODEFAULT),
                                CFG_END()};
  return options;
}

cfg_opt_t* change_options() {
  const rollout::RolloutPlan defaults;
  static cfg_opt_t options[] = {CFG_STR("work", "settings", CFGF_NONE),
                                CFG_STR("before", nullptr, CFGF_NODEFAULT),
                                CFG_STR("after", nullptr, CFGF_NODEFAULT),
                                CFG_STR("by", nullptr, CFGF_NODEFAULT),
                                CFG_STR_LIST("settings", nullptr, CFGF_NONE),
                                CFG_STR("program", nullptr, CFGF_NODEFAULT),
                                CFG_FLOAT_LIST("stages", nullptr, CFGF_NONE),
                                CFG_INT("txns", static_cast<long>(defaults.min_requests), CFGF_NONE),
                                CFG_FLOAT("least", defaults.min_stage_time, CFGF_NONE),
                                CFG_FLOAT("longest", defaults.max_stage_time, CFGF_NONE),
                                CFG_FLOAT("warm_up", defaults.warm_up, CFGF_NONE),
                                CFG_FLOAT("ready_in", defaults.ready_within, CFGF_NONE),
                                CFG_FLOAT("at_once", defaults.max_moving_share, CFGF_NONE),
                                CFG_FLOAT("harm", defaults.harm_threshold, CFGF_NONE),
                                CFG_FLOAT("ratio", defaults.tolerated_ratio, CFGF_NONE),
                                CFG_END()};
  return options;
}

cfg_opt_t* document_options() {
  constexpr auto kTitled = CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES;
  static cfg_opt_t withdraw[] = {CFG_INT("version", 1, CFGF_NONE), CFG_END()};
  static cfg_opt_t stop[] = {CFG_STR("why", nullptr, CFGF_NODEFAULT), CFG_END()};
  static cfg_opt_t options[] = {CFG_SEC("window", window_options(), kTitled),
                                CFG_SEC("withdraw", withdraw, kTitled),
                                CFG_SEC("exception", exception_options(), kTitled),
                                CFG_SEC("change", change_options(), kTitled),
                                CFG_SEC("stop", stop, kTitled),
                                CFG_INT(config::kEndOption, 0, CFGF_NONE),
                                CFG_END()};
  return options;
}

void read_file(const std::string& path, Seconds now, ChangeDocuments& all) {
  config::Document document(path, document_options());
  const auto root = document.read();
  for (const auto& section : root.sections("window")) all.windows.push_back(read_window(section));
  for (const auto& section : root.sections("withdraw")) all.withdrawals.push_back(read_withdrawal(section));
  for (const auto& section : root.sections("exception"))
    all.exceptions.push_back(read_exception(section, now));
  for (const auto& section : root.sections("change")) all.changes.push_back(read_change(section));
  for (const auto& section : root.sections("stop")) all.stops.push_back(read_stop(section));
}

}  // namespace

ChangeDocuments read_change_documents(const std::string& folder, Seconds now) {
  std::vector<std::string> paths;
  std::error_code error;
  for (const auto& entry : fs::directory_iterator(folder, error))
    if (entry.path().extension() == ".conf") paths.push_back(entry.path().string());
  if (error) throw InputError("cannot read the folder " + folder + ": " + error.message());
  if (paths.size() > kMaxFiles) throw ConfigError({.file = folder}, "more than 256 documents");
  std::ranges::sort(paths);
  ChangeDocuments documents;
  for (const auto& path : paths) read_file(path, now, documents);
  return documents;
}

}  // namespace walkpaddle::admin
