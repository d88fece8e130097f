// The platform's configuration for tests, with two request classes: "page" may be repeated; "order" runs at
// most once and is uncacheable.
#pragma once

#include <string>

// An endpoint on loopback, as an entry of the endpoint list.
inline std::string endpoint_json(const std::string& id, int port, const std::string& location,
                                 const std::string& kind) {
  return R"({"id":")" + id + R"(","host_port":"127.0.0.1:)" + std::to_string(port) + R"(","locality":")" +
         location + R"(","flavor":")" + kind + R"(","cell":0,"phase":"ready","size":1,"up_since_ms":0})";
}

// `discovery_port`: 0 for none. `endpoints`: entries by endpoint_json(), separated by commas. `limits`: a
// JSON object.
inline std::string platform_config_json(const std::string& name, int port, int discovery_port,
                                        const std::string& endpoints, const std::string& limits) {
  const auto discovery_json =
      discovery_port == 0 ? "" : R"("bus":"127.0.0.1:)" + std::to_string(discovery_port) + R"(",)";
  return R"({"name":")" + name + R"(","seed":"7","listen":"127.0.0.1:)" + std::to_string(port) + R"(",)" +
         discovery_json +
         R"("known":{"offset":1,"batch":[{"offset":1,"topology":{"complete":true,"members":[)" + endpoints +
         R"(]}}]},"limits":)" + limits +
         R"(,"settings":{"allowed":{"cancel":true,"dial_timeout":2000,"idle_close":15000,
      "max_attempts":4,"max_retry_after":500,"retry_after":true,"streams_per_conn":32},"categories":[
      {"name":"page","aim":3000,"aim_stretch":2,"deadline":2000,"effect":"free","gain":1},
      {"name":"order","aim":3000,"deadline":4000,"effect":"single_shot","gain":3}],
      "failure_domains":["hub","edge"],"models":["cache","parent","origin"],"fleet_size":1,"locality":1,
      "rules":{"cold_from":0.2,"fall_multiple":4,"warm_after":17000,"overload_for":1000},"specifics":{
      "class_fresh":[0,0],"client_kb_per_s":6000,"direct":true,"in_parts":[false,false],"merges_fills":true,
      "notes_given":"all","origin_kind":2,"second_tier_kind":1,"pass_on":[false,true],"peers_fill":"location",
      "purge_settles":6000,"seats_by_zone":[0,1],"upper_cold_from":0.1,"upper_fall_multiple":2,
      "parent_warms_in":20000},"tick":1}})";
}
