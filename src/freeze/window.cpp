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
/// Less than a year, so that a yearly window leaves some time for changes.
constexpr Seconds kMaxDuration = 330 * kDay;
constexpr int kLeapYear = 2024;

/// Which edge of a window a local time marks.
enum class Edge : std::uint8_t { begin, end };

date::year_month_day calendar_day(const LocalTime& local, int year) {
  return {date::year(year), date::month(static_cast<unsigned>(local.month)),
          date::day(static_cast<unsigned>(local.day))};
}

date::year_month_day day_in_year(const LocalTime& local, int year, Edge edge) {
  const auto day = calendar_day(local, year);
  if (day.ok()) return day;
  // 29 February is the only valid day that some years lack.
  if (edge == Edge::end) return day.year() / date::March / 1;
  return day.year() / date::February / 28;
}

/// Converts a local time to Unix time. If it is ambiguous or does not exist, the stricter moment is returned.
Seconds to_unix_time(const LocalTime& local, int year, const date::time_zone& zone, Edge edge) {
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

/// Returns nullptr if the time-zone database has no such zone.
const date::time_zone* find_zone(const std::string& name) try {
  return date::locate_zone(name);
} catch (const std::runtime_error&) {
  return nullptr;
}

/// The year in which a window ends. A yearly window over new year ends in the year after `year`.
int end_year(const Window& window, int year) {
  if (window.from.year != 0) return window.until.year;
  auto from = window.from;
  auto until = window.until;
  from.year = 0;
  until.year = 0;
  return until <= from ? year + 1 : year;
}

/// The occurrence of a window; of a yearly window, the one that begins in `year`.
Span span_in_year(const Window& window, int year, const date::time_zone& zone, Seconds slack) {
  const int begin_year = window.from.year == 0 ? year : window.from.year;
  const Seconds from = to_unix_time(window.from, begin_year, zone, Edge::begin) - slack;
  const Seconds until = to_unix_time(window.until, end_year(window, year), zone, Edge::end) + slack;
  return {from - window.lead, from, until};
}

std::optional<std::string> check_names(const Window& window) {
  if (window.name.empty() || window.name.size() > kMaxNameBytes) return "a name of 1 to 64 bytes is needed";
  if (window.version < 1) return "version counts from 1";
  if (window.sites.size() > kMaxSites) return "it names more than 64 sites";
  if (!std::ranges::is_sorted(window.sites)) return "its sites are not sorted";
  for (const auto& site : window.sites)
    if (site.empty() || site.size() > kMaxNameBytes) return "a site's name of 1 to 64 bytes is needed";
  if (window.author.empty() || window.author.size() > kMaxNameBytes)
    return "by has to name its author in 1 to 64 bytes";
  return std::nullopt;
}

std::optional<std::string> check_times(const Window& window) {
  if (!is_valid(window.from) || !is_valid(window.until)) return "it has a day or time that does not exist";
  if ((window.from.year == 0) != (window.until.year == 0))
    return "either both from and until have a year, or neither has one";
  const bool lead_in_range = window.lead >= 0 && window.lead <= kMaxLead;
  if (!lead_in_range) return "lead is out of range, 0 to 30 days";
  const auto* zone = window.zone.empty() ? nullptr : find_zone(window.zone);
  if (zone == nullptr) return "unknown time zone '" + window.zone.substr(0, kMaxNameBytes) + "'";
  const auto span = span_in_year(window, window.from.year == 0 ? kLeapYear : window.from.year, *zone, 0);
  if (span.until <= span.from) return "it ends before it begins";
  if (span.until - span.lead_start > kMaxDuration)
    return "with its lead it lasts over 330 days, which would leave no time for changes";
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
  if (auto why = check_names(window)) return why;
  if (window.blocks == 0 || window.blocks > kAnyWork) return "it blocks no known kind of change";
  return check_times(window);
}

std::vector<Span> spans(const Window& window, Seconds from, Seconds until, Seconds slack) {
  std::vector<Span> found;
  const auto* zone = find_zone(window.zone);
  if (zone == nullptr) return found;
  const bool yearly = window.from.year == 0;
  // A yearly window that began in the previous year may last into this one, and the lead of one that begins
  // in the next year may start in this one.
  const int first = yearly ? year_of(from) - 1 : window.from.year;
  const int last = yearly ? year_of(until) + 1 : window.from.year;
  for (int year = first; year <= last; ++year) {
    const auto span = span_in_year(window, year, *zone, slack);
    if (span.until > from && span.lead_start < until) found.push_back(span);
  }
  return found;
}

}  // namespace walkpaddle::freeze
