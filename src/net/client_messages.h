/// \file
/// The messages of clients: reads them off their connections, answers or hands on what they ask.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "guard/guard.h"
#include "io/log.h"
#include "io/scheduler.h"
#include "net/client_connection.h"
#include "net/client_request.h"

namespace walkpaddle::net {

/// EXEC (a request), FORGET (the client waits for one no more) and ALIVE, of all connections.
///
/// Lifetimes: the scheduler, the log and the guard outlive it, and it outlives the requests that it hands on:
/// they hold their ids in it. Threads: the scheduler's one thread.
class ClientMessages {
 public:
  /// Starts a request, whose task holds its connection until it is answered.
  using Serve = std::function<void(std::shared_ptr<ClientConnection>, Request)>;

  /// `classes`: by their number; `serve` starts a request.
  ClientMessages(Scheduler& scheduler, Log& log, std::vector<config::RequestClassName> classes, Serve serve)
      : scheduler_(scheduler), log_(log), classes_(std::move(classes)), serve_(std::move(serve)) {}

  /// Who counts what ends connections; null: nobody.
  void set_guard(guard::Guard& guard) { guard_ = &guard; }
  /// What ALIVE is answered with.
  void set_alive_reply(std::string_view reply) { alive_reply_ = reply; }
  /// From now on requests are rejected, and none that is held back is served.
  void stop() { stopped_ = true; }
  /// Takes all whole messages that a connection holds. One that cannot be read ends the connection.
  void take(const std::shared_ptr<ClientConnection>& client);
  /// Serves what is held back while the client reads its answers.
  void serve_deferred(const std::shared_ptr<ClientConnection>& client);

 private:
  void handle(const std::shared_ptr<ClientConnection>& client, const std::vector<std::string_view>& words);
  void forget(ClientConnection& client, const std::string& tag);
  void execute(const std::shared_ptr<ClientConnection>& client, const std::vector<std::string_view>& words,
               const std::string& tag);

  Scheduler& scheduler_;
  Log& log_;
  const std::vector<config::RequestClassName> classes_;
  const Serve serve_;
  guard::Guard* guard_ = nullptr;
  OpenId::Ids open_ids_;
  std::string alive_reply_ = "UNREADY";
  bool stopped_ = false;
};

}  // namespace walkpaddle::net
