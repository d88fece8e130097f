#include "settings.h"

#include <algorithm>

#include "text.h"

namespace walkpaddle {

std::uint64_t stable_hash(std::string_view text) {
  std::uint64_t h = 14695981039346656037u;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211u;
  h = (h ^ (h >> 33)) * 0xff51afd7ed558ccdu;
  return h ^ (h >> 33);
}

std::string_view Settings::text(const std::string& path, std::string_view absent) const {
  const auto it = values_.find(path);
  return it == values_.end() || it->second == "-" ? absent : std::string_view(it->second);
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
  for (; at > 0 && !rest.empty(); --at) cut(rest, ',');
  return cut(rest, ',');
}

double Settings::item_number(const std::string& path, std::size_t at) const {
  const auto value = item(path, at);
  return value.empty() ? 0 : parse<double>(value, path);
}

namespace {

RemapRule rule_of(const Settings& s, std::size_t n) {
  const std::string at = "categories." + std::to_string(n) + ".";
  RemapRule r;
  r.effect = choose(s.text(at + "effect"), {{"free", Effect::repeatable}, {"guarded", Effect::keyed}},
                    Effect::unrepeatable);
  r.group = choose(s.text(at + "group"), {{"zone", Group::location}, {"cell", Group::cell}}, Group::all);
  r.window = s.ms(at + "window");
  r.sla_time = s.ms(at + "aim");
  r.sla_stretch = s.number(at + "aim_stretch");
  r.time_limit = s.ms(at + "deadline");
  r.importance = s.number(at + "gain", 1);
  r.late_share = s.number(at + "late_worth");
  r.fresh = s.item_number("specifics.class_fresh", n) / 1e3;
  r.grace = s.item_number("specifics.class_grace", n) / 1e3;
  r.old_share = s.item_number("specifics.stale_earns", n);
  r.in_parts = s.item("specifics.in_parts", n) == "true";
  r.uncacheable = s.item("specifics.pass_on", n) == "true";
  return r;
}

}  // namespace

void hand_over(const Settings& s, Brain& b) {
  const int here = s.whole("locality");
  b.set_place({here, std::max(1, static_cast<int>(s.item_number("specifics.seats_by_zone", here))),
               std::max(1, s.whole("fleet_size", 1))});
  b.set_roles({s.whole("specifics.second_tier_kind", -1), s.whole("specifics.origin_kind", -1),
               s.flag("specifics.direct")});
  const auto rules = static_cast<std::size_t>(s.number("categories.count"));
  for (std::size_t n = 0; n < rules; ++n) b.add_rule(rule_of(s, n));
  b.set_hopping({s.whole("allowed.max_attempts", 1), s.flag("allowed.cancel")});
  b.set_filling(
      {choose(s.text("specifics.peers_fill"), {{"location", Siblings::location}, {"any", Siblings::any}},
              Siblings::none),
       s.flag("specifics.merges_fills"),
       choose(s.text("specifics.notes_given"), {{"all", Notes::all}, {"hit", Notes::hit}}, Notes::none),
       s.number("specifics.client_kb_per_s")});
  b.set_cold({s.number("rules.cold_from", 1), s.number("rules.fall_multiple", 1), s.ms("rules.warm_after"),
              s.ms("rules.overload_for")},
             {s.number("specifics.upper_cold_from", 1), s.number("specifics.upper_fall_multiple", 1),
              s.ms("specifics.parent_warms_in"), s.ms("rules.overload_for")});
  const auto weights = s.text("weights");
  b.set_weights(weights == "nominal" || weights == "rough");
  b.set_list(s.text("registry_mode") == "ask");
  b.set_clients({s.flag("client_habits.marks_retry"),
                 s.flag("allowed.retry_after") ? s.ms("allowed.max_retry_after") : 0});
}

}  // namespace walkpaddle
