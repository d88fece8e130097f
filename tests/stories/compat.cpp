// The compatibility checker: what a release may change while half a fleet still runs the one before.
#include <catch2/catch.hpp>

#include "base/text.h"
#include "compat/announcement.h"
#include "compat/compatibility.h"
#include "tests/schema_text.h"

using namespace walkpaddle;
using namespace walkpaddle::compat;

namespace {

const std::string kHead = "@0xb7d3a1c94e5f2a68;\n";

Release release(const std::string& body, const std::string& fields, const std::string& name = "v1",
                int version = 1, const std::string& channel_more = "", int largest = 1024) {
  SchemaText text(kHead + body);
  return text.release(R"({"release":")" + name + R"(","channels":{"gossip":{"version":)" +
                      std::to_string(version) + R"(,"root":"msg.Fact","largest":)" + std::to_string(largest) +
                      channel_more + R"(}},"fields":{)" + fields + "}}");
}

const std::string kFact = "struct Fact { server @0 :UInt64; started @1 :Float64; health @2 :UInt8; }\n";
const std::string kRules =
    R"("msg.Fact.started":{"unit":"s","least":0,"most":100},"msg.Fact.health":{"values":3})";

CompatibilityReport beside(const Release& next, const Release& old, const char* router = "r2",
                           bool away = false) {
  return check_compatibility(next, {{router, &old, away}});
}

// The first reason, where there is one.
std::string first(const CompatibilityReport& v) {
  return v.findings.empty() ? "" : v.findings.front().text();
}

}  // namespace

SCENARIO("what changes nothing for a reader is safe") {
  const auto old = release(kFact, kRules);
  THEN("the same release is") { CHECK(beside(old, old).compatibility == Compatibility::safe); }
  THEN("a field added at the end is, as older routers pass over it") {
    const auto next = release(
        "struct Fact { server @0 :UInt64; started @1 :Float64; health @2 :UInt8; limit @3 :Float64; }",
        kRules, "v2", 2);
    CHECK(beside(next, old).compatibility == Compatibility::safe);
    CHECK(beside(next, old).may_start());
  }
  THEN("a new name for the same field is, where the rules say what it was") {
    const auto next = release("struct Fact { server @0 :UInt64; began @1 :Float64; health @2 :UInt8; }",
                              R"("msg.Fact.began":{"unit":"s","least":0,"most":100,"was":"started"},
                                 "msg.Fact.health":{"values":3})",
                              "v2", 2);
    CHECK(beside(next, old).compatibility == Compatibility::safe);
  }
}

SCENARIO("a release that would break a router that is alive is refused, by channel, field and router") {
  const auto old = release(kFact, kRules);
  GIVEN("a field that is removed") {
    const auto v = beside(release("struct Fact { server @0 :UInt64; started @1 :Float64; }",
                                  R"("msg.Fact.started":{"unit":"s","least":0,"most":100})", "v2", 2),
                          old);
    THEN("it breaks, and says so in one sentence") {
      CHECK(v.compatibility == Compatibility::breaking);
      CHECK_FALSE(v.may_start());
      CHECK(first(v) == "channel gossip, msg.Fact.health: field 2 is removed (r2 reads version 1)");
    }
  }
  GIVEN("two fields that change their numbers") {
    const auto v = beside(
        release("struct Fact { server @0 :UInt64; health @1 :UInt8; started @2 :Float64; }", kRules, "v2", 2),
        old);
    CHECK(v.compatibility == Compatibility::breaking);
    CHECK(first(v).find("number 1 now is health: renumbered, or another meaning") != std::string::npos);
  }
  GIVEN("a type of another width") {
    const auto v = beside(
        release("struct Fact { server @0 :UInt64; started @1 :Float32; health @2 :UInt8; }", kRules, "v2", 2),
        old);
    CHECK(v.compatibility == Compatibility::breaking);
    CHECK(first(v).find("its type was Float64 and is Float32") != std::string::npos);
  }
  GIVEN("seconds that become milliseconds under the same type") {
    const auto v = beside(
        release(kFact,
                R"("msg.Fact.started":{"unit":"ms","least":0,"most":100},"msg.Fact.health":{"values":3})",
                "v2", 2),
        old);
    CHECK(v.compatibility == Compatibility::breaking);
    CHECK(first(v).find("its unit was s and is ms under the same type") != std::string::npos);
  }
  GIVEN("another meaning of what is absent") {
    const auto v =
        beside(release("struct Fact { server @0 :UInt64; started @1 :Float64 = 5; health @2 :UInt8; }",
                       kRules, "v2", 2),
               old);
    CHECK(v.compatibility == Compatibility::breaking);
    CHECK(first(v).find("what it means when absent was 0.000000 and is 5.000000") != std::string::npos);
  }
  GIVEN("a field that may be absent, and then must be there") {
    const auto v = beside(release(kFact,
                                  R"("msg.Fact.started":{"unit":"s","least":0,"most":100,"absent":"must"},
                                     "msg.Fact.health":{"values":3})",
                                  "v2", 2),
                          old);
    CHECK(v.compatibility == Compatibility::breaking);
    CHECK(first(v).find("it must be there, and its writer may leave it out") != std::string::npos);
  }
  GIVEN("a bound that becomes narrower than what older routers write") {
    const auto v = beside(
        release(kFact,
                R"("msg.Fact.started":{"unit":"s","least":0,"most":50},"msg.Fact.health":{"values":3})", "v2",
                2),
        old);
    CHECK(v.compatibility == Compatibility::breaking);
  }
  GIVEN("a channel that is given up") {
    SchemaText text(kHead + kFact);
    const auto next = text.release(R"({"release":"v2","channels":{}})");
    CHECK(first(beside(next, old)) ==
          "channel gossip: the channel is given up while its reader lives (r2 reads version 1)");
  }
  GIVEN("a router whose release is not kept here") {
    const auto v = check_compatibility(old, {{"r9", nullptr, false}});
    CHECK(v.compatibility == Compatibility::breaking);
    CHECK(first(v).find("r9") != std::string::npos);
  }
}

SCENARIO("a number that was retired is not taken again") {
  const auto old = release("struct Fact { server @0 :UInt64; retiredLimit @1 :Float64; }",
                           R"("msg.Fact.retiredLimit":{"retired":true})");
  const auto next = release("struct Fact { server @0 :UInt64; load @1 :Float64; }", "", "v2", 2);
  const auto v = beside(next, old);
  CHECK(v.compatibility == Compatibility::breaking);
  CHECK(first(v).find("number 1 was retired and is taken again for load") != std::string::npos);
}

SCENARIO("what older readers refuse waits until all read the new version") {
  const auto old = release(kFact, kRules);
  GIVEN("a bound wider than what an older reader takes") {
    const auto wide = [&](const std::string& more) {
      return release(kFact,
                     R"("msg.Fact.started":{"unit":"s","least":0,"most":1000)" + more +
                         R"(},"msg.Fact.health":{"values":3})",
                     "v2", 2);
    };
    THEN("it is safe once all read version 2") {
      const auto v = beside(wide(""), old);
      CHECK(v.compatibility == Compatibility::conditional);
      CHECK(v.findings.front().needed_version == 2);
      CHECK_FALSE(v.may_start());
    }
    THEN("a change may start where the wider form is written only then") {
      CHECK(beside(wide(R"(,"gated":true)"), old).may_start());
    }
  }
  GIVEN("a word that an older reader refuses") {
    const auto v = beside(
        release(kFact,
                R"("msg.Fact.started":{"unit":"s","least":0,"most":100},"msg.Fact.health":{"values":4})",
                "v2", 2),
        old);
    CHECK(v.compatibility == Compatibility::conditional);
    CHECK(first(v).find("it has 4 words, its reader knows 3") != std::string::npos);
  }
  GIVEN("a message that outgrows what a datagram has room for") {
    const auto v = beside(release(kFact, kRules, "v2", 2, "", 4096), old);
    CHECK(v.compatibility == Compatibility::conditional);
    CHECK(first(v).find("messages grow to 4096 bytes, over 1024 its reader refuses") != std::string::npos);
  }
  GIVEN("a member added to a union") {
    const std::string two = "struct Fact { union { server @0 :UInt64; box @1 :Float64; } }";
    const std::string three =
        "struct Fact { union { server @0 :UInt64; box @1 :Float64; parent @2 :Float64; } }";
    THEN("older readers refuse it, unless they pass over what they do not know") {
      CHECK(beside(release(three, "", "v2", 2), release(two, "")).compatibility ==
            Compatibility::conditional);
      const std::string passes = R"(,"unknown":"passed over")";
      CHECK(beside(release(three, "", "v2", 2, passes), release(two, "", "v1", 1, passes)).compatibility ==
            Compatibility::safe);
    }
  }
  GIVEN("a field that alters what another means") {
    const auto v = beside(
        release("struct Fact { server @0 :UInt64; started @1 :Float64; health @2 :UInt8; scale @3 :UInt8; }",
                kRules + R"(,"msg.Fact.scale":{"alters":"msg.Fact.started"})", "v2", 2),
        old);
    CHECK(v.compatibility == Compatibility::conditional);
  }
}

SCENARIO("a release that suits the last one breaks one that is away and will return") {
  // v1 refuses words past 3; v2 knows 5 and v3 writes them.
  const auto v1 = release(kFact, kRules);
  const std::string five =
      R"("msg.Fact.started":{"unit":"s","least":0,"most":100},"msg.Fact.health":{"values":5})";
  const auto v2 = release(kFact, five, "v2", 2), v3 = release(kFact, five, "v3", 3);
  CHECK(check_compatibility(v3, {{"r1", &v2, false}}).compatibility == Compatibility::safe);
  const auto v = check_compatibility(v3, {{"r1", &v2, false}, {"r7", &v1, true}});
  CHECK(v.compatibility == Compatibility::conditional);
  CHECK(first(v).find("r7, away and expected back, reads version 1, safe once all read version 3") !=
        std::string::npos);
}

SCENARIO("reads first, writes later: the form that is written is one that every live router reads") {
  CHECK(version_to_write(3, {3, 3}) == 3);
  CHECK(version_to_write(3, {3, 2}) == 2);
  CHECK(version_to_write(3, {0, 3}) == 1);  // one that announces nothing
  CHECK(version_to_write(3, {}) == 3);
  constexpr int versions[kAnnouncedChannels] = {1, 2, 1, 3, 1};
  const auto word = announcement(versions);
  CHECK(announced_version(word, AnnouncedChannel::gossip) == 2);
  CHECK(announced_version(word, AnnouncedChannel::changes) == 3);
  CHECK(announced_version(0, AnnouncedChannel::gossip) == 1);
}

SCENARIO("rules that say nothing of any schema are refused") {
  SchemaText text(kHead + kFact);
  const auto why = [&](const std::string& rules) {
    try {
      text.release(rules);
      return std::string();
    } catch (const InputError& e) {
      return std::string(e.what());
    }
  };
  CHECK(why(R"({"release":"v","channels":{},"fields":{"msg.Fact.sever":{}}})") ==
        "rule for msg.Fact.sever: no schema has that field");
  CHECK(why(R"({"release":"v","channels":{},"fields":{"msg.Fact.server":{"untis":"s"}}})") ==
        "rule for msg.Fact.server: unknown word untis");
  CHECK(why(R"({"release":"v","channels":{"g":{"version":1,"root":"msg.Nothing","largest":1}}})") ==
        "channel g: no schema has its root msg.Nothing");
  CHECK(why("{").starts_with("rules that cannot be read"));
  CHECK_THROWS_AS(read_release(std::vector<std::string>{std::string(64, '\xee')}, "{}"), InputError);
}
