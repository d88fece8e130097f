// The operators' socket: a Unix-domain socket, mode 0600; JSON objects of one line each way, bounded. What is
// asked is carried out on the router's own scheduler.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/purges.h"
#include "io/listener.h"
#include "io/log.h"
#include "io/stream.h"
#include "replication/replication_service.h"

namespace walkpaddle::control {

class Operators {
 public:
  struct Names {
    std::string self;
    std::vector<std::string> peers;
    std::function<std::string(int)> box;
    std::function<int()> boxes;                                                  // so many are known
    std::function<std::vector<std::pair<std::string, std::uint64_t>>()> counts;  // by name, since the start
  };
  // Throws SystemError if the socket cannot be made. One that a dead router left is replaced; one that
  // answers is another router's and is not.
  Operators(Scheduler& scheduler, Outbox& outbox, Log& log, fleet::Purges& purges, std::string path,
            Names names, const replication::ReplicationService* share);
  ~Operators();

 private:
  Task accept_all();
  Task session(Fd fd);
  std::string answer(const std::string& line);
  std::string fleet_answer() const;
  std::string number_text(const purge::Stamp& stamp) const;
  const purge::Entry* entry_of(const std::string& number) const;

  Scheduler& scheduler_;
  Outbox& outbox_;
  Log& log_;
  fleet::Purges& purges_;
  const std::string path_;
  const Names names_;
  const replication::ReplicationService* const share_;  // null: nothing is shared
  std::size_t sessions_ = 0;
  Listener listener_;
};

}  // namespace walkpaddle::control
