/// \file
/// Freeze windows: declared periods in which sites of the fleet must not change. They are given in the local
/// time of a time zone, once or for each year. No I/O, except that the date library (Howard Hinnant) reads
/// the system's time-zone database the first time that a zone is looked up.
///
/// A local time that summer time skips or repeats is resolved to the stricter moment: the earlier one for the
/// begin of a window, the later one for its end. In a year without 29 February, that day is the 28th as a
/// begin and 1 March as an end.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace walkpaddle::freeze {

/// The kinds of change, as bits. A change has some, and a window blocks some.
using Work = std::uint8_t;
constexpr Work kSettings = 1;                    ///< settings, which change while a router serves
constexpr Work kRelease = 2;                     ///< a new release of the program
constexpr Work kAnyWork = kSettings | kRelease;  ///< both

/// A local time with a precision of one minute.
struct LocalTime {
  int year = 0;    ///< 0: each year
  int month = 1;   ///< 1 to 12
  int day = 1;     ///< 1 to 31
  int hour = 0;    ///< 0 to 23
  int minute = 0;  ///< 0 to 59
  /// Orders by time; yearly times come first.
  auto operator<=>(const LocalTime&) const = default;
};

/// A freeze window as declared. Copies of one version are ordered by the fields in the order of their
/// declaration.
struct Window {
  std::string name;                  ///< 1 to 64 bytes
  std::uint32_t version = 1;         ///< a later version replaces an earlier one
  std::vector<std::string> sites{};  ///< names of its sites, sorted; empty: all sites
  std::string zone;                  ///< name in the time-zone database, such as "Europe/London"
  LocalTime from;                    ///< begin of the window
  LocalTime until;                   ///< end of the window
  Work blocks = kAnyWork;            ///< the kinds of change that it blocks
  Seconds lead = 0;                  ///< time before the begin, in seconds, in which no change may start
  std::string author;                ///< who declared it
  /// Compares field by field, in the order of their declaration.
  auto operator<=>(const Window&) const = default;
  /// Whether the window applies to the site.
  bool applies_to(std::string_view site) const;
};

/// One occurrence of a window, with its lead time and widened by the clock slack on both sides. Unix times;
/// lead_start <= from < until.
struct Span {
  Seconds lead_start = 0;  ///< no change may start from this time on
  Seconds from = 0;        ///< begin of the window
  Seconds until = 0;       ///< end of the window, exclusive
};

/// Parses a local time of a document: "2026-12-24 18:00", or "12-24 18:00" for each year. nullopt if it is
/// invalid.
std::optional<LocalTime> parse_local_time(std::string_view text);
/// Formats a local time in the form that parse_local_time() reads.
std::string to_string(const LocalTime& local);
/// Formats a Unix time in UTC with a precision of one minute: "2027-01-02 09:00 UTC".
std::string format_utc(Seconds at);

/// Why the window is invalid, as a message for its author; nullopt if it is valid.
std::optional<std::string> refusal(const Window& window);

/// Returns the occurrences of a valid window that end after `from` and whose lead time starts before `until`,
/// in order. Each is widened by `slack` on both sides.
std::vector<Span> spans(const Window& window, Seconds from, Seconds until, Seconds slack);

}  // namespace walkpaddle::freeze
