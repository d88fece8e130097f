/// \file
/// One router's copy of the replicated calendar of freeze windows, which decides whether a change to the
/// fleet may proceed. No I/O. A router applies a window as soon as it receives it. The window blocks changes
/// until its end, unless it is replaced by a later version or a majority of the fleet holds its withdrawal.
///
/// Copies of the calendar are joined for each window (a state-based CRDT: Shapiro et al., 2011). A later
/// version replaces earlier ones. Copies of one version that differ all apply, so that the strictest one
/// decides. A withdrawal is the set of the routers that hold it. Of two exceptions for the same change and
/// window the later version applies, and at equal versions the one that ends earlier.
///
/// A router whose calendar may be incomplete lets no change proceed: one that has just started or was
/// partitioned, is not in contact with a majority, or whose clock differs from the others'. Stopping and
/// rolling back are never blocked.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "freeze/items.h"
#include "freeze/window.h"
#include "replica/replicated_state.h"

namespace walkpaddle::freeze {

/// The next step of a change, for which permission is asked.
enum class Action : std::uint8_t { propose, start_stage, next_stage, stop, roll_back };

/// Whether an action is permitted, and from when on.
struct Permission {
  /// The kinds of answer.
  enum class Outcome : std::uint8_t {
    allowed,
    not_before,  ///< not now, see `at`
    never,       ///< not at any time within the horizon
  };
  Outcome outcome = Outcome::allowed;  ///< the kind of answer
  Seconds at = 0;                      ///< for not_before: the first permitted time; 0: not known yet
  std::string window{};                ///< name of the blocking window; empty if none blocks
  std::string why{};                   ///< the reason, for people; empty for allowed
  /// Compares field by field.
  bool operator==(const Permission&) const = default;
  /// Whether the action is permitted now.
  bool allowed() const { return outcome == Outcome::allowed; }
};

/// The effect of a window that is declared while a change is under way and conflicts with it. The change
/// rolls back if that can end before the window begins. Otherwise it holds: the fleet stays mixed during the
/// window, since the rollback would itself be a change within it.
enum class LateWindowEffect : std::uint8_t { none, holds, rolls_back };

/// A change for which permission is asked.
struct PlannedChange {
  std::string change;                ///< its name
  Work work = kSettings;             ///< the kinds of change that it makes
  std::vector<std::string> sites{};  ///< the sites whose routers it changes; empty: all
  Seconds max_duration = 0;          ///< the longest time that it can still take, including a rollback
};

/// One router's copy of the calendar.
class Calendar : public replica::ReplicatedState {
 public:
  /// Bounds. They have to be the same at all routers.
  struct Limits {
    std::size_t windows = 256;    ///< number of windows, by name
    std::size_t copies = 4;       ///< differing copies of one version; withdrawn versions of one window
    std::size_t exceptions = 64;  ///< number of exceptions, by change and window
    /// A calendar without contact with a majority for this long, in seconds, may lack a window. It is many
    /// rounds of anti-entropy (2 s each), so that a lost round does not matter, and far below a usual lead.
    Seconds max_silence = 30;
    /// The accepted difference between the routers' clocks, in seconds; every window is widened by as much on
    /// both sides. NTP keeps clocks within some milliseconds. A difference of half a minute means a clock
    /// that is not synchronized, and one of an hour a wrong time zone.
    Seconds clock_slack = 60;
    Seconds horizon = 800 * 86400.0;  ///< search range for a free time; a yearly window occurs in it twice
  };

  /// A window and the state of its withdrawal.
  struct WindowStatus {
    Window window;           ///< one copy of its current version
    bool withdrawn = false;  ///< whether a majority holds the withdrawal
    int withdrawn_by = 0;    ///< number of routers that hold the withdrawal
  };

  /// `self` and `fleet` are stable hashes of the routers' names. The fleet includes this router.
  Calendar(std::uint64_t self, const std::vector<std::uint64_t>& fleet, const Limits& limits);

  /// Adds a window from this router's own documents or from another router. Returns false if that changes
  /// nothing or the window is refused, which is counted.
  bool declare(const Window& window);
  /// Makes this router hold the withdrawal of the window's versions up to `version`. Returns false if that
  /// changes nothing or there is no room.
  bool withdraw(const std::string& window, std::uint32_t version);
  /// Adds a valid exception, see refusal(). Returns false if an existing one supersedes it or there is no
  /// room.
  bool add_exception(const Exception& exception);
  /// Tells the calendar that this router is in contact with a majority and has caught up.
  void majority_contacted(Seconds now) { contacted_at_ = std::max(contacted_at_, now); }
  /// Sets the difference between this router's clock and the median of the others', in seconds.
  void set_clock_offset(Seconds offset) { clock_offset_ = offset; }

  /// Decides whether the action is permitted at the time `now`, and if not, from when on.
  Permission decide(Action action, const PlannedChange& change, Seconds now) const;
  /// The effect on a change under way, whose rollback takes up to `rollback_duration`, of windows declared
  /// meanwhile.
  LateWindowEffect late_window_effect(const PlannedChange& change, Seconds rollback_duration,
                                      Seconds now) const;
  /// Whether a window or its lead time blocks such a change at the site now. Exceptions are not considered.
  bool is_site_frozen(std::string_view site, Work work, Seconds now) const;
  /// Why this calendar may be incomplete or wrong, for people; nullopt if it is current.
  std::optional<std::string> why_not_current(Seconds now) const;

  /// All windows, with an entry for each copy of the current version.
  std::vector<WindowStatus> status() const;
  /// All exceptions that are not superseded.
  std::vector<Exception> exceptions() const;
  /// The number of routers that are a majority of the fleet.
  int majority() const { return static_cast<int>(fleet_.size()) / 2 + 1; }
  /// How many windows were refused because they were invalid or there was no room. If any were, no change may
  /// proceed.
  std::uint64_t refused_windows() const { return refused_windows_; }

  // Implements replica::ReplicatedState.
  std::uint8_t number() const override { return 0; }        ///< the kind's number on the wire
  bool join(std::string_view bytes, Seconds now) override;  ///< joins an encoded item

 private:
  struct Versions {
    std::uint32_t version = 0;                                 // the current version
    std::vector<Window> copies;                                // copies of that version; sorted, bounded
    std::map<std::uint32_t, std::set<std::uint64_t>> holders;  // routers that hold a withdrawal, by version
  };
  struct Conflict {
    std::string window;
    Span span;
  };

  bool join(const Window& window);
  void begin_version(Versions& versions, const Window& window);
  bool join(const Withdrawal& withdrawal);
  bool is_withdrawn(const Versions& versions) const;
  std::optional<Conflict> first_conflict(const PlannedChange& change, Seconds from, Seconds until) const;
  bool is_blocked_by(const Window& window, const PlannedChange& change) const;
  bool is_excepted(const PlannedChange& change, const std::string& window, Seconds from, Seconds until) const;
  std::string reason(const PlannedChange& change, const Conflict& conflict, Seconds now) const;

  const std::uint64_t self_;
  const std::set<std::uint64_t> fleet_;
  const Limits limits_;
  std::map<std::string, Versions> windows_;
  std::map<std::pair<std::string, std::string>, Exception> exceptions_;  // by change and window
  Seconds contacted_at_ = 0;                                             // 0: never
  Seconds clock_offset_ = 0;
  std::uint64_t refused_windows_ = 0;
};

}  // namespace walkpaddle::freeze
