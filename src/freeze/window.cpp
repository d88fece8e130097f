#include "freeze/window.h"

#include <date/tz.h>

#include <algorithm>
#include <chrono>
#include <stdexcept>

#include "base/text.h"

namespace walkpaddle::freeze {

namespace {

using namespace std::chrono;

// Bounds of what people write; the longest window is most of a year, so that a yearly one has an outside.
constexpr std::size_t kLongestName = 64, kMostSites = 64;
constexpr Seconds kDay = 86400, kLongestLead = 30 * kDay, kLongest = 330 * kDay;

date::year_month_day day_of(const Local& l, int year, bool end) {
  const date::year_month_day day{date::year(year), date::month(static_cast<unsigned>(l.month)),
                                 date::day(static_cast<unsigned>(l.day))};
  if (day.ok()) return day;
  // Only 29 February is refused by some years and not by others.
  return end ? day.year() / date::March / 1 : day.year() / date::February / 28;
}

// The stricter of the moments that a local time may be.
Seconds moment(const Local& l, int year, const date::time_zone& zone, bool end) {
  const auto local =
      date::local_days(day_of(l, year, end)).time_since_epoch() + hours(l.hour) + minutes(l.minute);
  const auto info = zone.get_info(date::local_seconds(duration_cast<seconds>(local)));
  auto offset = info.first.offset;
  if (info.result != date::local_info::unique)
    offset = end ? std::min(info.first.offset, info.second.offset)
                 : std::max(info.first.offset, info.second.offset);
  return static_cast<Seconds>((duration_cast<seconds>(local) - offset).count());
}

int year_of(Seconds at) {
  const date::sys_days day = date::floor<date::days>(date::sys_seconds(seconds(static_cast<long long>(at))));
  return static_cast<int>(date::year_month_day(day).year());
}

bool stands(const Local& l) {
  constexpr int kLeapYear = 2024;
  const date::year_month_day day{date::year(l.year == 0 ? kLeapYear : l.year),
                                 date::month(static_cast<unsigned>(l.month)),
                                 date::day(static_cast<unsigned>(l.day))};
  return day.ok() && l.hour >= 0 && l.hour < 24 && l.minute >= 0 && l.minute < 60 && l.year >= 0 &&
         l.year < 10000;
}

const date::time_zone* zone_of(const std::string& name) try {
  return date::locate_zone(name);
} catch (const std::runtime_error&) {
  return nullptr;
}

Span span(const Window& w, int year, const date::time_zone& zone, Seconds slack) {
  const bool yearly = w.from.year == 0;
  const auto untimed = [](Local l) { return l.year = 0, l; };
  // Over new year a yearly window ends in the next one.
  const int end_year = !yearly ? w.until.year : year + (untimed(w.until) <= untimed(w.from) ? 1 : 0);
  const Seconds from = moment(w.from, yearly ? year : w.from.year, zone, false) - slack;
  return {from - w.lead, from, moment(w.until, end_year, zone, true) + slack};
}

}  // namespace

bool Window::concerns(std::string_view site) const {
  return sites.empty() || std::ranges::find(sites, site) != sites.end();
}

std::optional<Local> read_local(std::string_view text) try {
  Local l;
  const auto number = [](std::string_view digits) {
    if (digits.empty() || digits.size() > 4 || digits.front() == '-') throw_bad_value("number", digits);
    return parse<int>(digits, "number");
  };
  auto day = take_field(text, ' ');
  if (std::ranges::count(day, '-') == 2) {
    l.year = number(take_field(day, '-'));
    if (l.year < 1970) return std::nullopt;
  }
  l.month = number(take_field(day, '-')), l.day = number(day);
  l.hour = number(take_field(text, ':')), l.minute = number(text);
  if (!stands(l)) return std::nullopt;
  return l;
} catch (const InputError&) {
  return std::nullopt;
}

std::string text_of(const Local& l) {
  const auto two = [](int n) { return std::string(n < 10 ? "0" : "") + std::to_string(n); };
  return (l.year > 0 ? std::to_string(l.year) + "-" : std::string()) + two(l.month) + "-" + two(l.day) + " " +
         two(l.hour) + ":" + two(l.minute);
}

std::string text_of_moment(Seconds at) {
  const date::sys_seconds t{seconds(static_cast<long long>(at))};
  return date::format("%Y-%m-%d %H:%M UTC", date::floor<minutes>(t));
}

std::string refusal(const Window& w) {
  if (w.name.empty() || w.name.size() > kLongestName) return "a name of 1 to 64 bytes is needed";
  if (w.version < 1) return "version counts from 1";
  if (w.sites.size() > kMostSites) return "more than 64 sites";
  if (!std::ranges::is_sorted(w.sites)) return "sites that are not in order";
  for (const auto& s : w.sites)
    if (s.empty() || s.size() > kLongestName) return "a site's name of 1 to 64 bytes is needed";
  if (w.by.empty() || w.by.size() > kLongestName) return "by is missing: who declares it";
  if (w.blocks == 0 || w.blocks > kAnyWork) return "it blocks nothing that is known here";
  if (!stands(w.from) || !stands(w.until)) return "a day or time that no calendar has";
  if ((w.from.year == 0) != (w.until.year == 0)) return "one end has a year and the other has none";
  if (!(w.lead >= 0 && w.lead <= kLongestLead)) return "lead is over 30 days";
  const auto* zone = w.zone.empty() ? nullptr : zone_of(w.zone);
  if (zone == nullptr) return "no time zone is named '" + w.zone.substr(0, kLongestName) + "'";
  const auto s = span(w, w.from.year == 0 ? 2024 : w.from.year, *zone, 0);
  if (s.until <= s.from) return "it ends before it begins";
  if (s.until - s.lead > kLongest) return "with its lead it lasts over 330 days: nothing could ever change";
  return "";
}

std::vector<Span> spans(const Window& w, Seconds from, Seconds until, Seconds slack) {
  std::vector<Span> found;
  const auto* zone = zone_of(w.zone);
  if (zone == nullptr) return found;
  const auto add = [&](int year) {
    if (const auto s = span(w, year, *zone, slack); s.until > from && s.lead < until) found.push_back(s);
  };
  if (w.from.year > 0)
    add(w.from.year);
  else
    // The one that began in the year before may last into this; a lead may begin in the year before its
    // window.
    for (int year = year_of(from) - 1; year <= year_of(until) + 1; ++year) add(year);
  return found;
}

}  // namespace walkpaddle::freeze
