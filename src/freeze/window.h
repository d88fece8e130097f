// Freeze windows: times in which a fleet's sites do not change, as people declare them, in local time of a
// named zone, once or each year. Without I/O; zones come from the date library (Howard Hinnant), which reads
// the system's time-zone database the first time that a zone is named.
//
// Where a local time does not fall on one moment the stricter reading holds: a begin in the hour that summer
// time takes away or gives twice is the earlier moment, an end the later one; 29 February is the 28th as a
// begin and the 1st of March as an end in years that lack it.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace walkpaddle::freeze {

// What a change changes, as bits: a window blocks some of them.
enum Work : std::uint8_t { kSettings = 1, kRelease = 2, kAnyWork = 3 };

struct Local {
  int year = 0;  // 0: each year
  int month = 1, day = 1, hour = 0, minute = 0;
  auto operator<=>(const Local&) const = default;
};

struct Window {
  std::string name;
  std::uint32_t version = 1;         // a later one replaces an earlier one
  std::vector<std::string> sites{};  // sorted; empty: all
  std::string zone;                  // as the time-zone database names it: "Europe/London"
  Local from, until;
  std::uint8_t blocks = kAnyWork;
  Seconds lead = 0;  // before it begins nothing is started that could run into it
  std::string by;    // who declared it
  auto operator<=>(const Window&) const = default;
  bool concerns(std::string_view site) const;
};

// A time in which nothing goes on: the lead, the window itself, and the slack of clocks on both sides.
struct Span {
  Seconds lead = 0, from = 0, until = 0;  // Unix time; lead <= from < until
};

// What stands in a document: "2026-12-24 18:00", or "12-24 18:00" for each year. nullopt if it cannot be
// read.
std::optional<Local> read_local(std::string_view text);
std::string text_of(const Local& local);
std::string text_of_moment(Seconds at);  // UTC, to the minute: "2027-01-02 09:00 UTC"

// What is wrong with a window, in words for its author; empty: nothing.
std::string refusal(const Window& window);

// The spans of a good window that end after `from` and begin before `until`, in order; `slack` on both sides.
std::vector<Span> spans(const Window& window, Seconds from, Seconds until, Seconds slack);

}  // namespace walkpaddle::freeze
