/// \file
/// The admin socket of a running router: a Unix-domain socket, mode 0600; JSON objects of one line each way,
/// bounded. What is asked is carried out on the router's own scheduler, between two of its turns.
#pragma once

#include <cstddef>
#include <string>

#include "admin/admin_replies.h"
#include "io/fd.h"
#include "io/listener.h"
#include "io/scheduler.h"
#include "io/stream.h"

namespace walkpaddle::admin {

/// Listens, reads requests and writes replies. Scheduler and outbox must outlive it.
class AdminServer {
 public:
  /// Throws SystemError if the socket cannot be made. One that a dead router left is replaced; one that
  /// answers is another router's and is not.
  AdminServer(Scheduler& scheduler, Outbox& outbox, std::string path, AdminReplies replies);
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;
  ~AdminServer();

 private:
  Task accept_all();
  Task session(Fd fd);
  void answer_lines(Stream& stream);

  Scheduler& scheduler_;
  Outbox& outbox_;
  const std::string path_;
  AdminReplies replies_;
  std::size_t sessions_ = 0;
  Listener listener_;
};

}  // namespace walkpaddle::admin
