// Two events that cross: each story forces the bad order over real connections, in one thread.
#define CATCH_CONFIG_MAIN
#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <optional>
#include <thread>

#include "base/text.h"
#include "config/platform_config.h"
#include "fakes/discovery_frames.h"
#include "net/client_listener.h"
#include "net/discovery_client.h"
#include "net/resp_parser.h"
#include "net/upstream_pool.h"
#include "platform.h"

using namespace walkpaddle;
using namespace walkpaddle::net;
using namespace walkpaddle::fakes;

// For what must come, in a story that is a task of `s`.
#define UNTIL(what)                                                         \
  for (const Seconds since = s.scheduler.now(); s.going(since) && !(what);) \
  co_await s.look.wait(s.scheduler.now() + 0.01)

namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;

struct Ear {  // what listens
  explicit Ear(int backlog = 64, int room = 0) : fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    sockaddr_in a{};
    a.sin_family = AF_INET, a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof a;
    if (room > 0) ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &room, sizeof room);
    REQUIRE(::bind(fd.get(), reinterpret_cast<sockaddr*>(&a), size) == 0);
    REQUIRE(::listen(fd.get(), backlog) == 0);
    ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&a), &size);
    address = {kLoopback, ntohs(a.sin_port)};
  }
  Fd accept() const { return Fd(::accept4(fd.get(), nullptr, nullptr, SOCK_NONBLOCK)); }
  bool called() const {
    pollfd p{fd.get(), POLLIN, 0};
    return ::poll(&p, 1, 0) > 0;
  }
  Fd fd;
  Address address;
};

// All that has come; "|" at its end where the other side has closed.
std::string taken(const Fd& fd) {
  std::string all;
  char room[65536];
  for (;;) {
    const auto got = ::recv(fd.get(), room, sizeof room, 0);
    if (got > 0) all.append(room, static_cast<std::size_t>(got));
    if (got == 0) return all += "|";
    if (got < 0) return all;
  }
}

void say(const Fd& fd, const std::string& bytes) {
  REQUIRE(::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
}

std::string id_of(int n) { return fmt::format("{:016x}", 0xa0 + n); }

// What stands round a play: it runs as one task, whose end ends the scheduler.
struct Stand {
  Log log{"crossing"};
  Scheduler scheduler;
  Outbox outbox{scheduler, 64 << 20};
  Event look{scheduler};

  // A story is one task, which stops the scheduler at its end.
  template <class F>
  void play(F&& story) {
    scheduler.start(story());
    scheduler.run();
    scheduler.drop_tasks();
  }
  bool going(Seconds since) const { return scheduler.now() < since + 10; }  // for what must come
};

struct CachesStand : Stand {
  explicit CachesStand(std::size_t most = 64, int hops_a_connection = 32, Seconds dial_within = 5)
      : caches(scheduler, outbox, log, {most, hops_a_connection, dial_within, 60, true}) {}
  int member(const std::string& name, const Address& at, EndpointState state = EndpointState::ready) {
    const int m = caches.endpoint_index(name);
    caches.update_endpoint(m, at, state);
    return m;
  }
  std::unique_ptr<Attempt> hop(int m, int n, Seconds by = kNoTime, std::string_view body = {}) {
    ids.push_back(id_of(n));
    return std::make_unique<Attempt>(
        scheduler, caches,
        Attempt::Spec{m, m, static_cast<std::uint64_t>(0xa0 + n), ids.back(), body,
                      "cls=page,item=7f3a9c21e0b4d655,chunk=0", scheduler.now() + 30, by, true, true});
  }
  UpstreamPool caches;
  std::deque<std::string> ids;
};

// So many hops with large bodies that the last of them cannot have left: the peer reads nothing.
struct Jam : CachesStand {
  static constexpr int kHops = 300;
  Jam() : CachesStand(64, 1000) {}
  void fill() {
    m = member("s-1", ear.address);
    for (int n = 0; n < kHops; ++n) hops.push_back(hop(m, n, kNoTime, body));
  }
  // What reaches the peer once it reads again, until a while after nothing more comes.
  std::string reads() {
    std::string all;
    const Seconds until = scheduler.now() + 0.05;
    while (scheduler.now() < until) {
      const auto more = taken(peer);
      if (more.empty()) break;
      all += more;
    }
    return all;
  }
  static bool asked(const std::string& all, int n) {
    return all.find("serve\r\n$16\r\n" + id_of(n)) != std::string::npos;
  }
  const std::string body = std::string(48'000, 'x');
  Ear ear{64, 4096};
  Fd peer;
  int m = -1;
  std::vector<std::unique_ptr<Attempt>> hops;
};

struct ClientsStand : Stand {
  ClientsStand()
      : clients(
            scheduler, outbox, log, std::move(ear.fd), 8, {{.name = "page"}},
            [this](std::shared_ptr<ClientConnection> c, Request o) { serve(std::move(c), std::move(o)); }) {}
  Fd connect(Fd fd = Fd(::socket(AF_INET, SOCK_STREAM, 0))) {
    const int room = 4096;
    ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &room, sizeof room);
    sockaddr_in a{};
    a.sin_family = AF_INET, a.sin_addr.s_addr = htonl(INADDR_LOOPBACK), a.sin_port = htons(ear.address.port);
    REQUIRE(::connect(fd.get(), reinterpret_cast<sockaddr*>(&a), sizeof a) == 0);
    ::fcntl(fd.get(), F_SETFL, O_NONBLOCK);
    return fd;
  }
  static std::string exec(int n) {
    return resp_array_text({"EXEC", std::to_string(n), "page",
                            "txn=" + id_of(n) + ",limit=9000,item=7f3a9c21e0b4d655,seg=0,bucket=1"});
  }
  std::function<void(std::shared_ptr<ClientConnection>, Request)> serve = [this](auto, auto) { ++served; };
  int served = 0;
  Ear ear;
  net::ClientListener clients;
};

}  // namespace

TEST_CASE("given a peer that reads nothing, when a hop's client leaves, then the hop is never sent") {
  Jam s;
  s.play([&]() -> Task {
    s.fill();
    UNTIL(s.peer = s.ear.accept());
    co_await s.look.wait(s.scheduler.now() + 0.2);
    s.hops.back()->abandon();
    CHECK(s.hops.back()->result().outcome == AttemptOutcome::not_sent);
    std::string all;
    for (const Seconds since = s.scheduler.now(); s.going(since) && !s.asked(all, s.kHops - 2);) {
      all += s.reads();
      co_await s.look.wait(s.scheduler.now() + 0.01);
    }
    co_await s.look.wait(s.scheduler.now() + 0.1);
    all += s.reads();
    CHECK(s.asked(all, s.kHops - 2));  // those round it are whole
    CHECK_FALSE(s.asked(all, s.kHops - 1));
    s.scheduler.stop();
  });
}

TEST_CASE("given a peer that reads nothing, when it drains, then what has not left for it never does") {
  Jam s;
  s.play([&]() -> Task {
    s.fill();
    UNTIL(s.peer = s.ear.accept());
    co_await s.look.wait(s.scheduler.now() + 0.2);
    s.member("s-1", s.ear.address, EndpointState::draining);
    int unsent = 0;
    for (const auto& h : s.hops) unsent += h->ended() && h->result().outcome == AttemptOutcome::not_sent;
    CHECK(unsent > 0);
    std::string all;
    for (const Seconds since = s.scheduler.now(); s.scheduler.now() < since + 1;) {
      all += s.reads();
      co_await s.look.wait(s.scheduler.now() + 0.01);
    }
    for (int n = 0; n < s.kHops; ++n) {
      auto& h = *s.hops[static_cast<std::size_t>(n)];
      if (s.asked(all, n) == (h.ended() && h.result().outcome == AttemptOutcome::not_sent)) FAIL("hop " << n);
    }
    s.scheduler.stop();
  });
}

TEST_CASE("given a connection that comes up late, when a hop's time to begin is over, then it is not sent") {
  CachesStand s;
  const Ear full(0);
  s.play([&]() -> Task {
    // A queue of none that one connection fills: the next comes up once that is accepted, and asks again.
    const Fd first = dial(full.address);
    co_await s.look.wait(s.scheduler.now() + 0.1);
    const int m = s.member("s-1", full.address);
    const Seconds by = s.scheduler.now() + 0.3;
    const auto hop = s.hop(m, 1, by);
    while (!hop->ended() && s.scheduler.now() < by + 0.2) {
      const bool told = co_await hop->wait();
      if (!told) hop->on_timer();
    }
    CHECK(hop->ended());
    CHECK(hop->result().outcome == AttemptOutcome::not_sent);
    std::string all;
    std::vector<Fd> accepted;
    for (const Seconds since = s.scheduler.now(); s.scheduler.now() < since + 2;) {
      if (Fd fd = full.accept()) accepted.push_back(std::move(fd));
      for (const auto& fd : accepted) all += taken(fd);
      co_await s.look.wait(s.scheduler.now() + 0.01);
    }
    CHECK(accepted.size() == 2);  // it did come up
    CHECK(all.find(id_of(1)) == std::string::npos);
    s.scheduler.stop();
  });
}

TEST_CASE(
    "given an answer that comes twice, when its txn has a further hop, then the copy is not that hop's") {
  CachesStand s;
  const Ear ear;
  s.play([&]() -> Task {
    const int m = s.member("s-1", ear.address);
    auto hop = s.hop(m, 1);
    Fd first, second;
    UNTIL(first = ear.accept());
    const auto overload = resp_array_text({id_of(1), "overload", "-", ""});
    std::string asked;
    UNTIL(!(asked = taken(first)).empty());
    say(first, overload);
    UNTIL(hop->ended());
    CHECK(hop->result().outcome == AttemptOutcome::rejected);
    hop = s.hop(m, 1);
    co_await s.look.wait(s.scheduler.now() + 0.05);
    say(first, overload);
    co_await s.look.wait(s.scheduler.now() + 0.1);
    CHECK_FALSE(hop->ended());
    UNTIL(second = ear.accept());
    CHECK(second);
    if (!second) co_return s.scheduler.stop();
    say(second, resp_array_text({id_of(1), "served", "etag=1", "one"}));
    UNTIL(hop->ended());
    CHECK(hop->result().outcome == AttemptOutcome::served);
    s.scheduler.stop();
  });
}

TEST_CASE(
    "given an answer and a close in one, when another hop waits for room, then it is no sign of a death") {
  CachesStand s(1, 1);
  const Ear ear;
  s.play([&]() -> Task {
    const int m = s.member("s-1", ear.address);
    const auto hop = s.hop(m, 1), next = s.hop(m, 2);
    Fd first, second;
    UNTIL(first = ear.accept());
    std::string asked;
    UNTIL(!(asked = taken(first)).empty());
    say(first, resp_array_text({id_of(1), "served", "etag=1", "one"}));
    first = Fd();
    UNTIL(second = ear.accept());
    CHECK(hop->result().outcome == AttemptOutcome::served);
    CHECK_FALSE(next->ended());
    CHECK(second);
    if (!second) co_return s.scheduler.stop();
    asked.clear();
    UNTIL(!(asked = taken(second)).empty());
    CHECK(asked.find(id_of(2)) != std::string::npos);
    s.scheduler.stop();
  });
}

TEST_CASE(
    "given a resting connection that its peer has closed, when a hop follows, then it is not written there") {
  CachesStand s;
  const Ear ear;
  s.play([&]() -> Task {
    const int m = s.member("s-1", ear.address);
    const auto hop = s.hop(m, 1);
    Fd first, second;
    UNTIL(first = ear.accept());
    say(first, resp_array_text({id_of(1), "served", "etag=1", "one"}));
    UNTIL(hop->ended());
    taken(first);  // else the close would be a reset
    first = Fd();
    const auto next = s.hop(m, 2);  // in the same turn: no word of the close has been read
    UNTIL(second = ear.accept());
    CHECK_FALSE(next->ended());
    CHECK(second);
    s.scheduler.stop();
  });
}

TEST_CASE(
    "given a resting connection with half a line and its end unread, when a hop follows, then it is not "
    "written there") {
  CachesStand s;
  const Ear ear;
  s.play([&]() -> Task {
    const int m = s.member("s-1", ear.address);
    const auto hop = s.hop(m, 1);
    Fd first, second;
    UNTIL(first = ear.accept());
    say(first, resp_array_text({id_of(1), "served", "etag=1", "one"}));
    UNTIL(hop->ended());
    taken(first);
    say(first, "*4\r\n$16");
    first = Fd();
    const auto next = s.hop(m, 2);  // in the same turn
    UNTIL(next->ended() || (second = ear.accept()));
    CHECK_FALSE(next->ended());
    CHECK(second);
    s.scheduler.stop();
  });
}

TEST_CASE("given an answer that trickles, then its connection ends") {
  CachesStand s;
  const Ear ear;
  s.play([&]() -> Task {
    const auto hop = s.hop(s.member("s-1", ear.address), 1);
    Fd peer;
    UNTIL(peer = ear.accept());
    say(peer, "*4\r\n$16\r\n" + id_of(1) + "\r\n$6\r\nserved\r\n$6\r\netag=1\r\n$90000\r\n");
    for (int n = 0; n < 60 && !hop->ended(); ++n) {  // a byte each 50 ms, for three seconds
      if (::send(peer.get(), "x", 1, MSG_NOSIGNAL) < 0) break;
      co_await s.look.wait(s.scheduler.now() + 0.05);
    }
    CHECK(hop->ended());
    CHECK(hop->result().outcome == AttemptOutcome::connection_broken);
    s.scheduler.stop();
  });
}

TEST_CASE("given an answer whose age cannot be read, then its hop ends with its connection") {
  CachesStand s;
  const Ear ear;
  s.play([&]() -> Task {
    const auto hop = s.hop(s.member("s-1", ear.address), 1);
    Fd peer;
    UNTIL(peer = ear.accept());
    co_await s.look.wait(s.scheduler.now() + 0.05);
    say(peer, resp_array_text({id_of(1), "served", "age=x", "one"}));
    for (const Seconds since = s.scheduler.now(); s.scheduler.now() < since + 2 && !hop->ended();)
      co_await s.look.wait(s.scheduler.now() + 0.01);
    CHECK(hop->ended());
    s.scheduler.stop();
  });
}

TEST_CASE("given all connections in use, when more is asked, then no descriptor of others is taken") {
  CachesStand s(2);
  const Ear ears[3];
  s.play([&]() -> Task {
    std::vector<std::unique_ptr<Attempt>> hops;
    for (int n = 0; n < 3; ++n) hops.push_back(s.hop(s.member("s-" + std::to_string(n), ears[n].address), n));
    UNTIL(ears[0].called() && ears[1].called());
    co_await s.look.wait(s.scheduler.now() + 0.2);
    CHECK_FALSE(ears[2].called());
    hops[0]->abandon();  // its connection is idle now, and makes room
    UNTIL(ears[2].called());
    CHECK(ears[2].called());
    s.scheduler.stop();
  });
}

TEST_CASE("given a dial under way, when its member moves, then its hops go where it is now") {
  CachesStand s;
  const Ear full(0), now;
  s.play([&]() -> Task {
    const Fd first = dial(full.address);
    co_await s.look.wait(s.scheduler.now() + 0.1);
    const auto hop = s.hop(s.member("s-1", full.address), 1);
    co_await s.look.wait(s.scheduler.now() + 0.05);
    s.member("s-1", now.address);
    const Fd accepted = full.accept();
    for (const Seconds since = s.scheduler.now(); s.scheduler.now() < since + 4 && !now.called();)
      co_await s.look.wait(s.scheduler.now() + 0.01);
    CHECK(now.called());
    s.scheduler.stop();
  });
}

TEST_CASE("given all descriptors taken when the bus breaks, then the list is followed all the same") {
  Stand s;
  const Ear bus;
  const auto config = config::parse_platform_config(config_text("n0", 1, bus.address.port, "", "{}"));
  purge::PurgeRegistry purges({}, s.scheduler.now());
  RequestDispatcher dispatcher(s.scheduler, 7, config.settings, purges);
  UpstreamPool caches(s.scheduler, s.outbox, s.log, {8, 32, 1, 60, true});
  DiscoveryClient list(s.scheduler, s.outbox, s.log, dispatcher, caches);
  rlimit before{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  s.play([&]() -> Task {
    list.follow(bus.address);
    Fd stream;
    UNTIL(stream = bus.accept());
    const rlimit tight{64, before.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &tight);
    std::vector<Fd> idle;
    const auto take_all = [&] {
      while (Fd fd{::open("/dev/null", O_RDONLY)}) idle.push_back(std::move(fd));
    };
    take_all();
    ::shutdown(stream.get(), SHUT_RDWR);
    // As soon as its end is free somebody takes it: this task runs in each turn.
    for (const Seconds since = s.scheduler.now(); s.scheduler.now() < since + 2 && !bus.called();) {
      co_await s.look.wait(s.scheduler.now());
      take_all();
    }
    CHECK(bus.called());
    s.scheduler.stop();
  });
  ::setrlimit(RLIMIT_NOFILE, &before);
}

TEST_CASE("given an idle client, when its request crosses the end of its answers, then it is not sent on") {
  ClientsStand s;
  s.play([&]() -> Task {
    const Fd c = s.connect();
    say(c, resp_array_text({"ALIVE", "1", ""}));
    std::string got;
    UNTIL(!(got = taken(c)).empty());
    s.clients.close_idle();
    UNTIL((got += taken(c)).ends_with("|"));
    say(c, s.exec(2));
    co_await s.look.wait(s.scheduler.now() + 0.2);
    CHECK(s.served == 0);
    s.scheduler.stop();
  });
}

TEST_CASE("given a program that ends, when a request comes before the close, then it is turned away") {
  ClientsStand s;
  s.play([&]() -> Task {
    const Fd c = s.connect();
    say(c, s.exec(1));
    UNTIL(s.served > 0);
    s.clients.abort_open();
    say(c, s.exec(2));
    std::string got;
    UNTIL(!(got = taken(c)).empty());
    CHECK(got == resp_array_text({"2", "REJECT"}));
    CHECK(s.served == 1);
    s.scheduler.stop();
  });
}

TEST_CASE(
    "given a client that has not read its answers, when it gives up what it asked, then that is heard") {
  ClientsStand s;
  const std::string large(240'000, 'x');
  s.serve = [&](std::shared_ptr<ClientConnection> client, Request order) {
    ++s.served;
    client->answer(order.tag, "RESULT", "etag=1", large);
  };
  s.play([&]() -> Task {
    const Fd c = s.connect();
    std::string all;
    for (int n = 1; n <= 8; ++n) all += s.exec(n);
    say(c, all);
    co_await s.look.wait(s.scheduler.now() + 0.3);
    say(c, s.exec(9) + resp_array_text({"FORGET", "9", ""}));
    co_await s.look.wait(s.scheduler.now() + 0.3);
    std::size_t got = 0;
    for (const Seconds since = s.scheduler.now(); s.going(since) && got < 8 * large.size();) {
      got += taken(c).size();
      co_await s.look.wait(s.scheduler.now() + 0.01);
    }
    co_await s.look.wait(s.scheduler.now() + 0.2);
    CHECK(s.served == 8);
    s.scheduler.stop();
  });
}

TEST_CASE("given a client that sends at full speed, then others have their turns") {
  ClientsStand s;
  s.play([&]() -> Task {
    const Fd c = s.connect();
    ::fcntl(c.get(), F_SETFL, 0);
    std::atomic<bool> over = false;
    std::string flood;
    for (int n = 1; n <= 2000; ++n) flood += resp_array_text({"FORGET", std::to_string(n), ""});
    std::thread sends([&] {
      while (!over && ::send(c.get(), flood.data(), flood.size(), MSG_NOSIGNAL) > 0) {
      }
    });
    int turns = 0;
    std::thread ends([&] {  // a task that never gives the turn back ends with the flood
      std::this_thread::sleep_for(std::chrono::seconds(2));
      over = true;
      ::shutdown(c.get(), SHUT_RDWR);
    });
    while (!over && turns < 20) {
      co_await s.look.wait(s.scheduler.now() + 0.01);
      ++turns;
    }
    CHECK(turns == 20);
    ends.join();
    sends.join();
    s.scheduler.stop();
  });
}

TEST_CASE(
    "given a hop that waits for its connection, when a whole list leaves its member out, then it is not "
    "sent") {
  CachesStand s;
  const Ear full(0);
  const auto config = config::parse_platform_config(config_text("n0", 1, 1, "", "{}"));
  purge::PurgeRegistry purges({}, s.scheduler.now());
  RequestDispatcher dispatcher(s.scheduler, 7, config.settings, purges);
  DiscoveryClient list(s.scheduler, s.outbox, s.log, dispatcher, s.caches);
  s.play([&]() -> Task {
    const Fd first = dial(full.address);
    co_await s.look.wait(s.scheduler.now() + 0.1);
    list.begin_endpoint_list(true);
    list.update_endpoint("s-1", full.address, 1, 0, 0, EndpointState::ready, 1, 0);
    list.end_endpoint_list();
    const auto hop = s.hop(s.caches.endpoint_index("s-1"), 1);
    list.begin_endpoint_list(true);
    list.end_endpoint_list();
    CHECK(hop->ended());
    CHECK(hop->result().outcome == AttemptOutcome::not_sent);
    s.scheduler.stop();
  });
}

TEST_CASE(
    "given a client whose answer is on its way, when it made room and writes on, then its answer comes "
    "whole") {
  ClientsStand s;
  const std::string large(200'000, 'x');
  s.serve = [&](std::shared_ptr<ClientConnection> client, Request order) {
    ++s.served;
    client->answer(order.tag, "RESULT", "etag=1", large);
  };
  s.play([&]() -> Task {
    const Fd c = s.connect();
    say(c, s.exec(1));
    UNTIL(s.served > 0);
    co_await s.look.wait(s.scheduler.now() + 0.3);  // the kernel has the answer, the client reads nothing
    std::vector<Fd> others;
    for (int n = 0; n < 8; ++n) others.push_back(s.connect());
    co_await s.look.wait(s.scheduler.now() + 0.02);  // its answers have ended for the last of them
    say(c, s.exec(2));                               // crosses that
    std::string got;
    for (const Seconds since = s.scheduler.now(); s.going(since) && !got.ends_with("|");) {
      co_await s.look.wait(s.scheduler.now() + 0.01);
      const auto more = taken(c);
      got += more;
      if (more.empty() && got.size() > large.size()) break;
    }
    CHECK(got == resp_array_text({"1", "RESULT", "etag=1", large}) + "|");
    CHECK(s.served == 1);
    s.scheduler.stop();
  });
}

TEST_CASE(
    "given a client whose request lies unread, when another has to make room, then it is not this one") {
  ClientsStand s;
  s.serve = [&](std::shared_ptr<ClientConnection> client, Request order) {
    ++s.served;
    client->answer(order.tag, "RESULT", "etag=1", "one");
  };
  s.play([&]() -> Task {
    const Fd c = s.connect();
    say(c, s.exec(1));
    UNTIL(s.served > 0);
    co_await s.look.wait(s.scheduler.now() + 0.3);
    std::vector<Fd> others;
    for (int n = 0; n < 8; ++n) others.push_back(s.connect());
    say(c, s.exec(2));  // before the router has seen any of the others
    std::string got;
    const auto both =
        resp_array_text({"1", "RESULT", "etag=1", "one"}) + resp_array_text({"2", "RESULT", "etag=1", "one"});
    UNTIL((got += taken(c)).size() >= both.size());
    CHECK(got == both);
    CHECK(s.served == 2);
    s.scheduler.stop();
  });
}

namespace {

// Clients whose txns stay open until the story answers them.
struct OpenStand : ClientsStand {
  OpenStand() {
    serve = [this](std::shared_ptr<ClientConnection> client, Request order) {
      ++served;
      tag = order.tag;
      handle.emplace(dispatcher, 0, 1, order.object_text, 0, 0, scheduler.now() + 9);
      client->add_request(tag, *handle);
      asked = std::move(client);
    };
  }
  void answer() {
    asked->answer(tag, "RESULT", "etag=1", "one");
    asked->remove_request(tag);
    asked.reset(), handle.reset();
  }
  const std::string answered = resp_array_text({"1", "RESULT", "etag=1", "one"});
  config::PlatformConfig config = config::parse_platform_config(config_text("n0", 1, 1, "", "{}"));
  purge::PurgeRegistry purges{{}, scheduler.now()};
  RequestDispatcher dispatcher{scheduler, 7, config.settings, purges};
  std::string tag;
  std::optional<RequestHandle> handle;
  std::shared_ptr<ClientConnection> asked;
};

}  // namespace

TEST_CASE(
    "given a client that sent nonsense behind a request, then that request is answered before the end") {
  OpenStand s;
  s.play([&]() -> Task {
    const Fd c = s.connect();
    say(c, s.exec(1) + "GET / HTTP/1.1\r\n\r\n" + s.exec(2));
    UNTIL(s.asked);
    co_await s.look.wait(s.scheduler.now() + 0.2);
    CHECK_FALSE(s.handle->has_client_left());
    s.answer();
    std::string got;
    UNTIL((got += taken(c)).ends_with("|"));
    CHECK(got == s.answered + "|");
    CHECK(s.served == 1);
    s.scheduler.stop();
  });
}

TEST_CASE("given a client that asked too much, when it gives up what was taken, then that is heard") {
  OpenStand s;
  s.play([&]() -> Task {
    const Fd c = s.connect();
    say(c, s.exec(1) + s.exec(1));  // one tag twice: its connection comes to its end
    UNTIL(s.asked);
    co_await s.look.wait(s.scheduler.now() + 0.1);
    say(c, resp_array_text({"FORGET", "1", ""}));
    UNTIL(s.handle->has_client_left());
    CHECK(s.handle->has_client_left());
    s.scheduler.stop();
  });
}

TEST_CASE("given a client that writes slowly, when it has a txn open, then that is answered") {
  OpenStand s;
  s.play([&]() -> Task {
    const Fd c = s.connect();
    const auto next = s.exec(2);
    say(c, s.exec(1) + next.substr(0, 20));
    co_await s.look.wait(s.scheduler.now() + 2.4);  // past the time for a whole message
    CHECK_FALSE(s.handle->has_client_left());
    s.answer();
    say(c, next.substr(20));
    std::string got;
    for (const Seconds since = s.scheduler.now(); s.going(since) && (got.empty() || s.served < 2);
         got += taken(c))
      co_await s.look.wait(s.scheduler.now() + 0.01);
    CHECK(got == s.answered);
    CHECK(s.served == 2);
    s.scheduler.stop();
  });
}

TEST_CASE("given a client that sends nonsense without end, then its connection ends within a bound") {
  ClientsStand s;
  s.play([&]() -> Task {
    const Fd c = s.connect();
    const std::string nonsense(4096, 'x');
    bool refused = false;
    const Seconds since = s.scheduler.now();
    while (s.going(since) && !refused) {
      refused = ::send(c.get(), nonsense.data(), nonsense.size(), MSG_NOSIGNAL) < 0 && errno != EAGAIN;
      co_await s.look.wait(s.scheduler.now() + 0.005);
    }
    CHECK(refused);
    CHECK(s.clients.count() == 0);
    s.scheduler.stop();
  });
}

namespace {

std::string member(int id, AnnouncedState state) {
  return endpoint_record(static_cast<unsigned>(id), 9, state, 1, 0);
}

// A list that follows what the story says as a bus.
struct BusStand : Stand {
  bool ready(int id) { return caches.is_ready(caches.endpoint_index(fmt::format("s-{:08x}", id))); }
  // The number in the hello of a connection; -1 while it has not come.
  static int hello(const Fd& fd) {
    const auto got = taken(fd);
    return got.size() < 8 ? -1 : got[7];
  }

  config::PlatformConfig config = config::parse_platform_config(config_text("n0", 1, 1, "", "{}"));
  purge::PurgeRegistry purges{{}, scheduler.now()};
  RequestDispatcher dispatcher{scheduler, 7, config.settings, purges};
  UpstreamPool caches{scheduler, outbox, log, {8, 32, 1, 60, true}};
  DiscoveryClient list{scheduler, outbox, log, dispatcher, caches};
};

}  // namespace

TEST_CASE("given a bus that breaks inside a frame, then what it told is taken once, in its order") {
  BusStand s;
  const Ear bus;
  s.play([&]() -> Task {
    s.list.follow(bus.address);
    Fd first, second;
    UNTIL(first = bus.accept());
    int held = -1;
    UNTIL((held = s.hello(first)) >= 0);
    CHECK(held == 0);
    const auto whole =
        discovery_frame(1, 1, member(1, AnnouncedState::ready) + member(2, AnnouncedState::ready));
    const auto drain = discovery_frame(2, 2, member(1, AnnouncedState::draining)),
               back = discovery_frame(3, 2, member(1, AnnouncedState::ready)),
               gone = discovery_frame(4, 2, member(2, AnnouncedState::gone));
    say(first, whole + drain.substr(0, 20));
    UNTIL(s.ready(1));
    first = Fd();
    UNTIL(second = bus.accept());
    UNTIL((held = s.hello(second)) >= 0);
    CHECK(held == 1);
    CHECK(s.ready(1));  // half a frame tells nothing
    // Those of before once more, behind what followed them too.
    say(second, whole + drain + back + drain + whole + gone + drain);
    UNTIL(!s.ready(2));
    CHECK(s.ready(1));
    CHECK_FALSE(s.ready(2));
    s.scheduler.stop();
  });
}

TEST_CASE("given a list that is told to move, then only the last bus that it was sent to is heeded") {
  BusStand s;
  const Ear full(0), old, passed, now;
  const Fd fills = dial(full.address);
  const auto frames = [&](AnnouncedState one) {
    return discovery_frame(1, 1, member(1, one) + member(2, AnnouncedState::ready));
  };
  // From a dial that does not come up, from a pause between dials, or from a bus that talks on.
  const int from = GENERATE(0, 1, 2);
  CAPTURE(from);
  s.play([&]() -> Task {
    co_await s.look.wait(s.scheduler.now() + 0.1);
    Fd talking, followed;
    s.list.follow(from == 0 ? full.address : from == 1 ? Address{kLoopback, 1} : old.address);
    if (from == 1) co_await s.look.wait(s.scheduler.now() + 0.9);  // its pauses have grown by then
    if (from == 2) UNTIL(talking = old.accept());
    co_await s.look.wait(s.scheduler.now() + 0.05);
    const Seconds told = s.scheduler.now();
    // The old one's word lies unread when the list is told to move, twice in a row.
    if (talking) say(talking, frames(AnnouncedState::draining));
    s.list.follow(passed.address);
    s.list.follow(now.address);
    UNTIL(followed = now.accept());
    CHECK(s.scheduler.now() < told + 0.3);
    CHECK_FALSE(passed.called());
    say(followed, frames(AnnouncedState::ready));
    UNTIL(s.ready(2));
    CHECK(s.ready(1));
    if (talking)  // it talks on; nobody listens
      for (int n = 0; n < 20 && ::send(talking.get(), "x", 1, MSG_NOSIGNAL) > 0; ++n)
        co_await s.look.wait(s.scheduler.now() + 0.01);
    CHECK(s.ready(1));
    s.scheduler.stop();
  });
}

TEST_CASE("given no descriptor for who comes, then an idle client makes room for it") {
  ClientsStand s;
  rlimit before{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  s.play([&]() -> Task {
    const Fd idle = s.connect();
    say(idle, resp_array_text({"ALIVE", "1", ""}));
    std::string got;
    UNTIL(!(got = taken(idle)).empty());
    Fd comes(::socket(AF_INET, SOCK_STREAM, 0));
    const rlimit tight{64, before.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &tight);
    std::vector<Fd> all;
    while (Fd fd{::open("/dev/null", O_RDONLY)}) all.push_back(std::move(fd));
    comes = s.connect(std::move(comes));
    say(comes, resp_array_text({"ALIVE", "2", ""}));
    UNTIL(!(got = taken(comes)).empty());
    CHECK(got == resp_array_text({"2", "UNREADY"}));
    CHECK(taken(idle) == "|");
    s.scheduler.stop();
  });
  ::setrlimit(RLIMIT_NOFILE, &before);
}
