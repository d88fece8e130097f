// Freeze windows over holiday trading: what they block, for whom, until when; whose word of them counts.
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

// Unix time of a moment in UTC.
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

// A fleet of one, whose calendar is current.
Calendar alone(Seconds now) {
  Calendar c(1, {1}, {});
  c.majority_contacted(now);
  return c;
}

const PlannedChange kTenMinutes{.change = "cache-ttl", .work = kSettings, .sites = {}, .max_duration = 600};

// Routers with a calendar each.
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
  Permission ask(int n, Action action = Action::go_on) {
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

SCENARIO("a change that would run into the holidays is refused, with the first time at which it fits") {
  GIVEN("a window from Christmas Eve to the second of January, with a lead of a day") {
    const Seconds now = utc(2026, 12, 22, 12);
    auto c = alone(now);
    auto w = window("festive", "2026-12-24 18:00", "2027-01-02 09:00");
    w.lead = kDay;
    REQUIRE(c.declare(w));
    WHEN("a change of ten minutes is proposed two days before") {
      THEN("it goes on now") {
        CHECK(c.decide(Action::propose, kTenMinutes, now).outcome == Outcome::allowed);
      }
    }
    WHEN("a change whose longest time is two days is proposed") {
      auto plan = kTenMinutes;
      plan.max_duration = 2 * kDay;
      const auto answer = c.decide(Action::propose, plan, now);
      THEN("it is refused until the window is over, by its name") {
        CHECK(answer.outcome == Outcome::not_before);
        CHECK(answer.window == "festive");
        CHECK(answer.at == Approx(utc(2027, 1, 2, 9) + 60));
        CHECK(answer.why.find("the way back included, would run into the freeze window festive") !=
              std::string::npos);
      }
    }
    WHEN("a stage wants to start within the lead, or within the window") {
      THEN("it does not, and the reason tells which") {
        c.majority_contacted(utc(2026, 12, 28));
        const auto lead = c.decide(Action::start_stage, kTenMinutes, utc(2026, 12, 24, 12));
        CHECK(lead.outcome == Outcome::not_before);
        CHECK(lead.why.find("nothing starts from 2026-12-23 17:59 UTC on") != std::string::npos);
        const auto within = c.decide(Action::go_on, kTenMinutes, utc(2026, 12, 28));
        CHECK(within.outcome == Outcome::not_before);
        CHECK(within.why.find("it is within the freeze window festive until 2027-01-02 09:01 UTC") !=
              std::string::npos);
      }
    }
    WHEN("somebody wants to stop, or to go back, on Boxing Day") {
      THEN("nothing is in their way") {
        CHECK(c.decide(Action::stop, kTenMinutes, utc(2026, 12, 26)) == Permission{});
        CHECK(c.decide(Action::roll_back, kTenMinutes, utc(2026, 12, 26)) == Permission{});
      }
    }
    WHEN("the window is over") {
      c.majority_contacted(utc(2027, 1, 2, 9, 2));
      THEN("changes go on") {
        CHECK(c.decide(Action::propose, kTenMinutes, utc(2027, 1, 2, 9, 2)).outcome == Outcome::allowed);
      }
    }
  }
}

SCENARIO("a window blocks the kinds of change that it names, at the sites that it names") {
  GIVEN("a window for releases in the east, and one for settings in the west a week later") {
    const Seconds now = utc(2026, 12, 2);
    auto c = alone(now);
    auto east = window("east", "2026-12-01 00:00", "2026-12-05 00:00", "UTC");
    east.sites = {"east"}, east.blocks = kRelease;
    auto west = window("west", "2026-12-04 00:00", "2026-12-08 00:00", "UTC");
    west.sites = {"west"}, west.blocks = kSettings;
    REQUIRE((c.declare(east) && c.declare(west)));
    const auto ask = [&](std::uint8_t work, std::vector<std::string> sites) {
      return c.decide(Action::propose, {.change = "c", .work = work, .sites = sites, .max_duration = 60}, now)
          .outcome;
    };
    THEN("a release waits in the east and goes on in the west") {
      CHECK(ask(kRelease, {"east"}) == Outcome::not_before);
      CHECK(ask(kRelease, {"west"}) == Outcome::allowed);
      CHECK(ask(kRelease, {"east", "west"}) == Outcome::not_before);
      CHECK(ask(kRelease, {}) == Outcome::not_before);
    }
    THEN("settings go on in the east") { CHECK(ask(kSettings, {"east"}) == Outcome::allowed); }
    THEN("a change of both everywhere waits until the overlapping windows have all ended") {
      const auto answer =
          c.decide(Action::propose, {.change = "c", .work = kAnyWork, .sites = {}, .max_duration = 60}, now);
      CHECK(answer.at == Approx(utc(2026, 12, 8) + 60));
    }
    THEN("each site knows by itself whether it is frozen") {
      CHECK(c.is_site_frozen("east", kRelease, now));
      CHECK_FALSE(c.is_site_frozen("west", kRelease, now));
    }
  }
}

SCENARIO("local times that a calendar lacks or has twice are read the stricter way") {
  GIVEN("windows at the gap and the overlap of summer time in London") {
    const auto gap = window("gap", "2027-03-28 01:30", "2027-03-28 12:00");          // 01:00 to 02:00 is not
    const auto overlap = window("overlap", "2026-10-25 01:30", "2026-10-25 01:45");  // is twice
    const auto ends = window("ends", "2027-03-27 00:00", "2027-03-28 01:30");
    THEN("a begin that does not exist is the earlier moment, an end the later one") {
      CHECK(spans(gap, 0, 1e10, 0).at(0).from == Approx(utc(2027, 3, 28, 0, 30)));
      CHECK(spans(ends, 0, 1e10, 0).at(0).until == Approx(utc(2027, 3, 28, 1, 30)));
    }
    THEN("a begin that comes twice is the first, an end the second") {
      const auto s = spans(overlap, 0, 1e10, 0).at(0);
      CHECK(s.from == Approx(utc(2026, 10, 25, 0, 30)));
      CHECK(s.until == Approx(utc(2026, 10, 25, 1, 45)));
    }
  }
  GIVEN("a yearly window from leap day to leap day") {
    const auto w = window("leap", "02-29 00:00", "02-29 12:00", "UTC");
    THEN("in a year without one it is from the 28th to the first of March") {
      const auto s = spans(w, utc(2027, 1, 1), utc(2027, 12, 1), 0);
      REQUIRE(s.size() == 1);
      CHECK(s[0].from == Approx(utc(2027, 2, 28)));
      CHECK(s[0].until == Approx(utc(2027, 3, 1, 12)));
    }
    THEN("in a leap year it is that day") {
      const auto s = spans(w, utc(2028, 1, 1), utc(2028, 12, 1), 0);
      REQUIRE(s.size() == 1);
      CHECK(s[0].from == Approx(utc(2028, 2, 29)));
    }
  }
  GIVEN("a yearly window over new year") {
    const auto w = window("new-year", "12-24 18:00", "01-02 09:00", "UTC");
    THEN("on the first of January it is the one that began in the year before") {
      const auto s = spans(w, utc(2027, 1, 1), utc(2027, 1, 1, 1), 0);
      REQUIRE(s.size() == 1);
      CHECK(s[0].from == Approx(utc(2026, 12, 24, 18)));
      CHECK(s[0].until == Approx(utc(2027, 1, 2, 9)));
    }
  }
  GIVEN("one window said in the time of Tokyo and one in that of New York") {
    THEN("each is in its own zone") {
      CHECK(spans(window("t", "2026-12-24 00:00", "2026-12-25 00:00", "Asia/Tokyo"), 0, 1e10, 0).at(0).from ==
            Approx(utc(2026, 12, 23, 15)));
      CHECK(spans(window("n", "2026-12-24 00:00", "2026-12-25 00:00", "America/New_York"), 0, 1e10, 0)
                .at(0)
                .from == Approx(utc(2026, 12, 24, 5)));
    }
  }
}

SCENARIO("a declaration that makes no sense is refused with its reason") {
  Window good = window("w", "2026-12-24 18:00", "2027-01-02 09:00");
  const auto why = [&](auto&& spoil) {
    auto w = good;
    spoil(w);
    return refusal(w).value_or("");
  };
  CHECK(why([](Window& w) { w.zone = "Europe/Atlantis"; }) == "no time zone is named 'Europe/Atlantis'");
  CHECK(why([](Window& w) { w.until = w.from; }) == "it ends before it begins");
  CHECK(why([](Window& w) { w.until.year = 0; }) == "one end has a year and the other has none");
  CHECK(why([](Window& w) { w.until = {2026, 11, 31, 0, 0}; }) == "a day or time that no calendar has");
  CHECK(why([](Window& w) { w.author = ""; }) == "by is missing: who declares it");
  CHECK(why([](Window& w) { w.blocks = 0; }) == "it blocks nothing that is known here");
  CHECK(why([](Window& w) { w.lead = 40 * kDay; }) == "lead is over 30 days");
  CHECK(why([](Window& w) { w.lead = std::nan(""); }) == "lead is over 30 days");
  CHECK(why([](Window& w) { w.until.year = 2028; }) ==
        "with its lead it lasts over 330 days: nothing could ever change");
  for (const char* text : {"2026-13-01 00:00", "2026-02-30 00:00", "2026-12-24", "24:00", "2026-12-24 24:00",
                           "2026-12-24 18:60", "", "12-24-26-1 00:00", "-5-12 00:00", "2026-12-24 1e1:00"})
    CHECK_FALSE(parse_local_time(text).has_value());
  CHECK(to_string(*parse_local_time("2026-12-24 18:00")) == "2026-12-24 18:00");
  CHECK(to_string(*parse_local_time("2-29 7:05")) == "02-29 07:05");
}

SCENARIO("windows that leave no room until January, or none at all") {
  GIVEN("three windows one after the other, an hour apart") {
    const Seconds now = utc(2026, 12, 1);
    auto c = alone(now);
    c.declare(window("a", "2026-12-01 00:00", "2026-12-10 00:00", "UTC"));
    c.declare(window("b", "2026-12-10 01:00", "2026-12-20 00:00", "UTC"));
    c.declare(window("c", "2026-12-20 01:00", "2027-01-03 00:00", "UTC"));
    THEN("a change of ten minutes fits into the first gap") {
      CHECK(c.decide(Action::propose, kTenMinutes, now).at == Approx(utc(2026, 12, 10) + 60));
    }
    THEN("one of two hours waits until January") {
      auto plan = kTenMinutes;
      plan.max_duration = 2 * kHour;
      CHECK(c.decide(Action::propose, plan, now).at == Approx(utc(2027, 1, 3) + 60));
    }
  }
  GIVEN("two yearly windows that between them leave three days") {
    const Seconds now = utc(2026, 12, 1);
    auto c = alone(now);
    c.declare(window("winter", "11-01 00:00", "04-01 00:00", "UTC"));
    c.declare(window("rest", "04-04 00:00", "10-31 23:00", "UTC"));
    THEN("a change of a week never fits, and is told so") {
      auto plan = kTenMinutes;
      plan.max_duration = 7 * kDay;
      const auto answer = c.decide(Action::propose, plan, now);
      CHECK(answer.outcome == Outcome::never);
      CHECK(answer.why.find("no time is free for it in 800 days") != std::string::npos);
    }
  }
}

SCENARIO("an exception lets one change go on in one window, by two people, until it ends") {
  const Seconds now = utc(2026, 12, 26);
  auto c = alone(now);
  c.declare(window("festive", "2026-12-24 18:00", "2027-01-02 09:00"));
  Exception e{.change = "cache-ttl",
              .window = "festive",
              .reason = "sheets are stale",
              .approvers = {"ana", "bo"},
              .until = now + kHour};
  GIVEN("one that two approved") {
    REQUIRE_FALSE(refusal(e, now));
    REQUIRE(c.add_exception(e));
    THEN("that change goes on, another does not") {
      CHECK(c.decide(Action::go_on, kTenMinutes, now).outcome == Outcome::allowed);
      auto other = kTenMinutes;
      other.change = "another";
      CHECK(c.decide(Action::go_on, other, now).outcome == Outcome::not_before);
    }
    THEN("it does not where it would last past the exception's end") {
      CHECK(c.decide(Action::go_on, kTenMinutes, now + kHour - 300).outcome == Outcome::not_before);
    }
    THEN("of two the one that ends earlier stands, and a later version over both") {
      auto earlier = e;
      earlier.until = now + 60;
      CHECK(c.add_exception(earlier));
      CHECK_FALSE(c.add_exception(e));
      CHECK(c.decide(Action::go_on, kTenMinutes, now).outcome == Outcome::not_before);
      e.version = 2;
      CHECK(c.add_exception(e));
      CHECK(c.decide(Action::go_on, kTenMinutes, now).outcome == Outcome::allowed);
    }
  }
  GIVEN("ones that are not in order") {
    const auto why = [&](auto&& spoil) {
      auto bad = e;
      spoil(bad);
      return refusal(bad, now).value_or("");
    };
    CHECK(why([](Exception& x) { x.approvers[1] = " Ana"; }) == "the two who approve it are one person");
    CHECK(why([](Exception& x) { x.approvers[1] = "  "; }) == "two people have to approve it");
    CHECK(why([](Exception& x) { x.reason = ""; }) == "a reason of 1 to 200 bytes is needed");
    CHECK(why([&](Exception& x) { x.until = now + 8 * kDay; }) ==
          "it has to end, within seven days from now");
  }
}

SCENARIO("a declaration reaches the whole fleet from one router") {
  GIVEN("twenty routers, a tenth of whose datagrams are lost") {
    Fleet fleet(20, 3, {.lost = 0.1, .twice = 0.1, .delay = 0.05});
    fleet.memory.go(5);
    REQUIRE(fleet.ask(7).outcome == Outcome::allowed);
    WHEN("one declares a window that has begun") {
      fleet[0].declare(window("now", "2026-12-01 00:00", "2026-12-05 00:00", "UTC"));
      fleet.memory.go(2);
      THEN("none goes on") {
        for (int n = 0; n < 20; ++n) CHECK(fleet.ask(n).outcome == Outcome::not_before);
        CHECK(fleet.memory.converged());
      }
    }
  }
}

SCENARIO("a later version wins; at equal versions the stricter does, at every router alike") {
  GIVEN("a fleet whose two halves are cut from each other") {
    Fleet fleet(10, 4);
    fleet.memory.go(5);
    fleet.memory.cut_off(0, 4);
    auto short_one = window("sale", "2026-12-01 00:00", "2026-12-03 00:00", "UTC");
    auto long_one = window("sale", "2026-12-01 00:00", "2026-12-20 00:00", "UTC");
    WHEN("each half is told another end of the same version") {
      fleet[0].declare(long_one);
      fleet[9].declare(short_one);
      fleet.memory.go(5);
      fleet.memory.cuts.clear();
      fleet.memory.go(30);
      THEN("after the cut all heed the longer") {
        CHECK(fleet.memory.converged());
        CHECK(fleet.all([&](Calendar& c) { return c.is_site_frozen("east", kSettings, utc(2026, 12, 15)); }));
      }
      AND_WHEN("a later version says the shorter") {
        short_one.version = 2;
        fleet[5].declare(short_one);
        fleet.memory.go(3);
        THEN("that one stands, also where an old copy comes again") {
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
  GIVEN("a frozen fleet of nine, and three routers cut off from the others") {
    Fleet fleet(9, 5);
    fleet[0].declare(window("sale", "2026-12-01 00:00", "2026-12-20 00:00", "UTC"));
    fleet.memory.go(5);
    fleet.memory.cut_off(0, 2);
    WHEN("the window is withdrawn on the side of the three") {
      fleet[1].withdraw("sale", 1);
      fleet.memory.go(20);
      THEN("it stands for all") {
        CHECK(fleet.all([](Calendar& c) { return c.is_site_frozen("east", kSettings, utc(2026, 12, 15)); }));
      }
      AND_WHEN("the cut heals") {
        fleet.memory.cuts.clear();
        fleet.memory.go(30);
        THEN("all hold the withdrawal, and changes go on") {
          CHECK(
              fleet.all([](Calendar& c) { return !c.is_site_frozen("east", kSettings, utc(2026, 12, 15)); }));
          CHECK(fleet.ask(8).outcome == Outcome::allowed);
        }
        AND_THEN("a later version of the window freezes again") {
          auto again = window("sale", "2026-12-01 00:00", "2026-12-20 00:00", "UTC");
          again.version = 2;
          fleet[4].declare(again);
          fleet.memory.go(3);
          CHECK(
              fleet.all([](Calendar& c) { return c.is_site_frozen("east", kSettings, utc(2026, 12, 15)); }));
        }
      }
    }
    WHEN("a stranger and one router alone claim to hold it") {
      Calendar c(1000, testbed::SimulatedFleet::Router::all(9), {});
      c.declare(window("sale", "2026-12-01 00:00", "2026-12-20 00:00", "UTC"));
      CHECK(c.withdraw("sale", 1));
      CHECK_FALSE(c.withdraw("sale", 1));
      THEN("it stands") { CHECK(c.is_site_frozen("east", kSettings, utc(2026, 12, 15))); }
    }
  }
}

SCENARIO("a router that cannot tell whether its calendar is current goes on with nothing, yet stops") {
  GIVEN("nine routers, two of them cut off") {
    Fleet fleet(9, 6);
    fleet.memory.go(5);
    fleet.memory.cut_off(0, 1);
    WHEN("a window is declared on the other side") {
      fleet[5].declare(window("now", "2026-12-01 00:00", "2026-12-05 00:00", "UTC"));
      fleet.memory.go(60);
      THEN("the two do not know it, and go on with nothing all the same") {
        CHECK(fleet[0].status().empty());
        const auto answer = fleet.ask(0);
        CHECK(answer.outcome == Outcome::not_before);
        CHECK(answer.at == 0);
        CHECK(answer.why ==
              "this router's calendar may lack a window: no contact with a majority for over 30 s");
        CHECK(fleet.ask(0, Action::stop) == Permission{});
        CHECK(fleet.ask(0, Action::roll_back) == Permission{});
      }
      AND_WHEN("the cut heals") {
        fleet.memory.cuts.clear();
        fleet.memory.go(20);
        THEN("they know it") { CHECK(fleet.ask(0).window == "now"); }
      }
    }
  }
  GIVEN("a router that returns while the fleet is frozen") {
    Fleet fleet(9, 7);
    fleet[5].declare(window("now", "2026-12-01 00:00", "2026-12-05 00:00", "UTC"));
    fleet.memory.go(5);
    fleet.memory.crash(2);
    fleet.memory.go(30);
    fleet.memory.start(2);
    THEN("it goes on with nothing before it has caught up, and knows the window then") {
      CHECK(fleet.ask(2).outcome == Outcome::not_before);
      fleet.memory.go(3);
      CHECK(fleet.ask(2).window == "now");
    }
  }
}

SCENARIO("a clock that is off does not unfreeze a router") {
  GIVEN("a window that begins in an hour, and a router whose clock is an hour late") {
    Fleet fleet(9, 8, {}, utc(2026, 12, 24, 17, 30));
    fleet.memory.crash(3);
    fleet.memory.skew(3, -kHour);
    fleet.memory.start(3);
    fleet[0].declare(window("festive", "2026-12-24 18:00", "2027-01-02 09:00"));
    fleet.memory.go(30);
    THEN("the others know that they may not; so does that one, since its clock is apart from theirs") {
      CHECK(fleet.ask(0, Action::start_stage).outcome == Outcome::allowed);  // 17:30: ten minutes fit
      CHECK(fleet.ask(3).why == "this router's clock is 3600 s apart from the others'");
    }
  }
  GIVEN("a window that ended, and a router whose clock is 30 s ahead at the end") {
    Fleet fleet(9, 9, {}, utc(2027, 1, 2, 8, 58));
    fleet.memory.crash(3);
    fleet.memory.skew(3, 30);
    fleet.memory.start(3);
    fleet[0].declare(window("festive", "2026-12-24 18:00", "2027-01-02 09:00"));
    fleet.memory.go(105);  // 08:59:45 for the others, 09:00:15 for that one
    THEN("it is still frozen: windows are wider by a minute than they were said") {
      CHECK(fleet.ask(3).outcome == Outcome::not_before);
      CHECK(fleet.ask(3).window == "festive");
      fleet.memory.go(90);
      CHECK(fleet.ask(0).outcome == Outcome::allowed);
    }
  }
}

SCENARIO("a change that a late declaration overtakes goes back while there is time, else it stays") {
  const Seconds now = utc(2026, 12, 24, 12);
  auto c = alone(now);
  auto w = window("festive", "2026-12-24 18:00", "2027-01-02 09:00");
  w.lead = kDay;
  GIVEN("a change with an hour to go and ten minutes of way back") {
    auto plan = kTenMinutes;
    plan.max_duration = kHour;
    REQUIRE(c.late_window_effect(plan, 600, now) == LateWindowEffect::none);
    WHEN("the window is declared within its own lead") {
      c.declare(w);
      THEN("it goes back") { CHECK(c.late_window_effect(plan, 600, now) == LateWindowEffect::rolls_back); }
      THEN("it stays where it stands when the way back would end within the window") {
        CHECK(c.late_window_effect(plan, 600, utc(2026, 12, 24, 17, 55)) == LateWindowEffect::holds);
        CHECK(c.late_window_effect(plan, 600, utc(2026, 12, 26)) == LateWindowEffect::holds);
      }
    }
    WHEN("the window is excepted for it") {
      c.declare(w);
      c.add_exception({.change = "cache-ttl",
                       .window = "festive",
                       .reason = "r",
                       .approvers = {"ana", "bo"},
                       .until = now + kDay});
      THEN("it goes on") { CHECK(c.late_window_effect(plan, 600, now) == LateWindowEffect::none); }
    }
  }
}

SCENARIO("a calendar that is full or told nonsense goes on with nothing") {
  const Seconds now = utc(2026, 12, 2);
  Calendar::Limits bounds;
  bounds.windows = 2;
  Calendar c(1, {1}, bounds);
  c.majority_contacted(now);
  c.declare(window("a", "2027-06-01 00:00", "2027-06-02 00:00"));
  c.declare(window("b", "2027-06-01 00:00", "2027-06-02 00:00"));
  REQUIRE(c.decide(Action::go_on, kTenMinutes, now).outcome == Outcome::allowed);
  WHEN("a third window has no room") {
    CHECK_FALSE(c.declare(window("c", "2027-07-01 00:00", "2027-07-02 00:00")));
    THEN("it says so and goes on with nothing") {
      CHECK(c.decide(Action::go_on, kTenMinutes, now).why ==
            "a window is not heeded here: past 256, a fifth copy of one version, or without sense; withdraw "
            "some, restart");
    }
  }
  WHEN("what comes cannot be read") {
    CHECK_THROWS_AS(c.join(std::string(24, '\xff'), now), InputError);
    CHECK_THROWS_AS(c.join(std::string(2000, '\0'), now), InputError);
  }
}

SCENARIO("calendars that hear the same in any order, with losses and doubles, are the same") {
  for (unsigned seed = 0; seed < 1000; ++seed) {
    std::mt19937 chance(seed);
    Calendar a(1, {1, 2, 3}, {}), b(2, {1, 2, 3}, {}), third(3, {1, 2, 3}, {});
    Calendar* all[] = {&a, &b, &third};
    for (int n = 0; n < 12; ++n) {
      auto& c = *all[chance() % 3];
      const char* names[] = {"x", "y"};
      const auto* name = names[chance() % 2];
      switch (chance() % 4) {
        case 0:
        case 1: {
          auto w =
              window(name, "2026-12-01 00:00", chance() % 2 ? "2026-12-09 00:00" : "2026-12-20 00:00", "UTC");
          w.version = 1 + static_cast<unsigned>(chance() % 3),
          w.lead = static_cast<Seconds>(chance() % 2) * 60;
          c.declare(w);
          break;
        }
        case 2:
          c.withdraw(name, 1 + static_cast<unsigned>(chance() % 3));
          break;
        case 3:
          c.add_exception({.change = "c",
                           .window = name,
                           .reason = "r",
                           .approvers = {"ana", "bo"},
                           .version = 1 + static_cast<unsigned>(chance() % 2),
                           .until = utc(2026, 12, 2) + static_cast<Seconds>(chance() % 3)});
      }
    }
    // Each hears all of the others, in an order of its own, some twice; as often as it takes to say what
    // follows from it (a withdrawal that is heard is held).
    for (int round = 0; round < 6; ++round)
      for (auto* from : all)
        for (auto* to : all) {
          std::vector<std::string> items;
          for (int range = 0; range < replica::ReplicatedState::kDigestRanges; ++range)
            for (const auto id : from->ids_of_range(range)) items.push_back(from->bytes(id));
          std::ranges::shuffle(items, chance);
          for (const auto& item : items) {
            to->join(item, utc(2026, 12, 2));
            if (chance() % 3 == 0) to->join(item, utc(2026, 12, 2));
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
