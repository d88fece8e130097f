#include "config/settings.h"

#include <algorithm>
#include <array>
#include <initializer_list>
#include <iterator>

#include "base/error.h"
#include "base/text.h"

namespace walkpaddle::config {

std::string_view Settings::text(const std::string& path, std::string_view absent) const {
  const auto it = values_.find(path);
  return it == values_.end() || it->second == "-" ? absent : std::string_view(it->second);
}

void Settings::put_lines(std::string_view lines) {
  while (!lines.empty()) {
    auto line = take_field(lines, '\n');
    const auto path = take_field(line, '=');
    put(std::string(path), std::string(line));
  }
}

double Settings::number(const std::string& path, double absent) const {
  const auto value = text(path);
  return value.empty() ? absent : parse<double>(value, path);
}

bool Settings::flag(const std::string& path, bool absent) const {
  const auto value = text(path);
  return value.empty() ? absent : value == "true" || value == "1";
}

std::string_view Settings::item(const std::string& path, std::size_t at) const {
  auto rest = text(path);
  for (; at > 0 && !rest.empty(); --at) take_field(rest, ',');
  return take_field(rest, ',');
}

double Settings::item_number(const std::string& path, std::size_t at) const {
  const auto value = item(path, at);
  return value.empty() ? 0 : parse<double>(value, path);
}

namespace {

std::string class_path(std::size_t n) { return "categories." + std::to_string(n) + "."; }

RequestClass read_request_class(const Settings& settings, std::size_t n) {
  const auto path = class_path(n);
  RequestClass request_class;
  request_class.idempotency = value_of_name(
      settings.text(path + "effect"), {{"free", Idempotency::idempotent}, {"guarded", Idempotency::with_key}},
      Idempotency::non_idempotent);
  request_class.deduplication = value_of_name(
      settings.text(path + "group"),
      {{"zone", DeduplicationScope::location}, {"cell", DeduplicationScope::cell}}, DeduplicationScope::all);
  request_class.deduplication_window = settings.duration(path + "window");
  request_class.latency_objective = settings.duration(path + "aim");
  request_class.latency_objective_stretch = settings.number(path + "aim_stretch");
  request_class.deadline = settings.duration(path + "deadline");
  request_class.priority = settings.number(path + "gain", 1);
  request_class.max_age = settings.item_number("specifics.class_fresh", n) / 1e3;
  request_class.in_parts = settings.item("specifics.in_parts", n) == "true";
  request_class.uncacheable = settings.item("specifics.pass_on", n) == "true";
  return request_class;
}

// ---- checks ----

// Upper bounds far above any sensible value: a day for times, which are in milliseconds, and for numbers what
// an index or a counter can hold.
constexpr double kDayMs = 86'400'000;
constexpr double kMaxCount = 1'000'000;
constexpr double kMaxTickMs = 1000;
constexpr double kMaxRate = 1e9;

struct Range {
  const char* key;
  double min;
  double max;
};

constexpr Range kRanges[] = {{"fleet_size", 1, kMaxCount},
                             {"locality", 0, kMaxCount},
                             {"tick", 0, kMaxTickMs},
                             {"specifics.second_tier_kind", -1, kMaxCount},
                             {"specifics.origin_kind", -1, kMaxCount},
                             {"specifics.client_kb_per_s", 0, kMaxRate},
                             {"specifics.upper_cold_from", 0, 1},
                             {"specifics.upper_fall_multiple", 0, kMaxCount},
                             {"specifics.parent_warms_in", 0, kDayMs},
                             {"specifics.purge_settles", 0, kDayMs},
                             {"rules.cold_from", 0, 1},
                             {"rules.fall_multiple", 0, kMaxCount},
                             {"rules.warm_after", 0, kDayMs},
                             {"rules.overload_for", 0, kDayMs},
                             {"allowed.max_attempts", 1, kMaxCount},
                             {"allowed.max_retry_after", 0, kDayMs},
                             {"allowed.streams_per_conn", 1, kMaxCount},
                             {"allowed.dial_timeout", 0, kDayMs},
                             {"allowed.idle_close", 0, kDayMs}};
constexpr Range kClassRanges[] = {{"window", 0, kDayMs},
                                  {"aim", 0, kDayMs},
                                  {"deadline", 0, kDayMs},
                                  {"aim_stretch", 0, kMaxCount},
                                  {"gain", 0, kMaxCount}};

constexpr std::size_t kMaxWords = 4;
struct Words {
  const char* key;
  std::array<std::string_view, kMaxWords> allowed;  // unused elements are empty
};

constexpr Words kWords[] = {{"specifics.direct", {"true", "false", "1", "0"}},
                            {"specifics.merges_fills", {"true", "false", "1", "0"}},
                            {"allowed.cancel", {"true", "false", "1", "0"}},
                            {"allowed.retry_after", {"true", "false", "1", "0"}},
                            {"client_habits.marks_retry", {"true", "false", "1", "0"}},
                            {"specifics.peers_fill", {"none", "location", "any"}},
                            {"specifics.notes_given", {"none", "hit", "all"}},
                            {"weights", {"none", "nominal", "rough", "live"}},
                            {"registry_mode", {"push", "ask"}},
                            {"report.source", {"none", "answers", "probe"}}};
constexpr Words kClassWords[] = {{"effect", {"free", "guarded", "single_shot"}},
                                 {"group", {"all", "zone", "cell"}}};

[[noreturn]] void refuse(const std::string& key, std::string_view value, const std::string& allowed) {
  throw ConfigError({.file = "configuration", .key = "settings." + key}, value, allowed);
}

std::string plain_text(double number) {
  auto text = std::to_string(number);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text;
}

void check_range(const Settings& settings, const std::string& path, const Range& range) {
  const auto key = path + range.key;
  const auto text = settings.text(key);
  if (text.empty()) return;
  const double value = parse_or(text, range.max + 1);
  if (value < range.min || value > range.max)
    refuse(key, text, plain_text(range.min) + " to " + plain_text(range.max));
}

void check_words(const Settings& settings, const std::string& path, const Words& words) {
  const auto key = path + words.key;
  const auto text = settings.text(key);
  if (text.empty() || std::ranges::find(words.allowed, text) != words.allowed.end()) return;
  std::string allowed;
  for (const auto word : words.allowed)
    if (!word.empty()) allowed.append(allowed.empty() ? "" : " or ").append(word);
  refuse(key, text, allowed);
}

void check_request_class(const Settings& settings, std::size_t n) {
  const auto path = class_path(n);
  for (const auto& words : kClassWords) check_words(settings, path, words);
  for (const auto& range : kClassRanges) check_range(settings, path, range);
  const auto window = settings.text(path + "window");
  if (settings.text(path + "effect") == "guarded" && !window.empty() &&
      settings.duration(path + "window") <= 0)
    refuse(path + "window", window, "more than 0 for a guarded class");
}

// A list of values by class is absent or has one value for each class.
void check_class_lists(const Settings& settings, int classes) {
  for (const std::string key : {"specifics.class_fresh", "specifics.in_parts", "specifics.pass_on"}) {
    const auto list = settings.text(key);
    if (!list.empty() && std::ranges::count(list, ',') + 1 != classes)
      refuse(key, list, "one value for each of the " + std::to_string(classes) + " classes");
  }
}

void check_placement(const Settings& settings) {
  const auto location = static_cast<std::size_t>(settings.integer("locality"));
  const auto text = settings.item("specifics.seats_by_zone", location);
  if (text.empty()) return;
  const double here = parse_or(text, -1.0);
  const double everywhere = settings.number("fleet_size", here);
  if (here < 0 || here > everywhere)
    refuse("specifics.seats_by_zone", text, "0 to fleet_size at this location");
}

void check_roles(const Settings& settings) {
  const std::string key = "specifics.second_tier_kind";
  const int parents = settings.integer(key, -1);
  if (parents >= 0 && parents == settings.integer("specifics.origin_kind", -1))
    refuse(key, settings.text(key), "a kind other than origin_kind");
}

void check_load_reports(const Settings& settings) {
  if (settings.text("report.source") == "answers" && settings.text("report.names").empty())
    refuse("report.names", "", "names of the reported values, which report.source = answers requires");
}

}  // namespace

void check_settings(const Settings& settings) {
  for (const auto& range : kRanges) check_range(settings, "", range);
  for (const auto& words : kWords) check_words(settings, "", words);
  const int classes = settings.integer("categories.count");
  for (int n = 0; n < classes; ++n) check_request_class(settings, static_cast<std::size_t>(n));
  check_class_lists(settings, classes);
  check_placement(settings);
  check_roles(settings);
  check_load_reports(settings);
}

std::vector<RequestClass> request_classes(const Settings& settings) {
  std::vector<RequestClass> classes;
  const auto count = static_cast<std::size_t>(settings.number("categories.count"));
  for (std::size_t n = 0; n < count; ++n) classes.push_back(read_request_class(settings, n));
  return classes;
}

void apply_settings(const Settings& settings, RoutingPolicy& policy) {
  const int location = settings.integer("locality");
  const int here =
      static_cast<int>(settings.item_number("specifics.seats_by_zone", static_cast<std::size_t>(location)));
  policy.set_placement({location, std::max(1, here), std::max(1, settings.integer("fleet_size", 1))});
  policy.set_roles({settings.integer("specifics.second_tier_kind", -1),
                    settings.integer("specifics.origin_kind", -1), settings.flag("specifics.direct")});
  for (const auto& request_class : request_classes(settings)) policy.add_request_class(request_class);
  const SlowStartSettings caches{
      settings.number("rules.cold_from", 1), settings.number("rules.fall_multiple", 1),
      settings.duration("rules.warm_after"), settings.duration("rules.overload_for")};
  const SlowStartSettings parents{
      settings.number("specifics.upper_cold_from", 1), settings.number("specifics.upper_fall_multiple", 1),
      settings.duration("specifics.parent_warms_in"), settings.duration("rules.overload_for")};
  policy.set_slow_start(caches, parents);
  const auto weights = settings.text("weights");
  policy.set_weights_are_transfers(weights == "nominal" || weights == "rough");
  policy.set_discovery_polling(settings.text("registry_mode") == "ask");
  apply_live_settings(settings, policy);
}

bool is_live_setting(std::string_view path) {
  static constexpr std::string_view kLive[] = {
      "allowed.max_attempts", "allowed.cancel",         "allowed.retry_after",   "allowed.max_retry_after",
      "specifics.peers_fill", "specifics.merges_fills", "specifics.notes_given", "client_habits.marks_retry"};
  return std::ranges::find(kLive, path) != std::end(kLive);
}

void apply_live_settings(const Settings& settings, RoutingPolicy& policy) {
  policy.set_retries({settings.integer("allowed.max_attempts", 1), settings.flag("allowed.cancel")});
  const auto sibling_fills =
      value_of_name(settings.text("specifics.peers_fill"),
                    {{"location", SiblingFills::location}, {"any", SiblingFills::any}}, SiblingFills::none);
  const auto reporting =
      value_of_name(settings.text("specifics.notes_given"),
                    {{"all", FillReporting::all}, {"hit", FillReporting::hit}}, FillReporting::none);
  policy.set_fills({sibling_fills, settings.flag("specifics.merges_fills"), reporting,
                    settings.number("specifics.client_kb_per_s")});
  const bool retry_after = settings.flag("allowed.retry_after");
  policy.set_client_settings({settings.flag("client_habits.marks_retry"),
                              retry_after ? settings.duration("allowed.max_retry_after") : 0});
}

}  // namespace walkpaddle::config
