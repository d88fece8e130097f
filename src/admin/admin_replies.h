/// \file
/// Replies to the requests over the admin socket, as JSON objects of one line.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <utility>
#include <vector>

#include "io/log.h"
#include "io/scheduler.h"
#include "purge/entry.h"
#include "purge/purge_registry.h"
#include "replica/endpoint_observations.h"
#include "replication/replication_service.h"

namespace walkpaddle::admin {

/// The state of the router that replies include in addition to purges and fleet.
class RouterView {
 public:
  /// Number of known endpoints, which are numbered from 0.
  virtual int endpoints() const = 0;
  /// The id of an endpoint, from discovery.
  virtual std::string endpoint_id(int endpoint) const = 0;
  /// Counters since the start, by name.
  virtual std::vector<std::pair<std::string, std::uint64_t>> counters() const = 0;

 protected:
  ~RouterView() = default;
};

/// Answers requests and issues the purges that they request. All that it is given by reference or pointer
/// must outlive it.
class AdminReplies {
 public:
  /// Names of the routers.
  struct Names {
    std::string self;                ///< name of this router
    std::vector<std::string> peers;  ///< names of the peers, in the order of the operator's file
  };
  /// `replication`: null if observations are not replicated.
  AdminReplies(const Scheduler& scheduler, Log& log, purge::PurgeRegistry& purges, Names names,
               const RouterView& router, const replication::ReplicationService* replication);

  /// Returns the reply to one request line; neither includes the line's end. The reply to a malformed or
  /// refused request has `ok` false and the reason in `why`.
  std::string answer(const std::string& line);

 private:
  nlohmann::json reply_to(const nlohmann::json& request, const std::string& action);
  nlohmann::json issue_purge(const nlohmann::json& request);
  nlohmann::json purge_status(const std::string& number) const;
  nlohmann::json purges_status() const;
  nlohmann::json purge_json(const purge::PurgeEntry& entry) const;
  nlohmann::json latest_purges_json() const;
  nlohmann::json purge_peers_json() const;
  std::string fleet_status() const;
  nlohmann::json members_json() const;
  nlohmann::json observations_json(const std::vector<replica::EndpointObservation>& observations) const;
  nlohmann::json counters_json() const;
  std::string number_text(const purge::PurgeStamp& stamp) const;
  const purge::PurgeEntry* find_purge(const std::string& number) const;

  const Scheduler& scheduler_;
  Log& log_;
  purge::PurgeRegistry& purges_;
  const Names names_;
  const RouterView& router_;
  const replication::ReplicationService* const replication_;
};

}  // namespace walkpaddle::admin
