// A cache server for tests over sockets. It answers requests with an object of one size, or not at all, and
// records what it was sent.
#pragma once

#include <arpa/inet.h>

#include <algorithm>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fakes/servers.h"
#include "io/listener.h"
#include "io/stream.h"
#include "net/resp_parser.h"

namespace walkpaddle {

class CacheServer {
 public:
  static constexpr Seconds kAnswerTime = 0.06;
  struct Received {
    std::string id;
    Seconds at = 0;  // on the steady clock
  };
  // `bytes`: size of the object. `port`: 0 for any.
  CacheServer(Scheduler& scheduler, Outbox& outbox, std::size_t bytes, int port = 0)
      : scheduler_(scheduler),
        outbox_(outbox),
        body_(bytes, 'm'),
        listener_(scheduler, listen_on(Address{INADDR_LOOPBACK, static_cast<std::uint16_t>(port)})) {
    port_ = fakes::local_port(listener_.fd());
    scheduler_.start(accept_all());
  }
  int port() const { return port_; }
  // Time from a request to its answer.
  void set_answer_time(Seconds time) { answer_time_ = time; }
  // Requests are read and never answered.
  void set_silent(bool silent) { silent_ = silent; }
  // Ends like a process that is killed: nobody listens, and the connections end.
  void stop() {
    listener_.close();
    for (const auto& connection : connections_) connection->stream.close();
  }
  // Ends like a machine that is lost: nobody listens, and the connections stay open and silent.
  void vanish() {
    listener_.close();
    silent_ = true;
  }
  // All requests, in the order in which they came.
  const std::vector<Received>& received() const { return received_; }
  int times_received(const std::string& id) const {
    return static_cast<int>(std::ranges::count(received_, id, &Received::id));
  }

 private:
  struct Connection {
    Connection(Scheduler& scheduler, Outbox& outbox, Fd fd) : stream(scheduler, outbox, std::move(fd)) {}
    Stream stream;
    std::set<std::string> open;
  };
  static Seconds steady_now() {
    return std::chrono::duration<Seconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
  }
  Task accept_all() {
    while (listener_.open()) {
      if (Fd fd = listener_.accept())
        scheduler_.start(connection(std::move(fd)));
      else
        co_await listener_.input_ready.wait();
    }
  }
  Task connection(Fd fd) {
    auto c = std::make_shared<Connection>(scheduler_, outbox_, std::move(fd));
    connections_.push_back(c);
    net::RespArray message;
    for (;;) {
      const auto came = c->stream.read();
      if (came == Stream::ReadResult::end) break;
      if (came == Stream::ReadResult::nothing) {
        co_await c->stream.readable();
        continue;
      }
      for (;;) {
        net::read_resp_array(c->stream.in(), 8, 1 << 20, message);
        if (message.used == 0) break;
        const std::string id(message.words[1]);
        if (message.words[0] == "serve") {
          received_.push_back({id, steady_now()});
          if (!silent_ && c->open.insert(id).second) scheduler_.start(answer(c, id));
        }
        if (message.words[0] == "cancel") c->open.erase(id);
        c->stream.consume(message.used);
      }
    }
    c->open.clear();
    connections_.remove(c);
  }
  Task answer(std::shared_ptr<Connection> c, std::string id) {
    Event pause(scheduler_);
    co_await pause.wait(scheduler_.now() + answer_time_);
    if (c->open.erase(id) > 0)
      c->stream.write(net::resp_array_text({id, "served", "etag=1,made=1,tell=mem", body_}));
  }
  Scheduler& scheduler_;
  Outbox& outbox_;
  const std::string body_;
  Seconds answer_time_ = kAnswerTime;
  bool silent_ = false;
  Listener listener_;
  int port_ = 0;
  std::list<std::shared_ptr<Connection>> connections_;
  std::vector<Received> received_;
};

}  // namespace walkpaddle
