// Freeze windows: which changes they block, at which sites and until when, and how routers replicate them.
#include <date/date.h>

#include <catch2/catch.hpp>

#include "base/text.h"
#include "freeze/calendar.h"
#include "testbed/simulated_fleet.h"

using namespace walkpaddle;
using namespace walkpaddle::freeze;
using Outcome = Permission::Outcome;

namespace {

constexpr Seconds kHour = 3600, kDay = 24 * kHour;

// Converts a time in UTC to Unix time.
Seconds utc(int y, unsigned m, unsigned d, int hour = 0, int minute = 0) {
  const date::sys_days day = date::year(y) / date::month(m) / date::day(d);
  return static_cast<Seconds>(day.time_since_epoch().count()) * kDay + hour * kHour + minute * 60.0;
}

Window window(const char* name, const char* from, const char* until, const char* zone = "Europe/London") {
  Window w{.name = name,
           .zone = zone,
           .from = *parse_local_time(from),
           .until = *parse_local_time(until),
           .author = "ana"};
  REQUIRE_FALSE(refusal(w));
  return w;
}

// The calendar of a fleet of one router, which is current.
Calendar single_router_calendar(Seconds now) {
  Calendar c(1, {1}, {});
  c.majority_contacted(now);
  return c;
}

const PlannedChange kTenMinutes{.change = "cache-ttl", .work = kSettings, .sites = {}, .max_duration = 600};

// A fleet whose routers each have a calendar.
struct Fleet {
  explicit Fleet(int routers, unsigned seed = 1, testbed::SimulatedFleet::Net net = {},
                 Seconds now = utc(2026, 12, 2, 12))
      : memory(routers, seed, net,
               {.create_states =
                    [routers](testbed::SimulatedFleet::Router& r, Seconds) {
                      r.states.push_back(std::make_unique<Calendar>(
                          testbed::SimulatedFleet::Router::name(r.number),
                          testbed::SimulatedFleet::Router::all(routers), Calendar::Limits{}));
                    },
                .step =
                    [](testbed::SimulatedFleet::Router& r, Seconds own) {
                      auto& c = static_cast<Calendar&>(*r.states[0]);
                      if (!r.gossip.catching_up() && r.members.alive_count() + 1 >= c.majority())
                        c.majority_contacted(own);
                      c.set_clock_offset(r.gossip.clock_offset(own));
                    }},
               now) {
    memory.time_step = 0.02;
  }
  Calendar& operator[](int n) { return static_cast<Calendar&>(*memory[n].states[0]); }
  Permission decide(int n, Action action = Action::next_stage) {
    return (*this)[n].decide(action, kTenMinutes, memory.now + memory[n].skew);
  }
  template <class F>
  bool all(F&& holds) {
    return memory.all(
        [&](testbed::SimulatedFleet::Router& r) { return holds(static_cast<Calendar&>(*r.states[0])); });
  }
  testbed::SimulatedFleet memory;
};

}  // namespace

SCENARIO("a change that would run into a freeze window is refused, with the first time at which it fits") {
  GIVEN("a window from 24 December to 2 January with a lead of one day") {
    const Seconds now = utc(2026, 12, 22, 12);
    auto c = single_router_calendar(now);
    auto w = window("festive", "2026-12-24 18:00", "2027-01-02 09:00");
    w.lead = kDay;
    REQUIRE(c.declare(w));
    WHEN("a change of ten minutes is proposed two days before the window") {
      THEN("it is allowed now") {
        CHECK(c.decide(Action::propose, kTenMinutes, now).outcome == Outcome::allowed);
      }
    }
    WHEN("a change that may take two days is proposed") {
      auto plan = kTenMinutes;
      plan.max_duration = 2 * kDay;
      const auto answer = c.decide(Action::propose, plan, now);
      THEN("it is refused until the window ends, with the name of the window") {
        CHECK(answer.outcome == Outcome::not_before);
        CHECK(answer.window == "festive");
        CHECK(answer.at == Approx(utc(2027, 1, 2, 9) + 60));
        CHECK(answer.why.find("including a rollback, would run into the freeze window festive") !=
              std::string::npos);
      }
    }
    WHEN("a stage is to start within the lead time or the window") {
      THEN("it is refused, and the reason tells which of the two blocks it") {
        c.majority_contacted(utc(2026, 12, 28));
        const auto lead = c.decide(Action::start_stage, kTenMinutes, utc(2026, 12, 24, 12));
        CHECK(lead.outcome == Outcome::not_before);
        CHECK(lead.why.find("no change may start from 2026-12-23 17:59 UTC on") != std::string::npos);
        const auto within = c.decide(Action::next_stage, kTenMinutes, utc(2026, 12, 28));
        CHECK(within.outcome == Outcome::not_before);
        CHECK(within.why.find("the freeze window festive lasts until 2027-01-02 09:01 UTC") !=
              std::string::npos);
      }
    }
    WHEN("a stop or a rollback is requested within the window") {
      THEN("both are allowed") {
        CHECK(c.decide(Action::stop, kTenMinutes, utc(2026, 12, 26)) == Permission{});
        CHECK(c.decide(Action::roll_back, kTenMinutes, utc(2026, 12, 26)) == Permission{});
      }
    }
    WHEN("the window has ended") {
      c.majority_contacted(utc(2027, 1, 2, 9, 2));
      THEN("changes are allowed") {
        CHECK(c.decide(Action::propose, kTenMinutes, utc(2027, 1, 2, 9, 2)).outcome == Outcome::allowed);
      }
    }
  }
}

SCENARIO("a window blocks the kinds of change and the sites that it names") {
  GIVEN("a window for releases at site east, and a later one for settings at site west that overlaps it") {
    const Seconds now = utc(2026, 12, 2);
    auto c = single_router_calendar(now);
    auto east = window("east", "2026-12-01 00:00", "2026-12-05 00:00", "UTC");
    east.sites = {"east"}, east.blocks = kRelease;
    auto west = window("west", "2026-12-04 00:00", "2026-12-08 00:00", "UTC");
    west.sites = {"west"}, west.blocks = kSettings;
    REQUIRE((c.declare(east) && c.declare(west)));
    const auto outcome_of = [&](std::uint8_t work, std::vector<std::string> sites) {
      return c.decide(Action::propose, {.change = "c", .work = work, .sites = sites, .max_duration = 60}, now)
          .outcome;
    };
    THEN("a release is blocked at east and allowed at west") {
      CHECK(outcome_of(kRelease, {"east"}) == Outcome::not_before);
      CHECK(outcome_of(kRelease, {"west"}) == Outcome::allowed);
      CHECK(outcome_of(kRelease, {"east", "west"}) == Outcome::not_before);
      CHECK(outcome_of(kRelease, {}) == Outcome::not_before);
    }
    THEN("settings are allowed at east") { CHECK(outcome_of(kSettings, {"east"}) == Outcome::allowed); }
    THEN("a change of both kinds at all sites has to wait until both windows have ended") {
      const auto answer =
          c.decide(Action::propose, {.change = "c", .work = kAnyWork, .sites = {}, .max_duration = 60}, now);
      CHECK(answer.at == Approx(utc(2026, 12, 8) + 60));
    }
    THEN("each site is frozen by its own windows alone") {
      CHECK(c.is_site_frozen("east", kRelease, now));
      CHECK_FALSE(c.is_site_frozen("west", kRelease, now));
    }
  }
}

SCENARIO("local times that do not exist or exist twice are resolved to the stricter moment") {
  GIVEN("windows at the begin and the end of summer time in London") {
    const auto gap = window("gap", "2027-03-28 01:30", "2027-03-28 12:00");  // 01:00 to 02:00 is skipped
    const auto overlap = window("overlap", "2026-10-25 01:30", "2026-10-25 01:45");  // repeated
    const auto ends = window("ends", "2027-03-27 00:00", "2027-03-28 01:30");
    THEN("a begin that does not exist is resolved to the earlier moment, an end to the later one") {
      CHECK(spans(gap, 0, 1e10, 0).at(0).from == Approx(utc(2027, 3, 28, 0, 30)));
      CHECK(spans(ends, 0, 1e10, 0).at(0).until == Approx(utc(2027, 3, 28, 1, 30)));
    }
    THEN("a begin that is repeated is resolved to the first moment, an end to the second") {
      const auto s = spans(overlap, 0, 1e10, 0).at(0);
      CHECK(s.from == Approx(utc(2026, 10, 25, 0, 30)));
      CHECK(s.until == Approx(utc(2026, 10, 25, 1, 45)));
    }
  }
  GIVEN("a yearly window on 29 February") {
    const auto w = window("leap", "02-29 00:00", "02-29 12:00", "UTC");
    THEN("in a year without that day it lasts from 28 February to 1 March") {
      const auto s = spans(w, utc(2027, 1, 1), utc(2027, 12, 1), 0);
      REQUIRE(s.size() == 1);
      CHECK(s[0].from == Approx(utc(2027, 2, 28)));
      CHECK(s[0].until == Approx(utc(2027, 3, 1, 12)));
    }
    THEN("in a leap year it is on that day") {
      const auto s = spans(w, utc(2028, 1, 1), utc(2028, 12, 1), 0);
      REQUIRE(s.size() == 1);
      CHECK(s[0].from == Approx(utc(2028, 2, 29)));
    }
  }
  GIVEN("a yearly window over New Year") {
    const auto w = window("new-year", "12-24 18:00", "01-02 09:00", "UTC");
    THEN("on 1 January its occurrence is the one that began in the previous year") {
      const auto s = spans(w, utc(2027, 1, 1), utc(2027, 1, 1, 1), 0);
      REQUIRE(s.size() == 1);
      CHECK(s[0].from == Approx(utc(2026, 12, 24, 18)));
      CHECK(s[0].until == Approx(utc(2027, 1, 2, 9)));
    }
  }
  GIVEN("one window in the time zone of Tokyo and one in that of New York") {
    THEN("each is resolved in its own zone") {
      CHECK(spans(window("t", "2026-12-24 00:00", "2026-12-25 00:00", "Asia/Tokyo"), 0, 1e10, 0).at(0).from ==
            Approx(utc(2026, 12, 23, 15)));
      CHECK(spans(window("n", "2026-12-24 00:00", "2026-12-25 00:00", "America/New_York"), 0, 1e10, 0)
                .at(0)
                .from == Approx(utc(2026, 12, 24, 5)));
    }
  }
}

SCENARIO("an invalid window is refused with a reason") {
  Window good = window("w", "2026-12-24 18:00", "2027-01-02 09:00");
  const auto refusal_after = [&](auto&& invalidate) {
    auto w = good;
    invalidate(w);
    return refusal(w).value_or("");
  };
  CHECK(refusal_after([](Window& w) { w.zone = "Europe/Atlantis"; }) ==
        "unknown time zone 'Europe/Atlantis'");
  CHECK(refusal_after([](Window& w) { w.until = w.from; }) == "it ends before it begins");
  CHECK(refusal_after([](Window& w) { w.until.year = 0; }) ==
        "either both from and until have a year, or neither has one");
  CHECK(refusal_after([](Window& w) {
          w.until = {2026, 11, 31, 0, 0};
        }) == "it has a day or time that does not exist");
  CHECK(refusal_after([](Window& w) { w.author = ""; }) == "by has to name its author in 1 to 64 bytes");
  CHECK(refusal_after([](Window& w) { w.blocks = 0; }) == "it blocks no known kind of change");
  CHECK(refusal_after([](Window& w) { w.lead = 40 * kDay; }) == "lead is out of range, 0 to 30 days");
  CHECK(refusal_after([](Window& w) { w.lead = std::nan(""); }) == "lead is out of range, 0 to 30 days");
  CHECK(refusal_after([](Window& w) { w.until.year = 2028; }) ==
        "with its lead it lasts over 330 days, which would leave no time for changes");
  for (const char* text : {"2026-13-01 00:00", "2026-02-30 00:00", "2026-12-24", "24:00", "2026-12-24 24:00",
                           "2026-12-24 18:60", "", "12-24-26-1 00:00", "-5-12 00:00", "2026-12-24 1e1:00"})
    CHECK_FALSE(parse_local_time(text).has_value());
  CHECK(to_string(*parse_local_time("2026-12-24 18:00")) == "2026-12-24 18:00");
  CHECK(to_string(*parse_local_time("2-29 7:05")) == "02-29 07:05");
}

SCENARIO("a change is given the first gap between windows that is long enough") {
  GIVEN("three consecutive windows, an hour apart") {
    const Seconds now = utc(2026, 12, 1);
    auto c = single_router_calendar(now);
    c.declare(window("a", "2026-12-01 00:00", "2026-12-10 00:00", "UTC"));
    c.declare(window("b", "2026-12-10 01:00", "2026-12-20 00:00", "UTC"));
    c.declare(window("c", "2026-12-20 01:00", "2027-01-03 00:00", "UTC"));
    THEN("a change of ten minutes fits into the first gap") {
      CHECK(c.decide(Action::propose, kTenMinutes, now).at == Approx(utc(2026, 12, 10) + 60));
    }
    THEN("a change of two hours has to wait until January") {
      auto plan = kTenMinutes;
      plan.max_duration = 2 * kHour;
      CHECK(c.decide(Action::propose, plan, now).at == Approx(utc(2027, 1, 3) + 60));
    }
  }
  GIVEN("two yearly windows with gaps of three days and of an hour") {
    const Seconds now = utc(2026, 12, 1);
    auto c = single_router_calendar(now);
    c.declare(window("winter", "11-01 00:00", "04-01 00:00", "UTC"));
    c.declare(window("rest", "04-04 00:00", "10-31 23:00", "UTC"));
    THEN("a change of a week never fits, and the answer says so") {
      auto plan = kTenMinutes;
      plan.max_duration = 7 * kDay;
      const auto answer = c.decide(Action::propose, plan, now);
      CHECK(answer.outcome == Outcome::never);
      CHECK(answer.why.find("there is no free time in the next 800 days") != std::string::npos);
    }
  }
}

SCENARIO("an exception that two people approved permits one change in one window until it ends") {
  const Seconds now = utc(2026, 12, 26);
  auto c = single_router_calendar(now);
  c.declare(window("festive", "2026-12-24 18:00", "2027-01-02 09:00"));
  Exception e{.change = "cache-ttl",
              .window = "festive",
              .reason = "sheets are stale",
              .approvers = {"ana", "bo"},
              .until = now + kHour};
  GIVEN("an exception that two people approved") {
    REQUIRE_FALSE(refusal(e, now));
    REQUIRE(c.add_exception(e));
    THEN("its change is allowed, another is not") {
      CHECK(c.decide(Action::next_stage, kTenMinutes, now).outcome == Outcome::allowed);
      auto other = kTenMinutes;
      other.change = "another";
      CHECK(c.decide(Action::next_stage, other, now).outcome == Outcome::not_before);
    }
    THEN("its change is not allowed if it could last past the end of the exception") {
      CHECK(c.decide(Action::next_stage, kTenMinutes, now + kHour - 300).outcome == Outcome::not_before);
    }
    THEN("an exception that ends earlier supersedes it, and a later version supersedes both") {
      auto earlier = e;
      earlier.until = now + 60;
      CHECK(c.add_exception(earlier));
      CHECK_FALSE(c.add_exception(e));
      CHECK(c.decide(Action::next_stage, kTenMinutes, now).outcome == Outcome::not_before);
      e.version = 2;
      CHECK(c.add_exception(e));
      CHECK(c.decide(Action::next_stage, kTenMinutes, now).outcome == Outcome::allowed);
    }
  }
  GIVEN("invalid exceptions") {
    const auto refusal_after = [&](auto&& invalidate) {
      auto bad = e;
      invalidate(bad);
      return refusal(bad, now).value_or("");
    };
    CHECK(refusal_after([](Exception& x) { x.approvers[1] = " Ana"; }) ==
          "its two approvers are the same person");
    CHECK(refusal_after([](Exception& x) { x.approvers[1] = "  "; }) ==
          "two people have to approve it, with names of 1 to 200 bytes");
    CHECK(refusal_after([](Exception& x) { x.reason = ""; }) == "a reason of 1 to 200 bytes is needed");
    CHECK(refusal_after([&](Exception& x) { x.until = now + 8 * kDay; }) ==
          "it has to end within seven days from now");
  }
}

SCENARIO("a window that is declared at one router reaches the whole fleet") {
  GIVEN("twenty routers, with a tenth of the datagrams lost") {
    Fleet fleet(20, 3, {.lost = 0.1, .twice = 0.1, .delay = 0.05});
    fleet.memory.go(5);
    REQUIRE(fleet.decide(7).outcome == Outcome::allowed);
    WHEN("a window that has already begun is declared at one router") {
      fleet[0].declare(window("now", "2026-12-01 00:00", "2026-12-05 00:00", "UTC"));
      fleet.memory.go(2);
      THEN("no router allows a change, and all have the same calendar") {
        for (int n = 0; n < 20; ++n) CHECK(fleet.decide(n).outcome == Outcome::not_before);
        CHECK(fleet.memory.converged());
      }
    }
  }
}

SCENARIO("a later version of a window applies, and at equal versions the strictest copy, at every router") {
  GIVEN("a fleet that is partitioned into halves") {
    Fleet fleet(10, 4);
    fleet.memory.go(5);
    fleet.memory.cut_off(0, 4);
    auto short_one = window("sale", "2026-12-01 00:00", "2026-12-03 00:00", "UTC");
    auto long_one = window("sale", "2026-12-01 00:00", "2026-12-20 00:00", "UTC");
    WHEN("each half gets the same version of a window with a different end") {
      fleet[0].declare(long_one);
      fleet[9].declare(short_one);
      fleet.memory.go(5);
      fleet.memory.cuts.clear();
      fleet.memory.go(30);
      THEN("after the partition heals the longer window applies at all routers") {
        CHECK(fleet.memory.converged());
        CHECK(fleet.all([&](Calendar& c) { return c.is_site_frozen("east", kSettings, utc(2026, 12, 15)); }));
      }
      AND_WHEN("a later version is declared with the earlier end") {
        short_one.version = 2;
        fleet[5].declare(short_one);
        fleet.memory.go(3);
        THEN("it applies, also if an old copy is received again") {
          CHECK_FALSE(fleet[2].declare(long_one));
          CHECK(fleet.all([&](Calendar& c) {
            return !c.is_site_frozen("east", kSettings, utc(2026, 12, 15)) && c.status().size() == 1;
          }));
        }
      }
    }
  }
}

SCENARIO("a withdrawal is in force once a majority holds it") {
  GIVEN("a frozen fleet of nine routers, of which three are partitioned from the others") {
    Fleet fleet(9, 5);
    fleet[0].declare(window("sale", "2026-12-01 00:00", "2026-12-20 00:00", "UTC"));
    fleet.memory.go(5);
    fleet.memory.cut_off(0, 2);
    WHEN("the window is withdrawn at one of the three") {
      fleet[1].withdraw("sale", 1);
      fleet.memory.go(20);
      THEN("it still applies at all routers") {
        CHECK(fleet.all([](Calendar& c) { return c.is_site_frozen("east", kSettings, utc(2026, 12, 15)); }));
      }
      AND_WHEN("the partition heals") {
        fleet.memory.cuts.clear();
        fleet.memory.go(30);
        THEN("all hold the withdrawal, and changes are allowed") {
          CHECK(
              fleet.all([](Calendar& c) { return !c.is_site_frozen("east", kSettings, utc(2026, 12, 15)); }));
          CHECK(fleet.decide(8).outcome == Outcome::allowed);
        }
        AND_THEN("a later version of the window freezes the fleet again") {
          auto again = window("sale", "2026-12-01 00:00", "2026-12-20 00:00", "UTC");
          again.version = 2;
          fleet[4].declare(again);
          fleet.memory.go(3);
          CHECK(
              fleet.all([](Calendar& c) { return c.is_site_frozen("east", kSettings, utc(2026, 12, 15)); }));
        }
      }
    }
    WHEN("one router alone holds the withdrawal") {
      Calendar c(1000, testbed::SimulatedFleet::Router::all(9), {});
      c.declare(window("sale", "2026-12-01 00:00", "2026-12-20 00:00", "UTC"));
      CHECK(c.withdraw("sale", 1));
      CHECK_FALSE(c.withdraw("sale", 1));
      THEN("the window still applies") { CHECK(c.is_site_frozen("east", kSettings, utc(2026, 12, 15))); }
    }
  }
}

SCENARIO("a router whose calendar may be incomplete allows no change, but stops and rolls back") {
  GIVEN("nine routers, of which two are partitioned from the others") {
    Fleet fleet(9, 6);
    fleet.memory.go(5);
    fleet.memory.cut_off(0, 1);
    WHEN("a window is declared at one of the others") {
      fleet[5].declare(window("now", "2026-12-01 00:00", "2026-12-05 00:00", "UTC"));
      fleet.memory.go(60);
      THEN("the two do not know it, but allow no change either") {
        CHECK(fleet[0].status().empty());
        const auto answer = fleet.decide(0);
        CHECK(answer.outcome == Outcome::not_before);
        CHECK(answer.at == 0);
        CHECK(answer.why ==
              "this router's calendar may lack a freeze window: no contact with a majority for over 30 s");
        CHECK(fleet.decide(0, Action::stop) == Permission{});
        CHECK(fleet.decide(0, Action::roll_back) == Permission{});
      }
      AND_WHEN("the partition heals") {
        fleet.memory.cuts.clear();
        fleet.memory.go(20);
        THEN("they know the window") { CHECK(fleet.decide(0).window == "now"); }
      }
    }
  }
  GIVEN("a router that restarts while the fleet is frozen") {
    Fleet fleet(9, 7);
    fleet[5].declare(window("now", "2026-12-01 00:00", "2026-12-05 00:00", "UTC"));
    fleet.memory.go(5);
    fleet.memory.crash(2);
    fleet.memory.go(30);
    fleet.memory.start(2);
    THEN("it allows no change before it has caught up, and knows the window then") {
      CHECK(fleet.decide(2).outcome == Outcome::not_before);
      fleet.memory.go(3);
      CHECK(fleet.decide(2).window == "now");
    }
  }
}

SCENARIO("a wrong clock does not unfreeze a router") {
  GIVEN("a window that begins in half an hour, and a router whose clock is an hour slow") {
    Fleet fleet(9, 8, {}, utc(2026, 12, 24, 17, 30));
    fleet.memory.crash(3);
    fleet.memory.skew(3, -kHour);
    fleet.memory.start(3);
    fleet[0].declare(window("festive", "2026-12-24 18:00", "2027-01-02 09:00"));
    fleet.memory.go(30);
    THEN("the others decide by the window, and that router allows no change since its clock differs") {
      CHECK(fleet.decide(0, Action::start_stage).outcome == Outcome::allowed);  // at 17:30 ten minutes fit
      CHECK(fleet.decide(3).why == "this router's clock differs from the others' by 3600 s");
    }
  }
  GIVEN("a window that is about to end, and a router whose clock is 30 s fast") {
    Fleet fleet(9, 9, {}, utc(2027, 1, 2, 8, 58));
    fleet.memory.crash(3);
    fleet.memory.skew(3, 30);
    fleet.memory.start(3);
    fleet[0].declare(window("festive", "2026-12-24 18:00", "2027-01-02 09:00"));
    fleet.memory.go(105);  // 08:59:45 on the other clocks, 09:00:15 on this one
    THEN("it is still frozen, since windows are widened by a minute") {
      CHECK(fleet.decide(3).outcome == Outcome::not_before);
      CHECK(fleet.decide(3).window == "festive");
      fleet.memory.go(90);
      CHECK(fleet.decide(0).outcome == Outcome::allowed);
    }
  }
}

SCENARIO("a change under way rolls back for a new window if there is time, and otherwise holds") {
  const Seconds now = utc(2026, 12, 24, 12);
  auto c = single_router_calendar(now);
  auto w = window("festive", "2026-12-24 18:00", "2027-01-02 09:00");
  w.lead = kDay;
  GIVEN("a change that may take another hour, with a rollback of ten minutes") {
    auto plan = kTenMinutes;
    plan.max_duration = kHour;
    REQUIRE(c.late_window_effect(plan, 600, now) == LateWindowEffect::none);
    WHEN("the window is declared during its own lead time") {
      c.declare(w);
      THEN("the change rolls back") {
        CHECK(c.late_window_effect(plan, 600, now) == LateWindowEffect::rolls_back);
      }
      THEN("it holds if the rollback would end within the window") {
        CHECK(c.late_window_effect(plan, 600, utc(2026, 12, 24, 17, 55)) == LateWindowEffect::holds);
        CHECK(c.late_window_effect(plan, 600, utc(2026, 12, 26)) == LateWindowEffect::holds);
      }
    }
    WHEN("the change has an exception to the window") {
      c.declare(w);
      c.add_exception({.change = "cache-ttl",
                       .window = "festive",
                       .reason = "r",
                       .approvers = {"ana", "bo"},
                       .until = now + kDay});
      THEN("the change continues") { CHECK(c.late_window_effect(plan, 600, now) == LateWindowEffect::none); }
    }
  }
}

SCENARIO("a calendar that is full allows no change, and invalid bytes are refused") {
  const Seconds now = utc(2026, 12, 2);
  Calendar::Limits limits;
  limits.windows = 2;
  Calendar c(1, {1}, limits);
  c.majority_contacted(now);
  c.declare(window("a", "2027-06-01 00:00", "2027-06-02 00:00"));
  c.declare(window("b", "2027-06-01 00:00", "2027-06-02 00:00"));
  REQUIRE(c.decide(Action::next_stage, kTenMinutes, now).outcome == Outcome::allowed);
  WHEN("there is no room for a third window") {
    CHECK_FALSE(c.declare(window("c", "2027-07-01 00:00", "2027-07-02 00:00")));
    THEN("no change is allowed, and the reason says so") {
      CHECK(c.decide(Action::next_stage, kTenMinutes, now).why ==
            "this router refused a freeze window, which was invalid, the 257th, or the fifth "
            "differing copy of one version; withdraw some and restart");
    }
  }
  WHEN("received bytes cannot be decoded") {
    CHECK_THROWS_AS(c.join(std::string(24, '\xff'), now), InputError);
    CHECK_THROWS_AS(c.join(std::string(2000, '\0'), now), InputError);
  }
}

SCENARIO("calendars that receive the same items in any order, some twice, are equal") {
  for (unsigned seed = 0; seed < 1000; ++seed) {
    std::mt19937 random(seed);
    Calendar a(1, {1, 2, 3}, {}), b(2, {1, 2, 3}, {}), third(3, {1, 2, 3}, {});
    Calendar* all[] = {&a, &b, &third};
    for (int n = 0; n < 12; ++n) {
      auto& c = *all[random() % 3];
      const char* names[] = {"x", "y"};
      const auto* name = names[random() % 2];
      switch (random() % 4) {
        case 0:
        case 1: {
          auto w =
              window(name, "2026-12-01 00:00", random() % 2 ? "2026-12-09 00:00" : "2026-12-20 00:00", "UTC");
          w.version = 1 + static_cast<unsigned>(random() % 3),
          w.lead = static_cast<Seconds>(random() % 2) * 60;
          c.declare(w);
          break;
        }
        case 2:
          c.withdraw(name, 1 + static_cast<unsigned>(random() % 3));
          break;
        case 3:
          c.add_exception({.change = "c",
                           .window = name,
                           .reason = "r",
                           .approvers = {"ana", "bo"},
                           .version = 1 + static_cast<unsigned>(random() % 2),
                           .until = utc(2026, 12, 2) + static_cast<Seconds>(random() % 3)});
      }
    }
    // Each calendar receives all items of the others, in a random order and some twice. Several rounds are
    // needed, since a calendar that receives a withdrawal adds an item of its own.
    for (int round = 0; round < 6; ++round)
      for (auto* from : all)
        for (auto* to : all) {
          std::vector<std::string> items;
          for (int range = 0; range < replica::ReplicatedState::kDigestRanges; ++range)
            for (const auto id : from->ids_of_range(range)) items.push_back(from->bytes(id));
          std::ranges::shuffle(items, random);
          for (const auto& item : items) {
            to->join(item, utc(2026, 12, 2));
            if (random() % 3 == 0) to->join(item, utc(2026, 12, 2));
          }
        }
    for (int range = 0; range < replica::ReplicatedState::kDigestRanges; ++range) {
      REQUIRE(a.digest(range) == b.digest(range));
      REQUIRE(a.digest(range) == third.digest(range));
    }
    REQUIRE(a.exceptions() == b.exceptions());
    REQUIRE(a.refused_windows() + b.refused_windows() + third.refused_windows() == 0);
  }
}
