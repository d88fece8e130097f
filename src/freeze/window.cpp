#include "freeze/window.h"

#include <date/tz.h>

#include <algorithm>
#include <chrono>
#include <stdexcept>

#include "base/error.h"
#include "base/text.h"

namespace walkpaddle::freeze {

namespace {

using std::chrono::duration_cast, std::chrono::hours, std::chrono::minutes, std::chrono::seconds;

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxSites = 64;
constexpr Seconds kDay = 86400;
constexpr Seconds kMaxLead = 30 * kDay;
/// Most of a year, so that a yearly window has an outside.
constexpr Seconds kMaxDuration = 330 * kDay;
constexpr int kLeapYear = 2024;

/// Which end of a window a local time is.
enum class Edge : std::uint8_t { begin, end };

date::year_month_day calendar_day(const LocalTime& local, int year) {
  return {date::year(year), date::month(static_cast<unsigned>(local.month)),
          date::day(static_cast<unsigned>(local.day))};
}

date::year_month_day day_in_year(const LocalTime& local, int year, Edge edge) {
  const auto day = calendar_day(local, year);
  if (day.ok()) return day;
  // Only 29 February is refused by some years and not by others.
  if (edge == Edge::end) return day.year() / date::March / 1;
  return day.year() / date::February / 28;
}

/// The stricter of the moments that a local time may be.
Seconds moment(const LocalTime& local, int year, const date::time_zone& zone, Edge edge) {
  const auto day = date::local_days(day_in_year(local, year, edge)).time_since_epoch();
  const auto time = duration_cast<seconds>(day + hours(local.hour) + minutes(local.minute));
  const auto info = zone.get_info(date::local_seconds(time));
  auto offset = info.first.offset;
  if (info.result != date::local_info::unique)
    offset = edge == Edge::end ? std::min(info.first.offset, info.second.offset)
                               : std::max(info.first.offset, info.second.offset);
  return static_cast<Seconds>((time - offset).count());
}

int year_of(Seconds at) {
  const date::sys_days day = date::floor<date::days>(date::sys_seconds(seconds(static_cast<long long>(at))));
  return static_cast<int>(date::year_month_day(day).year());
}

bool is_valid(const LocalTime& local) {
  const auto day = calendar_day(local, local.year == 0 ? kLeapYear : local.year);
  return day.ok() && local.hour >= 0 && local.hour < 24 && local.minute >= 0 && local.minute < 60 &&
         local.year >= 0 && local.year < 10000;
}

/// nullptr: the database names none so.
const date::time_zone* find_zone(const std::string& name) try {
  return date::locate_zone(name);
} catch (const std::runtime_error&) {
  return nullptr;
}

/// Over new year a yearly window ends in the next one.
int end_year(const Window& window, int year) {
  if (window.from.year != 0) return window.until.year;
  auto from = window.from;
  auto until = window.until;
  from.year = 0;
  until.year = 0;
  return until <= from ? year + 1 : year;
}

/// The span of a window, of a yearly one that which begins in `year`.
Span span_in_year(const Window& window, int year, const date::time_zone& zone, Seconds slack) {
  const int begin_year = window.from.year == 0 ? year : window.from.year;
  const Seconds from = moment(window.from, begin_year, zone, Edge::begin) - slack;
  const Seconds until = moment(window.until, end_year(window, year), zone, Edge::end) + slack;
  return {from - window.lead, from, until};
}

std::optional<std::string> refusal_of_names(const Window& window) {
  if (window.name.empty() || window.name.size() > kMaxNameBytes) return "a name of 1 to 64 bytes is needed";
  if (window.version < 1) return "version counts from 1";
  if (window.sites.size() > kMaxSites) return "more than 64 sites";
  if (!std::ranges::is_sorted(window.sites)) return "sites that are not in order";
  for (const auto& site : window.sites)
    if (site.empty() || site.size() > kMaxNameBytes) return "a site's name of 1 to 64 bytes is needed";
  if (window.author.empty() || window.author.size() > kMaxNameBytes) return "by is missing: who declares it";
  return std::nullopt;
}

std::optional<std::string> refusal_of_times(const Window& window) {
  if (!is_valid(window.from) || !is_valid(window.until)) return "a day or time that no calendar has";
  if ((window.from.year == 0) != (window.until.year == 0)) return "one end has a year and the other has none";
  const bool lead_in_range = window.lead >= 0 && window.lead <= kMaxLead;
  if (!lead_in_range) return "lead is over 30 days";
  const auto* zone = window.zone.empty() ? nullptr : find_zone(window.zone);
  if (zone == nullptr) return "no time zone is named '" + window.zone.substr(0, kMaxNameBytes) + "'";
  const auto span = span_in_year(window, window.from.year == 0 ? kLeapYear : window.from.year, *zone, 0);
  if (span.until <= span.from) return "it ends before it begins";
  if (span.until - span.lead > kMaxDuration)
    return "with its lead it lasts over 330 days: nothing could ever change";
  return std::nullopt;
}

int parse_number(std::string_view digits) {
  constexpr std::size_t kMaxDigits = 4;
  if (digits.empty() || digits.size() > kMaxDigits || digits.front() == '-')
    throw_bad_value("number", digits);
  return parse<int>(digits, "number");
}

std::string two_digits(int number) { return std::string(number < 10 ? "0" : "") + std::to_string(number); }

}  // namespace

bool Window::applies_to(std::string_view site) const {
  return sites.empty() || std::ranges::find(sites, site) != sites.end();
}

std::optional<LocalTime> parse_local_time(std::string_view text) try {
  constexpr int kFirstYear = 1970;
  LocalTime local;
  auto day = take_field(text, ' ');
  if (std::ranges::count(day, '-') == 2) {
    local.year = parse_number(take_field(day, '-'));
    if (local.year < kFirstYear) return std::nullopt;
  }
  local.month = parse_number(take_field(day, '-'));
  local.day = parse_number(day);
  local.hour = parse_number(take_field(text, ':'));
  local.minute = parse_number(text);
  if (!is_valid(local)) return std::nullopt;
  return local;
} catch (const InputError&) {
  return std::nullopt;
}

std::string to_string(const LocalTime& local) {
  const std::string year = local.year > 0 ? std::to_string(local.year) + "-" : "";
  return year + two_digits(local.month) + "-" + two_digits(local.day) + " " + two_digits(local.hour) + ":" +
         two_digits(local.minute);
}

std::string format_utc(Seconds at) {
  const date::sys_seconds time{seconds(static_cast<long long>(at))};
  return date::format("%Y-%m-%d %H:%M UTC", date::floor<minutes>(time));
}

std::optional<std::string> refusal(const Window& window) {
  if (auto why = refusal_of_names(window)) return why;
  if (window.blocks == 0 || window.blocks > kAnyWork) return "it blocks nothing that is known here";
  return refusal_of_times(window);
}

std::vector<Span> spans(const Window& window, Seconds from, Seconds until, Seconds slack) {
  std::vector<Span> found;
  const auto* zone = find_zone(window.zone);
  if (zone == nullptr) return found;
  const bool yearly = window.from.year == 0;
  // A yearly one that began in the year before may last into this; a lead may begin in the year before its
  // window.
  const int first = yearly ? year_of(from) - 1 : window.from.year;
  const int last = yearly ? year_of(until) + 1 : window.from.year;
  for (int year = first; year <= last; ++year) {
    const auto span = span_in_year(window, year, *zone, slack);
    if (span.until > from && span.lead < until) found.push_back(span);
  }
  return found;
}

}  // namespace walkpaddle::freeze
