#include "dns/dns_server.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>

#include "config/settings.h"

namespace walkpaddle::dns {

namespace {

constexpr std::size_t kMostOpen = 4096;       // a seat and a task each, some hundred bytes
constexpr std::size_t kMostConnections = 16;  // RFC 7766 asks for several at once
constexpr std::size_t kLongest = 4096;        // of a query; none of ours needs a tenth

}  // namespace

DnsServer::Socket::Socket(Scheduler& s, Fd f) : scheduler(s), fd(std::move(f)), input_ready(s) {
  scheduler.watch(fd.get(), *this);
}

DnsServer::Socket::~Socket() { scheduler.unwatch(fd.get(), *this); }

DnsServer::DnsServer(Scheduler& scheduler, Outbox& outbox, Log& log, net::RequestDispatcher& dispatcher,
                     net::UpstreamPool& caches, Zone zone, const Address& listen)
    : scheduler_(scheduler),
      outbox_(outbox),
      log_(log),
      dispatcher_(dispatcher),
      upstream_(caches),
      zone_(std::move(zone)),
      socket_(scheduler, bind_udp(listen)),
      listener_(scheduler, listen_on(listen)) {
  scheduler_.start(datagrams());
  scheduler_.start(accept_all());
}

Task DnsServer::datagrams() {
  constexpr int kATurn = 64;  // then others get theirs; what the kernel cannot hold is asked again
  char room[kLongest];
  Event next(scheduler_);
  for (;;) {
    for (int n = 0; n < kATurn; ++n) {
      sockaddr_in a{};
      socklen_t size = sizeof a;
      const auto got =
          ::recvfrom(socket_.fd.get(), room, sizeof room, 0, reinterpret_cast<sockaddr*>(&a), &size);
      if (got < 0 && errno == EAGAIN) {
        co_await socket_.input_ready.wait();
        break;
      }
      if (got > 0)
        take({room, static_cast<std::size_t>(got)},
             {{ntohl(a.sin_addr.s_addr), ntohs(a.sin_port)}, nullptr, 512});
    }
    co_await next.wait(scheduler_.now());
  }
}

Task DnsServer::accept_all() {
  constexpr Seconds kPause = 0.1;
  while (listener_.open()) {
    Fd fd = listener_.accept();
    if (fd) {
      if (connections_ < kMostConnections) scheduler_.start(connection(std::move(fd)));
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED) continue;
    const Seconds until = errno == EAGAIN ? kNoTime : scheduler_.now() + kPause;
    co_await listener_.input_ready.wait(until);
  }
}

// Many queries on one connection, answered as they are decided. One that trickles or idles is closed; one
// that does not read what it asked for too.
Task DnsServer::connection(Fd fd) {
  constexpr Seconds kIdle = 5;
  constexpr std::size_t kUnread = 256 * 1024;
  struct Count {
    std::size_t& count;
    ~Count() { --count; }
  } count{++connections_};
  auto stream = std::make_shared<Stream>(scheduler_, outbox_, std::move(fd));
  for (Seconds whole_at = scheduler_.now();;) {
    const auto came = stream->read();
    if (came == Stream::ReadResult::end || stream->unsent() > kUnread) break;
    if (came == Stream::ReadResult::bytes) {
      bool good = true;
      while (good && stream->in().size() >= 2) {
        const auto in = stream->in();
        const std::size_t size = static_cast<unsigned char>(in[0]) << 8 | static_cast<unsigned char>(in[1]);
        good = size > 0 && size <= kLongest;
        if (!good || in.size() < 2 + size) break;
        take(in.substr(2, size), {{}, stream, 65535});
        stream->consume(2 + size);
        whole_at = scheduler_.now();
      }
      if (!good) break;
      continue;
    }
    co_await stream->readable(whole_at + kIdle);
    if (scheduler_.now() >= whole_at + kIdle) break;
  }
  stream->close();
}

void DnsServer::give(const Asker& asker, const std::string& reply) {
  if (reply.empty()) return;
  if (asker.stream) {
    if (asker.stream->broken()) return;
    const char head[] = {static_cast<char>(reply.size() >> 8), static_cast<char>(reply.size() & 255)};
    return asker.stream->write(std::string(head, 2) + reply);
  }
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(asker.from.ip);
  a.sin_port = htons(asker.from.port);
  if (::sendto(socket_.fd.get(), reply.data(), reply.size(), 0, reinterpret_cast<const sockaddr*>(&a),
               sizeof a) < 0)
    log_("dns", "an answer to {} could not be sent", text_of(asker.from));
}

void DnsServer::take(std::string_view bytes, Asker asker) {
  auto [question, reply] = read_query(bytes);
  if (!question) return give(asker, reply);
  const auto& q = *question;
  if (!asker.stream) asker.size = q.size;
  const auto say = [&](const Reply& r) { give(asker, reply_bytes(q, r, asker.size)); };
  if (!q.internet || !zone_.holds(q.name)) return say({Code::refused, {}, {}, {}});
  auto meaning = zone_.meaning(q.name);
  using Stands = Zone::Stands;
  if (meaning.stands == Stands::nothing) return say(zone_.none(Code::no_name));
  if (meaning.stands == Stands::above) return say(zone_.none(Code::good));
  if (meaning.stands == Stands::apex) return say(zone_.apex(q.type));
  if (meaning.stands == Stands::member) {
    // A member's own name lives while it takes work.
    const int m = upstream_.find_endpoint(meaning.text);
    if (m < 0 || !upstream_.is_ready(m)) return say(zone_.none(Code::no_name));
    return say(zone_.member(q, meaning.text, upstream_.address(m).ip, upstream_.address(m).port));
  }
  if (q.type != Type::a && q.type != Type::srv) return say(zone_.member(q, "", 0, 0));
  if (open_ >= kMostOpen) return say({Code::refused, {}, {}, {}});
  scheduler_.start(lookup(q, std::move(meaning), std::move(asker)));
}

Task DnsServer::lookup(Question question, Zone::Meaning meaning, Asker asker) {
  constexpr Seconds kPatience = 1;  // resolvers ask again after one to five seconds
  struct Count {
    std::size_t& count;
    ~Count() { --count; }
  } count{++open_};
  const auto& name = meaning.text.empty() ? question.name : meaning.text;
  const auto object = stable_hash(name);
  const auto& setup = zone_.setup();
  net::RequestHandle handle(dispatcher_, meaning.rule, object, name, 0, 0, scheduler_.now() + kPatience);
  // In flight: as many at a time as follow within the use, each for a good part of it at most.
  handle.set_represented_requests(std::max(1.0, setup.txns / std::max(1.0, setup.use)), setup.txns);
  for (;;) {
    co_await handle.decision_made();
    const auto d = handle.take_decision();
    if (!d) continue;
    if (d->kind == Decision::Kind::fail || d->kind == Decision::Kind::reject) {
      const auto code = d->kind == Decision::Kind::fail ? Code::failed : Code::refused;
      give(asker, reply_bytes(question, {code, {}, {}, {}}, asker.size));
      co_return;
    }
    // A client brings no age bound: a member that has not confirmed what covers the object is not named.
    const bool purged = handle.valid_since() > 0 && dispatcher_.purges().replication() != nullptr;
    if (!upstream_.is_ready(d->endpoint) ||
        (purged && !dispatcher_.purges().delivered_to(d->endpoint, handle.valid_since()))) {
      handle.attempt_ended(AttemptOutcome::not_cached, FillOutcome::none, 0, 0, 0, false);
      continue;
    }
    const auto& at = upstream_.address(d->endpoint);
    give(asker, reply_bytes(question, zone_.member(question, upstream_.id(d->endpoint), at.ip, at.port),
                            asker.size));
    break;
  }
  Event used(scheduler_);
  co_await used.wait(scheduler_.now() + setup.use);
}

}  // namespace walkpaddle::dns
