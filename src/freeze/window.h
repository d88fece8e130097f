/// \file
/// Freeze windows: times in which a fleet's sites do not change, as people declare them, in local time of a
/// named zone, once or each year. Without I/O; zones come from the date library (Howard Hinnant), which reads
/// the system's time-zone database the first time that a zone is named.
///
/// Where a local time does not fall on one moment the stricter reading holds: a begin in the hour that summer
/// time takes away or gives twice is the earlier moment, an end the later one; 29 February is the 28th as a
/// begin and the 1st of March as an end in years that lack it.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace walkpaddle::freeze {

/// What a change changes, as bits: a window blocks some of them.
using Work = std::uint8_t;
constexpr Work kSettings = 1;                    ///< settings that change while a router serves
constexpr Work kRelease = 2;                     ///< the program
constexpr Work kAnyWork = kSettings | kRelease;  ///< both

/// A local time, to the minute.
struct LocalTime {
  int year = 0;    ///< 0: each year
  int month = 1;   ///< 1 to 12
  int day = 1;     ///< 1 to 31
  int hour = 0;    ///< 0 to 23
  int minute = 0;  ///< 0 to 59
  /// By time; those of each year come first.
  auto operator<=>(const LocalTime&) const = default;
};

/// A freeze window as declared. The order of the fields orders copies of one version.
struct Window {
  std::string name;                  ///< 1 to 64 bytes
  std::uint32_t version = 1;         ///< a later one replaces an earlier one
  std::vector<std::string> sites{};  ///< sorted; empty: all
  std::string zone;                  ///< as the time-zone database names it: "Europe/London"
  LocalTime from;                    ///< its begin
  LocalTime until;                   ///< its end
  Work blocks = kAnyWork;            ///< what does not go on in it
  Seconds lead = 0;                  ///< before it begins nothing is started that could run into it
  std::string author;                ///< who declared it
  /// Field by field, in the order of the declarations.
  auto operator<=>(const Window&) const = default;
  /// Whether it is one of the site's.
  bool applies_to(std::string_view site) const;
};

/// A time in which nothing goes on: the lead, the window itself, and the slack of clocks on both sides. Unix
/// times; lead <= from < until.
struct Span {
  Seconds lead = 0;   ///< nothing starts from here on
  Seconds from = 0;   ///< the window begins
  Seconds until = 0;  ///< the window has ended
};

/// What stands in a document: "2026-12-24 18:00", or "12-24 18:00" for each year. nullopt if it cannot be
/// read.
std::optional<LocalTime> parse_local_time(std::string_view text);
/// As parse_local_time() reads it.
std::string to_string(const LocalTime& local);
/// A Unix time in UTC, to the minute: "2027-01-02 09:00 UTC".
std::string format_utc(Seconds at);

/// What is wrong with a window, in words for its author; nullopt: nothing.
std::optional<std::string> refusal(const Window& window);

/// The spans of a good window that end after `from` and begin before `until`, in order; `slack` on both
/// sides.
std::vector<Span> spans(const Window& window, Seconds from, Seconds until, Seconds slack);

}  // namespace walkpaddle::freeze
