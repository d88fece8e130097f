/// \file
/// The messages of clients: parses them from their connections, and answers them or starts their requests.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "guard/guard.h"
#include "guard/request_ids.h"
#include "io/log.h"
#include "io/scheduler.h"
#include "net/client_connection.h"
#include "net/client_request.h"
#include "routing/request_quota.h"

namespace walkpaddle::net {

/// Handles the messages of all connections: EXEC (a request), FORGET (the client no longer waits for a
/// request) and ALIVE (a health check).
///
/// Lifetimes: the scheduler, the budget, the log and the guard must outlive it. It must outlive the requests
/// that it starts, because they are registered in its set of ids. Threads: everything runs on the
/// scheduler's one thread.
class ClientMessages {
 public:
  /// Starts a request. The request's task shares ownership of the connection until it is answered.
  using Serve = std::function<void(std::shared_ptr<ClientConnection>, Request)>;

  /// `max_requests`: open requests of all clients. `classes`: the request classes by index. `serve`: starts a
  /// request.
  ClientMessages(Scheduler& scheduler, BufferBudget& budget, Log& log, std::size_t max_requests,
                 std::vector<config::RequestClassName> classes, Serve serve)
      : scheduler_(scheduler),
        budget_(budget),
        quota_(max_requests),
        log_(log),
        classes_(std::move(classes)),
        serve_(std::move(serve)) {}

  /// Sets the guard, which counts why connections are closed; without a guard nothing is counted.
  void set_guard(guard::Guard& guard) { guard_ = &guard; }
  /// Sets the answer to ALIVE.
  void set_alive_reply(std::string_view reply) { alive_reply_ = reply; }
  /// From now on new requests are rejected and deferred ones are not started.
  void stop() { stopped_ = true; }
  /// Handles all whole messages that were received on a connection. A malformed message ends the connection:
  /// requests behind it are rejected.
  void take(const std::shared_ptr<ClientConnection>& client);
  /// Starts or rejects those deferred requests that need not wait any longer. `input_continues`: more bytes
  /// of the client are probably there already; its end may be behind them, so requests wait for a moment.
  void serve_deferred(const std::shared_ptr<ClientConnection>& client, bool input_continues);
  /// Drops the deferred requests of a client that has left.
  void drop_deferred(ClientConnection& client);
  /// Requests must be answered by this time, whatever their deadline, because the program ends.
  void set_answer_by(Seconds time) { answer_by_ = time; }

 private:
  void handle(const std::shared_ptr<ClientConnection>& client, const std::vector<std::string_view>& words);
  void forget(ClientConnection& client, const std::string& tag);
  void withdraw_if_cut_short(ClientConnection& client);
  void fail_unstarted(ClientConnection& client, const Request& request, guard::Unstarted reason);
  void refuse_id(ClientConnection& client, const Request& request, guard::IdRefusal refusal);
  void execute(const std::shared_ptr<ClientConnection>& client, const std::vector<std::string_view>& words,
               const std::string& tag);

  void reject(ClientConnection& client, const Request& request, guard::Unstarted reason);

  Scheduler& scheduler_;
  BufferBudget& budget_;
  const routing::RequestQuota quota_;
  Log& log_;
  const std::vector<config::RequestClassName> classes_;
  const Serve serve_;
  guard::Guard* guard_ = nullptr;
  guard::RequestIds ids_;
  std::string alive_reply_ = "UNREADY";
  Seconds answer_by_ = kNoTime;
  bool stopped_ = false;
};

}  // namespace walkpaddle::net
