// One router's calendar of freeze windows, as one replicated state, and what it answers to those who want to
// change the fleet. Without I/O. Nothing here loosens: what blocks is heeded by whoever hears it, and is
// given up only by a later version, by a withdrawal that a majority of the fleet holds, or past its end.
//
// The join, window by window (a state-based CRDT, as src/replica/endpoint_observations.h): a later version
// drops the earlier ones; copies of one version that differ are all heeded, which is the strictest of them.
// Withdrawals are sets of the routers that hold them. Of two exceptions for one change and window the later
// version stands, at equal versions the one that ends earlier.
//
// A router whose calendar may lack something goes on with nothing: one that has just started or was cut off,
// that is not in contact with a majority, or whose clock is apart from the others'. Stopping and going back
// are never blocked.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "freeze/window.h"
#include "replica/replicated_state.h"

namespace walkpaddle::freeze {

// Whoever holds a window's withdrawal; in force once that is a majority of the fleet.
struct Withdrawal {
  std::string window;
  std::uint32_t version = 0;  // this version and the earlier ones are withdrawn
  std::uint64_t holder = 0;   // stable hash of a router's name
  auto operator<=>(const Withdrawal&) const = default;
};

// One change may go on in one window until it ends: by two people, with a reason.
struct Exception {
  std::string change, window, reason;
  std::string approvers[2];
  std::uint32_t version = 1;
  Seconds until = 0;  // Unix time
  auto operator<=>(const Exception&) const = default;
};
std::string refusal(const Exception& exception, Seconds now);  // empty: nothing is wrong with it

enum class Act : std::uint8_t { propose, start_stage, go_on, stop, go_back };

struct Answer {
  enum class May : std::uint8_t { now, not_before, never };
  May may = May::now;
  Seconds at = 0;               // not_before: the first time; 0: it is not known yet
  std::string window{}, why{};  // for people; empty for now
  bool operator==(const Answer&) const = default;
};

// What a late window does to a change that is under way: it stays where it stands, or goes back while the
// lead leaves it the time. A mixed fleet through the days of trade is the lesser evil only where the way back
// would itself be a change within them.
enum class Overtaken : std::uint8_t { no, holds, goes_back };

class Calendar : public replica::ReplicatedState {
 public:
  struct Bounds {
    std::size_t windows = 256, copies = 4, exceptions = 64;
    std::size_t fleet = 512;
    // A calendar without word from a majority for so long may lack a window: some rounds of comparison (2 s
    // each), so that a lost one does not matter, and far under any lead.
    Seconds current = 30;
    // Clocks of routers that are apart by less are covered by widening every window by as much. NTP keeps
    // them within some milliseconds; half a minute is a clock that nobody tends, an hour a wrong zone.
    Seconds slack = 60;
    Seconds horizon = 800 * 86400.0;  // in which a time is looked for: each yearly window comes twice
  };

  // fleet: stable hashes of all its routers' names, this one included. site: where this router stands.
  Calendar(std::uint64_t self, std::vector<std::uint64_t> fleet, const Bounds& bounds);

  // From this router's own documents, or heard. False: it changed nothing, or is refused (counted).
  bool declare(const Window& window);
  bool withdraw(const std::string& window, std::uint32_t version);  // this router holds it from now on
  bool except(const Exception& exception);
  // What the host sees of the fleet: in contact with a majority and caught up; by how much this router's
  // clock is apart from the others' middle.
  void in_contact(Seconds now) { contact_ = std::max(contact_, now); }
  void clock_apart(Seconds apart) { apart_ = apart; }

  struct Plan {
    std::string change;
    std::uint8_t work = kSettings;
    std::vector<std::string> sites{};  // whose routers it concerns
    Seconds worst = 0;                 // its longest time from here on, the way back included
  };
  Answer ask(Act act, const Plan& plan, Seconds now) const;
  Overtaken overtaken(const Plan& plan, Seconds way_back, Seconds now) const;
  bool site_frozen(std::string_view site, std::uint8_t work, Seconds now) const;  // by no exception's leave
  std::string not_current(Seconds now) const;  // why this calendar cannot be gone by; empty: it can

  struct Standing {
    Window window;
    bool withdrawn = false;
    int withdrawn_by = 0;  // routers that hold its withdrawal
  };
  std::vector<Standing> standing() const;
  std::vector<Exception> exceptions() const;
  int majority() const { return static_cast<int>(fleet_.size()) / 2 + 1; }
  // Windows that were heard or read and are not heeded here, for want of room or sense: then nothing goes on.
  std::uint64_t refused() const { return refused_; }

  // As a kind of replicated state.
  std::uint8_t number() const override { return 0; }
  bool join(std::string_view bytes, Seconds now) override;

 private:
  struct Named {
    std::uint32_t version = 0;
    std::vector<Window> copies;                                // of that version; sorted, bounded
    std::map<std::uint32_t, std::set<std::uint64_t>> holders;  // of withdrawals, by version
  };
  bool declare_as(const Window& window);
  bool hold(const Withdrawal& withdrawal);
  bool withdrawn(const Named& named) const;
  // The first span that [from, until] meets, of windows that block the plan; none: a name that is empty.
  struct Met {
    std::string window;
    Span span;
  };
  Met meets(const Plan& plan, Seconds from, Seconds until, bool leads) const;
  bool excepted(const Plan& plan, const std::string& window, Seconds from, Seconds until) const;

  const std::uint64_t self_;
  const std::set<std::uint64_t> fleet_;
  const Bounds bounds_;
  std::map<std::string, Named> named_;
  std::map<std::pair<std::string, std::string>, Exception> exceptions_;  // by change and window
  Seconds contact_ = 0, apart_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace walkpaddle::freeze
