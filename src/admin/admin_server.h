/// \file
/// The admin socket of a running router: a Unix-domain socket with mode 0600. Requests and replies are JSON
/// objects of one line; the length of a request is bounded. Requests run on the router's scheduler.
#pragma once

#include <cstddef>
#include <string>

#include "admin/admin_replies.h"
#include "io/fd.h"
#include "io/listener.h"
#include "io/scheduler.h"
#include "io/stream.h"
#include "io/turn_budget.h"

namespace walkpaddle::admin {

/// Accepts connections, reads requests and writes replies. Scheduler and outbox must outlive it.
class AdminServer {
 public:
  /// Throws SystemError if the socket cannot be created. A socket file left by a dead router is replaced. If
  /// another process listens on it, construction fails.
  AdminServer(Scheduler& scheduler, Outbox& outbox, std::string path, AdminReplies replies);
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;
  ~AdminServer();

 private:
  Task session(Fd fd);
  bool answer_lines(Stream& stream, const TimeSlice& slice);

  Scheduler& scheduler_;
  Outbox& outbox_;
  const std::string path_;
  AdminReplies replies_;
  std::size_t sessions_ = 0;
  TurnBudget busy_tasks_;
  Listener listener_;
};

}  // namespace walkpaddle::admin
