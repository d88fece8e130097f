// The configuration that the platform hands to a router, for deployments like those of the site files.
#pragma once

#include <string>
#include <vector>

#include "common/stand_in.h"

namespace review {

struct Deployment {
  std::string family;
  Words zones;
  Words kinds{"cache", "parent", "origin"};
  std::string classes;   // JSON objects of the settings' `categories`
  std::string by_class;  // members of `specifics` that have a value for each class
  int routers = 1;
  int routers_in_zone = 1;  // in zone 0, where the routers stand
  int drain_grace_ms = 500;
  int memory_mb = 192;
  bool direct = true;
  bool cancel = true;
  bool second_copies = false;
  std::string report = R"({"names":["util","x0"],"source":"answers"})";
  std::string notes = "all";
  std::string siblings = "location";
  std::string weights = "none";
};

inline std::string config_json(const Deployment& d, const std::string& name, int port, int bus,
                               const std::vector<Member>& members) {
  const auto list = [](const Words& words) {
    std::string text;
    for (const auto& word : words) text += (text.empty() ? "\"" : ",\"") + word + "\"";
    return "[" + text + "]";
  };
  std::string known;
  for (const auto& member : members) known += (known.empty() ? "" : ",") + member.json(d.zones, d.kinds);
  std::string seats = std::to_string(d.routers_in_zone);
  for (std::size_t zone = 1; zone < d.zones.size(); ++zone)
    seats += zone == 1 ? "," + std::to_string(d.routers - d.routers_in_zone) : ",0";
  const auto flag = [](bool value) { return std::string(value ? "true" : "false"); };
  return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + std::to_string(port) +
         "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" +
         std::to_string(d.memory_mb) +
         ",\"sockets\":1024},"
         "\"bus\":\"127.0.0.1:" +
         std::to_string(bus) +
         "\",\"flow_bytes_per_s\":4000000,\"link_bytes_per_s\":40000000,\"known\":{\"offset\":1,\"batch\":[{"
         "\"offset\":1,"
         "\"topology\":{\"revision\":1,\"complete\":true,\"members\":[" +
         known + "]}}]},\"settings\":{\"allowed\":{\"cancel\":" + flag(d.cancel) +
         ",\"dial_timeout\":400,\"idle_close\":15000,\"max_attempts\":8,\"max_retry_after\":500,\"may_tell\":"
         "true,"
         "\"probes\":true,\"retry_after\":true,\"second_copies\":" +
         flag(d.second_copies) +
         ",\"streams_per_conn\":32},"
         "\"categories\":[" +
         d.classes + "],\"client_habits\":{\"marks_retry\":false},\"failure_domains\":" + list(d.zones) +
         ",\"family\":\"" + d.family + "\",\"fleet_size\":" + std::to_string(d.routers) +
         ",\"locality\":0,\"models\":" + list(d.kinds) +
         ",\"registry_mode\":\"push\",\"report\":" + d.report +
         ",\"rules\":{"
         "\"ask_within\":10000,\"cold_from\":0.2,\"drain_grace\":" +
         std::to_string(d.drain_grace_ms) +
         ",\"fall_multiple\":4,\"grace_to_answer\":8,\"overload_for\":1000,\"warm_after\":13000},"
         "\"specifics\":{" +
         d.by_class + ",\"client_kb_per_s\":4000,\"direct\":" + flag(d.direct) +
         ",\"merges_fills\":true,\"notes_given\":\"" + d.notes +
         "\",\"notice_time\":300,\"origin_kind\":2,\"parent_"
         "warms_in\":20000,"
         "\"peers_fill\":\"" +
         d.siblings + "\",\"purge_settles\":6000,\"seats_by_zone\":[" + seats +
         "],\"second_tier_kind\":1,\"upper_cold_from\":0.1,\"upper_fall_multiple\":2},\"tick\":2,\"weights\":"
         "\"" +
         d.weights + "\"}}";
}

// The section `fleet` of the operator's file of router `n`, with further `options`.
inline std::string fleet_section(int n, const int* ports, int routers, const std::string& options) {
  auto text = format("fleet {\n name = \"r%d\"\n listen = \"127.0.0.1:%d\"\n ", n, ports[n]) + options + "\n";
  for (int p = 0; p < routers; ++p)
    if (p != n) text += format(" peer \"r%d\" { address = \"127.0.0.1:%d\" }\n", p, ports[p]);
  return text + "}\n";
}

// As at island-linen: two classes that may run again, and writes with a key that run at the origin.
inline Deployment island_linen() {
  Deployment d;
  d.family = "island-linen";
  d.zones = {"east", "central", "west"};
  d.classes =
      R"({"name":"media","aim":500,"aim_stretch":2,"deadline":5000,"effect":"free","gain":2,"group":"all","window":5000},)"
      R"({"name":"sheets","aim":300,"aim_stretch":2,"deadline":3000,"effect":"free","gain":1,"group":"all","window":5000},)"
      R"({"name":"handover","aim":600,"deadline":3000,"effect":"guarded","gain":3,"group":"all","window":6000})";
  d.by_class =
      R"("class_fresh":[0,20000,0],"class_grace":[0,0,0],"in_parts":[false,false,false],"pass_on":[false,false,true])";
  d.drain_grace_ms = 500;
  return d;
}

// As at depot-mixing: routers may talk to each other, and nothing goes to the origin but through a cache.
inline Deployment depot_mixing() {
  Deployment d;
  d.family = "depot-mixing";
  d.zones = {"north", "south", "east"};
  d.classes =
      R"({"name":"video-parts","aim":400,"aim_stretch":1.6,"deadline":6000,"effect":"free","gain":2,"group":"all","window":5000},)"
      R"({"name":"formulas","aim":300,"aim_stretch":2,"deadline":2500,"effect":"free","gain":1,"group":"all","window":5000},)"
      R"({"name":"mix-orders","aim":700,"deadline":3000,"effect":"guarded","gain":3,"group":"all","window":6000})";
  d.by_class =
      R"("class_fresh":[0,0,0],"class_grace":[0,0,0],"in_parts":[true,false,false],"pass_on":[false,false,true])";
  d.drain_grace_ms = 250;
  d.direct = false;
  return d;
}

// As at roda-branch-net: nothing tells the load, a second copy may be sent, large objects.
inline Deployment roda_branch_net() {
  Deployment d;
  d.family = "roda-branch-net";
  d.zones = {"north", "south", "east"};
  d.classes =
      R"({"name":"media-get","aim":600,"aim_stretch":1.6,"deadline":5000,"effect":"free","gain":2,"group":"all","window":5000},)"
      R"({"name":"sale-post","aim":700,"deadline":3000,"effect":"guarded","gain":3,"group":"all","window":6000})";
  d.by_class = R"("class_fresh":[0,0],"class_grace":[0,0],"in_parts":[true,false],"pass_on":[false,true])";
  d.drain_grace_ms = 2000;
  d.second_copies = true;
  d.report = R"({"names":[],"source":"none"})";
  d.notes = "none";
  d.siblings = "none";
  d.weights = "rough";
  return d;
}

}  // namespace review
