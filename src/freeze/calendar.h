/// \file
/// One router's calendar of freeze windows, as one replicated state, and what it decides for those who want
/// to change the fleet. Without I/O. Nothing here loosens: what blocks is heeded by whoever hears it, and is
/// given up only by a later version, by a withdrawal that a majority of the fleet holds, or past its end.
///
/// The join, window by window (a state-based CRDT: Shapiro et al., 2011): a later version drops the earlier
/// ones; copies of one version that differ are all heeded, which is the strictest of them. Withdrawals are
/// sets of the routers that hold them. Of two exceptions for one change and window the later version stands,
/// at equal versions the one that ends earlier.
///
/// A router whose calendar may lack something goes on with nothing: one that has just started or was cut off,
/// that is not in contact with a majority, or whose clock is apart from the others'. Stopping and rolling
/// back are never blocked.
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

/// What somebody wants to do with a change.
enum class Action : std::uint8_t { propose, start_stage, next_stage, stop, roll_back };

/// Whether it may be done, and when.
struct Permission {
  /// In short.
  enum class Outcome : std::uint8_t {
    allowed,
    not_before,  ///< see `at`
    never,       ///< no time is free for it within the horizon
  };
  Outcome outcome = Outcome::allowed;  ///< in short
  Seconds at = 0;                      ///< of not_before: the first time; 0: it is not known yet
  std::string window{};                ///< the name of the window that blocks it; empty for allowed
  std::string why{};                   ///< for people; empty for allowed
  /// Field by field.
  bool operator==(const Permission&) const = default;
  /// Whether it may be done now.
  bool allowed() const { return outcome == Outcome::allowed; }
};

/// What a late window does to a change that is under way: it stays where it stands, or goes back while the
/// lead leaves it the time. A mixed fleet through the days of trade is the lesser evil only where the way
/// back would itself be a change within them.
enum class LateWindowEffect : std::uint8_t { none, holds, rolls_back };

/// A change that somebody wants to carry out.
struct PlannedChange {
  std::string change;                ///< its name
  Work work = kSettings;             ///< what it changes
  std::vector<std::string> sites{};  ///< whose routers it concerns; empty: all
  Seconds max_duration = 0;          ///< its longest time from here on, the way back included
};

/// The calendar as one router knows it.
class Calendar : public replica::ReplicatedState {
 public:
  /// Bounds; the same at all routers.
  struct Limits {
    std::size_t windows = 256;    ///< by name
    std::size_t copies = 4;       ///< of one version that differ; versions that are withdrawn
    std::size_t exceptions = 64;  ///< by change and window
    /// A calendar without contact with a majority for so long may lack a window: some rounds of comparison (2
    /// s each), so that a lost one does not matter, and far under any lead.
    Seconds max_silence = 30;
    /// Clocks of routers that are apart by less are covered by widening every window by as much. NTP keeps
    /// them within some milliseconds; half a minute is a clock that nobody tends, an hour a wrong zone.
    Seconds clock_slack = 60;
    Seconds horizon = 800 * 86400.0;  ///< in which a time is looked for: each yearly window comes twice
  };

  /// A window and what is known of its withdrawal.
  struct WindowStatus {
    Window window;           ///< one copy of its present version
    bool withdrawn = false;  ///< a majority holds the withdrawal
    int withdrawn_by = 0;    ///< routers that hold it
  };

  /// `self`, `fleet`: stable hashes of routers' names; the fleet includes this one.
  Calendar(std::uint64_t self, const std::vector<std::uint64_t>& fleet, const Limits& limits);

  /// Takes a window from this router's own documents, or heard. False: it changed nothing, or is refused
  /// (counted).
  bool declare(const Window& window);
  /// This router holds the withdrawal of the window's versions up to `version` from now on. False: it did.
  bool withdraw(const std::string& window, std::uint32_t version);
  /// Takes an exception that refusal() let pass. False: another stands over it, or there are too many.
  bool add_exception(const Exception& exception);
  /// This router is in contact with a majority, and has caught up.
  void majority_contacted(Seconds now) { contacted_at_ = std::max(contacted_at_, now); }
  /// By how much this router's clock is apart from the middle of the others'.
  void set_clock_offset(Seconds offset) { clock_offset_ = offset; }

  /// Whether the change may do so now; else when.
  Permission decide(Action action, const PlannedChange& change, Seconds now) const;
  /// What a window that came late does to a change under way whose rollback takes so long.
  LateWindowEffect late_window_effect(const PlannedChange& change, Seconds rollback_duration,
                                      Seconds now) const;
  /// Whether a window or its lead holds the site now, exceptions aside.
  bool is_site_frozen(std::string_view site, Work work, Seconds now) const;
  /// Why this calendar cannot be relied on; nullopt: it can.
  std::optional<std::string> why_not_current(Seconds now) const;

  /// All windows, each copy of the present version.
  std::vector<WindowStatus> status() const;
  /// All that stand.
  std::vector<Exception> exceptions() const;
  /// How many routers are a majority of the fleet.
  int majority() const { return static_cast<int>(fleet_.size()) / 2 + 1; }
  /// Windows that were heard or read and are not heeded here, for want of room or sense: then nothing goes
  /// on.
  std::uint64_t refused_windows() const { return refused_windows_; }

  // As replicated state; see replica::ReplicatedState.
  std::uint8_t number() const override { return 0; }        ///< on the wire
  bool join(std::string_view bytes, Seconds now) override;  ///< joins an item

 private:
  struct Versions {
    std::uint32_t version = 0;                                 // the present one
    std::vector<Window> copies;                                // of that version; sorted, bounded
    std::map<std::uint32_t, std::set<std::uint64_t>> holders;  // of withdrawals, by version
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
