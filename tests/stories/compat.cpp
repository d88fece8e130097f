// The compatibility check: what a release may change while a part of the fleet still runs the previous one.
#include <catch2/catch.hpp>

#include "base/text.h"
#include "compat/announcement.h"
#include "compat/compatibility.h"
#include "tests/schema_text.h"

using namespace walkpaddle;
using namespace walkpaddle::compat;

namespace {

const std::string kFileId = "@0xb7d3a1c94e5f2a68;\n";

Release make_release(const std::string& body, const std::string& fields, const std::string& name = "v1",
                     int version = 1, const std::string& channel_rules = "", int max_bytes = 1024) {
  SchemaText text(kFileId + body);
  return text.release(R"({"release":")" + name + R"(","channels":{"gossip":{"version":)" +
                      std::to_string(version) + R"(,"root":"msg.Fact","largest":)" +
                      std::to_string(max_bytes) + channel_rules + R"(}},"fields":{)" + fields + "}}");
}

const std::string kFact = "struct Fact { server @0 :UInt64; started @1 :Float64; health @2 :UInt8; }\n";
const std::string kRules =
    R"("msg.Fact.started":{"unit":"s","least":0,"most":100},"msg.Fact.health":{"values":3})";

CompatibilityReport check_against(const Release& next, const Release& old, const char* router = "r2",
                                  bool away = false) {
  return check_compatibility(next, {{router, &old, away}});
}

// The first finding as text; empty if there is none.
std::string first_reason(const CompatibilityReport& report) {
  return report.findings.empty() ? "" : report.findings.front().text();
}

}  // namespace

SCENARIO("a release is safe if no reader is affected by its changes") {
  const auto old = make_release(kFact, kRules);
  THEN("the same release is safe") { CHECK(check_against(old, old).compatibility == Compatibility::safe); }
  THEN("a field added at the end is safe, since older routers ignore it") {
    const auto next = make_release(
        "struct Fact { server @0 :UInt64; started @1 :Float64; health @2 :UInt8; limit @3 :Float64; }",
        kRules, "v2", 2);
    CHECK(check_against(next, old).compatibility == Compatibility::safe);
    CHECK(check_against(next, old).may_start());
  }
  THEN("a renamed field is safe if the rules state its former name") {
    const auto next = make_release("struct Fact { server @0 :UInt64; began @1 :Float64; health @2 :UInt8; }",
                                   R"("msg.Fact.began":{"unit":"s","least":0,"most":100,"was":"started"},
                                 "msg.Fact.health":{"values":3})",
                                   "v2", 2);
    CHECK(check_against(next, old).compatibility == Compatibility::safe);
  }
}

SCENARIO("a release that breaks a live router is refused with the channel, field and router") {
  const auto old = make_release(kFact, kRules);
  GIVEN("a removed field") {
    const auto report =
        check_against(make_release("struct Fact { server @0 :UInt64; started @1 :Float64; }",
                                   R"("msg.Fact.started":{"unit":"s","least":0,"most":100})", "v2", 2),
                      old);
    THEN("the release is breaking, and one sentence gives the reason") {
      CHECK(report.compatibility == Compatibility::breaking);
      CHECK_FALSE(report.may_start());
      CHECK(first_reason(report) ==
            "channel gossip, msg.Fact.health: field 2 is removed (r2 reads version 1)");
    }
  }
  GIVEN("two fields whose numbers are exchanged") {
    const auto report = check_against(
        make_release("struct Fact { server @0 :UInt64; health @1 :UInt8; started @2 :Float64; }", kRules,
                     "v2", 2),
        old);
    CHECK(report.compatibility == Compatibility::breaking);
    CHECK(first_reason(report).find("number 1 now belongs to health: renumbered, or another meaning") !=
          std::string::npos);
  }
  GIVEN("a field type of a different width") {
    const auto report = check_against(
        make_release("struct Fact { server @0 :UInt64; started @1 :Float32; health @2 :UInt8; }", kRules,
                     "v2", 2),
        old);
    CHECK(report.compatibility == Compatibility::breaking);
    CHECK(first_reason(report).find("its type changes from Float64 to Float32") != std::string::npos);
  }
  GIVEN("a unit that changes from seconds to milliseconds under the same type") {
    const auto report = check_against(
        make_release(
            kFact, R"("msg.Fact.started":{"unit":"ms","least":0,"most":100},"msg.Fact.health":{"values":3})",
            "v2", 2),
        old);
    CHECK(report.compatibility == Compatibility::breaking);
    CHECK(first_reason(report).find("its unit changes from s to ms under the same type") !=
          std::string::npos);
  }
  GIVEN("a changed default value") {
    const auto report = check_against(
        make_release("struct Fact { server @0 :UInt64; started @1 :Float64 = 5; health @2 :UInt8; }", kRules,
                     "v2", 2),
        old);
    CHECK(report.compatibility == Compatibility::breaking);
    CHECK(first_reason(report).find("its value when absent changes from 0.000000 to 5.000000") !=
          std::string::npos);
  }
  GIVEN("an optional field that becomes required") {
    const auto report =
        check_against(make_release(kFact,
                                   R"("msg.Fact.started":{"unit":"s","least":0,"most":100,"absent":"must"},
                                     "msg.Fact.health":{"values":3})",
                                   "v2", 2),
                      old);
    CHECK(report.compatibility == Compatibility::breaking);
    CHECK(first_reason(report).find("it becomes required, but the running release may leave it out") !=
          std::string::npos);
  }
  GIVEN("a bound that becomes narrower than the values that older routers write") {
    const auto report = check_against(
        make_release(kFact,
                     R"("msg.Fact.started":{"unit":"s","least":0,"most":50},"msg.Fact.health":{"values":3})",
                     "v2", 2),
        old);
    CHECK(report.compatibility == Compatibility::breaking);
  }
  GIVEN("a removed channel") {
    SchemaText text(kFileId + kFact);
    const auto next = text.release(R"({"release":"v2","channels":{}})");
    CHECK(first_reason(check_against(next, old)) ==
          "channel gossip: the channel is removed, but the running release still reads it (r2 reads version "
          "1)");
  }
  GIVEN("a router whose release has no schemas here") {
    const auto report = check_compatibility(old, {{"r9", nullptr, false}});
    CHECK(report.compatibility == Compatibility::breaking);
    CHECK(first_reason(report).find("r9") != std::string::npos);
  }
}

SCENARIO("a field that reuses a retired number is breaking") {
  const auto old = make_release("struct Fact { server @0 :UInt64; retiredLimit @1 :Float64; }",
                                R"("msg.Fact.retiredLimit":{"retired":true})");
  const auto next = make_release("struct Fact { server @0 :UInt64; load @1 :Float64; }", "", "v2", 2);
  const auto report = check_against(next, old);
  CHECK(report.compatibility == Compatibility::breaking);
  CHECK(first_reason(report).find("number 1 was retired and is reused for load") != std::string::npos);
}

SCENARIO("a change that older readers refuse is conditional on all readers reading the new version") {
  const auto old = make_release(kFact, kRules);
  GIVEN("a bound wider than an older reader accepts") {
    const auto wider_release = [&](const std::string& more) {
      return make_release(kFact,
                          R"("msg.Fact.started":{"unit":"s","least":0,"most":1000)" + more +
                              R"(},"msg.Fact.health":{"values":3})",
                          "v2", 2);
    };
    THEN("it is conditional on version 2, and a rollout may not start") {
      const auto report = check_against(wider_release(""), old);
      CHECK(report.compatibility == Compatibility::conditional);
      CHECK(report.findings.front().needed_version == 2);
      CHECK_FALSE(report.may_start());
    }
    THEN("a rollout may start if the field is gated, so that wider values are written only then") {
      CHECK(check_against(wider_release(R"(,"gated":true)"), old).may_start());
    }
  }
  GIVEN("an enum value that an older reader refuses") {
    const auto report = check_against(
        make_release(kFact,
                     R"("msg.Fact.started":{"unit":"s","least":0,"most":100},"msg.Fact.health":{"values":4})",
                     "v2", 2),
        old);
    CHECK(report.compatibility == Compatibility::conditional);
    CHECK(first_reason(report).find("it has 4 values, but the running release knows only 3") !=
          std::string::npos);
  }
  GIVEN("messages longer than an older reader accepts") {
    const auto report = check_against(make_release(kFact, kRules, "v2", 2, "", 4096), old);
    CHECK(report.compatibility == Compatibility::conditional);
    CHECK(first_reason(report).find(
              "messages may grow to 4096 bytes, but the running release refuses more than 1024") !=
          std::string::npos);
  }
  GIVEN("a new member of a union") {
    const std::string two = "struct Fact { union { server @0 :UInt64; box @1 :Float64; } }";
    const std::string three =
        "struct Fact { union { server @0 :UInt64; box @1 :Float64; parent @2 :Float64; } }";
    THEN("it is conditional, unless readers skip unknown members of the union") {
      CHECK(check_against(make_release(three, "", "v2", 2), make_release(two, "")).compatibility ==
            Compatibility::conditional);
      const std::string skips_unknown = R"(,"unknown":"passed over")";
      CHECK(check_against(make_release(three, "", "v2", 2, skips_unknown),
                          make_release(two, "", "v1", 1, skips_unknown))
                .compatibility == Compatibility::safe);
    }
  }
  GIVEN("a new field that alters the meaning of another") {
    const auto report = check_against(
        make_release(
            "struct Fact { server @0 :UInt64; started @1 :Float64; health @2 :UInt8; scale @3 :UInt8; }",
            kRules + R"(,"msg.Fact.scale":{"alters":"msg.Fact.started"})", "v2", 2),
        old);
    CHECK(report.compatibility == Compatibility::conditional);
  }
}

SCENARIO(
    "a release that is safe beside the previous one may not be safe for a router that is away and may "
    "return") {
  // v1 refuses values past the third; v2 and v3 know five.
  const auto v1 = make_release(kFact, kRules);
  const std::string five_values =
      R"("msg.Fact.started":{"unit":"s","least":0,"most":100},"msg.Fact.health":{"values":5})";
  const auto v2 = make_release(kFact, five_values, "v2", 2), v3 = make_release(kFact, five_values, "v3", 3);
  CHECK(check_compatibility(v3, {{"r1", &v2, false}}).compatibility == Compatibility::safe);
  const auto report = check_compatibility(v3, {{"r1", &v2, false}, {"r7", &v1, true}});
  CHECK(report.compatibility == Compatibility::conditional);
  CHECK(first_reason(report).find(
            "r7, which is away and may return, reads version 1, safe once all routers read version 3") !=
        std::string::npos);
}

SCENARIO("the version to write is the highest that every reader reads") {
  CHECK(version_to_write(3, {3, 3}) == 3);
  CHECK(version_to_write(3, {3, 2}) == 2);
  CHECK(version_to_write(3, {0, 3}) == 1);  // 0: a router without an announcement
  CHECK(version_to_write(3, {}) == 3);
  constexpr int versions[kAnnouncedChannels] = {1, 2, 1, 3, 1};
  const auto announced = announcement(versions);
  CHECK(announced_version(announced, AnnouncedChannel::gossip) == 2);
  CHECK(announced_version(announced, AnnouncedChannel::changes) == 3);
  CHECK(announced_version(0, AnnouncedChannel::gossip) == 1);
}

SCENARIO("invalid rules and schemas are refused") {
  SchemaText text(kFileId + kFact);
  const auto error_of = [&](const std::string& rules) {
    try {
      text.release(rules);
      return std::string();
    } catch (const InputError& e) {
      return std::string(e.what());
    }
  };
  CHECK(error_of(R"({"release":"v","channels":{},"fields":{"msg.Fact.sever":{}}})") ==
        "rule for msg.Fact.sever: no schema defines this field");
  CHECK(error_of(R"({"release":"v","channels":{},"fields":{"msg.Fact.server":{"untis":"s"}}})") ==
        "rule for msg.Fact.server: unknown key untis");
  CHECK(error_of(R"({"release":"v","channels":{"g":{"version":1,"root":"msg.Nothing","largest":1}}})") ==
        "channel g: no schema defines its root msg.Nothing");
  CHECK(error_of("{").starts_with("cannot parse the rules"));
  CHECK_THROWS_AS(read_release(std::vector<std::string>{std::string(64, '\xee')}, "{}"), InputError);
}
