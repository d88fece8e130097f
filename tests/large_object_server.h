// A cache server for tests with large objects, over sockets.
#pragma once

#include <arpa/inet.h>

#include <memory>
#include <set>
#include <string>

#include "fakes/servers.h"
#include "io/listener.h"
#include "io/stream.h"
#include "net/resp_parser.h"

namespace walkpaddle {

// A cache server that answers each request after kAnswerTime with an object of one size.
class LargeObjectServer {
 public:
  static constexpr Seconds kAnswerTime = 0.06;
  LargeObjectServer(Scheduler& scheduler, Outbox& outbox, std::size_t bytes)
      : scheduler_(scheduler),
        outbox_(outbox),
        body_(bytes, 'm'),
        listener_(scheduler, listen_on(Address{INADDR_LOOPBACK, 0})) {
    scheduler_.start(accept_all());
  }
  int port() const { return fakes::local_port(listener_.fd()); }

 private:
  struct Connection {
    Connection(Scheduler& scheduler, Outbox& outbox, Fd fd) : stream(scheduler, outbox, std::move(fd)) {}
    Stream stream;
    std::set<std::string> open;
  };
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
        if (message.words[0] == "serve" && c->open.insert(id).second) scheduler_.start(answer(c, id));
        if (message.words[0] == "cancel") c->open.erase(id);
        c->stream.consume(message.used);
      }
    }
    c->open.clear();
  }
  Task answer(std::shared_ptr<Connection> c, std::string id) {
    Event pause(scheduler_);
    co_await pause.wait(scheduler_.now() + kAnswerTime);
    if (c->open.erase(id) > 0)
      c->stream.write(net::resp_array_text({id, "served", "etag=1,made=1,tell=mem", body_}));
  }
  Scheduler& scheduler_;
  Outbox& outbox_;
  const std::string body_;
  Listener listener_;
};

}  // namespace walkpaddle
