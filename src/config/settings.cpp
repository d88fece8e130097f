#include "config/settings.h"

#include <algorithm>

#include "base/text.h"

namespace walkpaddle {

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

RequestClass rule_of(const Settings& s, std::size_t n) {
  const std::string at = "categories." + std::to_string(n) + ".";
  RequestClass r;
  r.idempotency = value_of_name(s.text(at + "effect"),
                                {{"free", Idempotency::idempotent}, {"guarded", Idempotency::with_key}},
                                Idempotency::non_idempotent);
  r.deduplication = value_of_name(
      s.text(at + "group"), {{"zone", DeduplicationScope::location}, {"cell", DeduplicationScope::cell}},
      DeduplicationScope::all);
  r.deduplication_window = s.ms(at + "window");
  r.latency_objective = s.ms(at + "aim");
  r.latency_objective_stretch = s.number(at + "aim_stretch");
  r.deadline = s.ms(at + "deadline");
  r.priority = s.number(at + "gain", 1);
  r.max_age = s.item_number("specifics.class_fresh", n) / 1e3;
  r.in_parts = s.item("specifics.in_parts", n) == "true";
  r.uncacheable = s.item("specifics.pass_on", n) == "true";
  return r;
}

std::string range_text(double least, double most) {
  const auto plain = [](double v) {
    auto text = std::to_string(v);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') text.pop_back();
    return text;
  };
  return plain(least) + " to " + plain(most);
}

[[noreturn]] void refuse(const std::string& key, std::string_view got, const std::string& expected) {
  throw InputError("configuration: settings." + key + " is '" + std::string(got.substr(0, 40)) +
                   "', expected " + expected);
}

void number_within(const Settings& s, const std::string& key, double least, double most) {
  const auto text = s.text(key);
  const double value = text.empty() ? least : parse_or(text, most + 1);
  if (value < least || value > most) refuse(key, text, range_text(least, most));
}

void one_of(const Settings& s, const std::string& key, std::initializer_list<std::string_view> words) {
  const auto text = s.text(key);
  if (text.empty() || std::ranges::find(words, text) != words.end()) return;
  std::string known;
  for (const auto w : words) known.append(known.empty() ? "" : " or ").append(w);
  refuse(key, text, known);
}

}  // namespace

void check(const Settings& s) {
  // Times in milliseconds; a day is longer than any of them can mean. Sizes: what an index or a count can
  // hold.
  constexpr double kDay = 86'400'000, kMany = 1'000'000;
  const struct {
    const char* key;
    double least, most;
  } numbers[] = {{"fleet_size", 1, kMany},
                 {"locality", 0, kMany},
                 {"tick", 0, 1000},
                 {"specifics.second_tier_kind", -1, kMany},
                 {"specifics.origin_kind", -1, kMany},
                 {"specifics.client_kb_per_s", 0, 1e9},
                 {"specifics.upper_cold_from", 0, 1},
                 {"specifics.upper_fall_multiple", 0, kMany},
                 {"specifics.parent_warms_in", 0, kDay},
                 {"specifics.purge_settles", 0, kDay},
                 {"rules.cold_from", 0, 1},
                 {"rules.fall_multiple", 0, kMany},
                 {"rules.warm_after", 0, kDay},
                 {"rules.overload_for", 0, kDay},
                 {"allowed.max_attempts", 1, kMany},
                 {"allowed.max_retry_after", 0, kDay},
                 {"allowed.streams_per_conn", 1, kMany},
                 {"allowed.dial_timeout", 0, kDay},
                 {"allowed.idle_close", 0, kDay}};
  for (const auto& n : numbers) number_within(s, n.key, n.least, n.most);
  for (const auto* key : {"specifics.direct", "specifics.merges_fills", "allowed.cancel",
                          "allowed.retry_after", "client_habits.marks_retry"})
    one_of(s, key, {"true", "false", "1", "0"});
  one_of(s, "specifics.peers_fill", {"none", "location", "any"});
  one_of(s, "specifics.notes_given", {"none", "hit", "all"});
  one_of(s, "weights", {"none", "nominal", "rough", "live"});
  one_of(s, "registry_mode", {"push", "ask"});
  one_of(s, "report.source", {"none", "answers", "probe"});

  const int rules = s.whole("categories.count");
  for (int n = 0; n < rules; ++n) {
    const auto at = "categories." + std::to_string(n) + ".";
    one_of(s, at + "effect", {"free", "guarded", "single_shot"});
    one_of(s, at + "group", {"all", "zone", "cell"});
    for (const auto* key : {"window", "aim", "deadline"}) number_within(s, at + key, 0, kDay);
    for (const auto* key : {"aim_stretch", "gain"}) number_within(s, at + key, 0, kMany);
    if (s.text(at + "effect") == "guarded" && !s.text(at + "window").empty() && s.ms(at + "window") <= 0)
      refuse(at + "window", s.text(at + "window"), "more than 0 for a guarded class");
  }
  // Lists by class and by zone.
  for (const std::string key : {"class_fresh", "in_parts", "pass_on"}) {
    const auto path = "specifics." + key, all = std::string(s.text(path));
    if (!all.empty() && std::ranges::count(all, ',') + 1 != rules)
      refuse(path, all, "one value for each of the " + std::to_string(rules) + " classes");
  }
  const auto seats = s.item("specifics.seats_by_zone", static_cast<std::size_t>(s.whole("locality")));
  if (!seats.empty()) {
    const double here = parse_or(seats, -1.0), all = s.number("fleet_size", here);
    if (here < 0 || here > all) refuse("specifics.seats_by_zone", seats, "0 to fleet_size here");
  }
  const int upper = s.whole("specifics.second_tier_kind", -1);
  if (upper >= 0 && upper == s.whole("specifics.origin_kind", -1))
    refuse("specifics.second_tier_kind", s.text("specifics.second_tier_kind"),
           "another kind than origin_kind");
  if (s.text("report.source") == "answers" && s.text("report.names").empty())
    refuse("report.names", "", "the names of the values, as report.source is 'answers'");
}

std::vector<RequestClass> request_classes(const Settings& s) {
  std::vector<RequestClass> rules;
  const auto count = static_cast<std::size_t>(s.number("categories.count"));
  for (std::size_t n = 0; n < count; ++n) rules.push_back(rule_of(s, n));
  return rules;
}

void apply_settings(const Settings& s, RoutingPolicy& b) {
  const int here = s.whole("locality");
  b.set_placement({here, std::max(1, static_cast<int>(s.item_number("specifics.seats_by_zone", here))),
                   std::max(1, s.whole("fleet_size", 1))});
  b.set_roles({s.whole("specifics.second_tier_kind", -1), s.whole("specifics.origin_kind", -1),
               s.flag("specifics.direct")});
  for (const auto& rule : request_classes(s)) b.add_request_class(rule);
  b.set_slow_start({s.number("rules.cold_from", 1), s.number("rules.fall_multiple", 1),
                    s.ms("rules.warm_after"), s.ms("rules.overload_for")},
                   {s.number("specifics.upper_cold_from", 1), s.number("specifics.upper_fall_multiple", 1),
                    s.ms("specifics.parent_warms_in"), s.ms("rules.overload_for")});
  const auto weights = s.text("weights");
  b.set_weight_meaning(weights == "nominal" || weights == "rough");
  b.set_discovery_polling(s.text("registry_mode") == "ask");
  apply_live_settings(s, b);
}

bool is_live_setting(std::string_view path) {
  static constexpr std::string_view kLive[] = {
      "allowed.max_attempts", "allowed.cancel",         "allowed.retry_after",   "allowed.max_retry_after",
      "specifics.peers_fill", "specifics.merges_fills", "specifics.notes_given", "client_habits.marks_retry"};
  return std::ranges::find(kLive, path) != std::end(kLive);
}

void apply_live_settings(const Settings& s, RoutingPolicy& b) {
  b.set_retries({s.whole("allowed.max_attempts", 1), s.flag("allowed.cancel")});
  b.set_fills(
      {value_of_name(s.text("specifics.peers_fill"),
                     {{"location", SiblingFills::location}, {"any", SiblingFills::any}}, SiblingFills::none),
       s.flag("specifics.merges_fills"),
       value_of_name(s.text("specifics.notes_given"),
                     {{"all", FillReporting::all}, {"hit", FillReporting::hit}}, FillReporting::none),
       s.number("specifics.client_kb_per_s")});
  b.set_client_habits({s.flag("client_habits.marks_retry"),
                       s.flag("allowed.retry_after") ? s.ms("allowed.max_retry_after") : 0});
}

}  // namespace walkpaddle
