/// \file
/// What requests over the admin socket are answered with, as JSON objects of one line.
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

/// What replies say of the router beside its purges and its fleet.
class RouterView {
 public:
  /// How many endpoints are known; their numbers begin at 0.
  virtual int endpoints() const = 0;
  /// An endpoint's id, as discovery gives it.
  virtual std::string endpoint_id(int endpoint) const = 0;
  /// Counters since the start, by name.
  virtual std::vector<std::pair<std::string, std::uint64_t>> counters() const = 0;

 protected:
  ~RouterView() = default;
};

/// Answers requests; issues the purges that they ask for. All that it is given by reference must outlive it.
class AdminReplies {
 public:
  /// The routers' names.
  struct Names {
    std::string self;                ///< this router's
    std::vector<std::string> peers;  ///< in the order of the operator's file
  };
  /// `replication`: null where nothing is shared.
  AdminReplies(const Scheduler& scheduler, Log& log, purge::PurgeRegistry& purges, Names names,
               const RouterView& router, const replication::ReplicationService* replication);

  /// The reply to one line, without the line's end. A request that cannot be read or is refused is answered
  /// with `ok` false and `why`.
  std::string answer(const std::string& line);

 private:
  nlohmann::json reply_to(const nlohmann::json& request, const std::string& action);
  nlohmann::json issue_purge(const nlohmann::json& request);
  nlohmann::json purge_status(const std::string& number) const;
  nlohmann::json purges_status() const;
  nlohmann::json standing(const purge::PurgeEntry& entry) const;
  nlohmann::json latest_purges() const;
  nlohmann::json purge_peers() const;
  std::string fleet_status() const;
  nlohmann::json members() const;
  nlohmann::json describe(const std::vector<replica::EndpointObservation>& observations) const;
  nlohmann::json counters() const;
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
