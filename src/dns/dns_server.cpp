#include "dns/dns_server.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>

#include "config/settings.h"
#include "io/accept_loop.h"
#include "io/datagram_batch.h"
#include "io/read_slice.h"
#include "routing/source_quota.h"

namespace walkpaddle::dns {

namespace {

constexpr std::size_t kMaxOpenLookups = 4096;  // each takes a request slot and a task, some hundred bytes
constexpr std::size_t kMaxConnections = 16;    // RFC 7766 asks for several at a time
constexpr std::size_t kMaxUnsentBytes = std::size_t{64} * 1024;  // on one connection, hundreds of replies
constexpr std::size_t kMaxQueryBytes = 4096;  // queries for names of the zone take less than a tenth of it

}  // namespace

DnsServer::Socket::Socket(Scheduler& s, Fd f) : scheduler(s), fd(std::move(f)), input_ready(s) {
  scheduler.watch(fd.get(), *this);
}

DnsServer::Socket::~Socket() { scheduler.unwatch(fd.get(), *this); }

DnsServer::DnsServer(Scheduler& scheduler, Outbox& outbox, Log& log, net::RequestDispatcher& dispatcher,
                     net::UpstreamPool& upstream, Zone zone, const Address& listen)
    : scheduler_(scheduler),
      outbox_(outbox),
      log_(log),
      dispatcher_(dispatcher),
      upstream_(upstream),
      zone_(std::move(zone)),
      busy_tasks_(scheduler),
      socket_(scheduler, bind_udp(listen)),
      listener_(scheduler, listen_on(listen)) {
  scheduler_.start(serve_datagrams());
  scheduler_.start(accept_connections(scheduler_, listener_, busy_tasks_, [this](Fd fd) {
    if (connections_ < kMaxConnections) scheduler_.start(serve_connection(std::move(fd)));
  }));
}

// While more queries arrive than can be answered, those of sources that send most are dropped; resolvers
// repeat them.
Task DnsServer::serve_datagrams() {
  TimeSlice slice(scheduler_, busy_tasks_);
  routing::SourceQuota quota;
  DatagramBatch batch(kMaxQueryBytes);
  for (;;) {
    while (slice.must_wait()) co_await slice.next_turn();
    quota.begin();
    const bool is_drained =
        receive_slice(socket_.fd.get(), batch, slice, [&](const DatagramBatch::Datagram& datagram) {
          const bool is_dropped = slice.is_busy() && !quota.admits(datagram.source.hash());
          if (!datagram.bytes.empty() && !is_dropped)
            handle_query(datagram.bytes, {datagram.source, nullptr, 512});
        });
    if (is_drained)
      co_await socket_.input_ready.wait();
    else
      co_await slice.next_turn();
  }
}

// Serves any number of queries on one connection; replies are sent in the order in which they are decided.
// While many replies are unsent, no further queries are read. Closes the connection if no complete query
// arrives for a while, or if the client reads none of its replies.
Task DnsServer::serve_connection(Fd fd) {
  constexpr Seconds kTimeout = 5;
  struct Count {
    std::size_t& count;
    ~Count() { --count; }
  } count{++connections_};
  auto stream = std::make_shared<Stream>(scheduler_, outbox_, std::move(fd));
  TimeSlice slice(scheduler_, busy_tasks_);
  for (Seconds last_query_at = scheduler_.now();;) {
    while (slice.must_wait()) co_await slice.next_turn();
    const auto result = read_slice(
        *stream, slice, [&] { return take_queries(stream, slice, last_query_at); }, kMaxUnsentBytes);
    if (result == Stream::ReadResult::end) break;
    if (result == Stream::ReadResult::bytes) {
      co_await slice.next_turn();
      continue;
    }
    stream->wake_on_output();
    const bool is_full = stream->unsent() > kMaxUnsentBytes;
    const Seconds until = (is_full ? stream->stalled_since() : last_query_at) + kTimeout;
    co_await stream->readable(until);
    if (scheduler_.now() >= until) break;
  }
  stream->close();
}

// Handles the whole queries that were received, until many replies are unsent or the slice is over. False if
// one is malformed.
bool DnsServer::take_queries(const std::shared_ptr<Stream>& stream, const TimeSlice& slice,
                             Seconds& last_query_at) {
  constexpr std::size_t kLengthBytes = 2;
  while (stream->in().size() >= kLengthBytes && stream->unsent() <= kMaxUnsentBytes && !slice.is_over()) {
    const auto in = stream->in();
    const std::size_t size = static_cast<unsigned char>(in[0]) << 8 | static_cast<unsigned char>(in[1]);
    if (size == 0 || size > kMaxQueryBytes) return false;
    if (in.size() < kLengthBytes + size) return true;
    handle_query(in.substr(kLengthBytes, size), {{}, stream, 65535});
    stream->consume(kLengthBytes + size);
    last_query_at = scheduler_.now();
  }
  return true;
}

void DnsServer::send_reply(const Client& client, const std::string& reply) {
  if (reply.empty()) return;
  if (client.stream) {
    if (client.stream->broken()) return;
    const char length[] = {static_cast<char>(reply.size() >> 8), static_cast<char>(reply.size() & 255)};
    return client.stream->write(std::string(length, 2) + reply);
  }
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(client.from.ip);
  a.sin_port = htons(client.from.port);
  if (::sendto(socket_.fd.get(), reply.data(), reply.size(), 0, reinterpret_cast<const sockaddr*>(&a),
               sizeof a) < 0)
    log_("dns", "failed to send the reply to {}", text_of(client.from));
}

void DnsServer::handle_query(std::string_view bytes, Client client) {
  auto [question, reply] = parse_query(bytes);
  if (!question) return send_reply(client, reply);
  const auto& q = *question;
  if (!client.stream) client.max_reply_bytes = q.max_reply_bytes;
  const auto answer = [&](const Reply& r) {
    send_reply(client, serialize_reply(q, r, client.max_reply_bytes));
  };
  if (!q.internet_class || !zone_.contains(q.name)) return answer({ResponseCode::refused, {}, {}, {}});
  auto name = zone_.resolve(q.name);
  using NameKind = Zone::NameKind;
  if (name.kind == NameKind::none) return answer(zone_.negative_reply(ResponseCode::name_error));
  if (name.kind == NameKind::empty_non_terminal) return answer(zone_.negative_reply(ResponseCode::no_error));
  if (name.kind == NameKind::apex) return answer(zone_.apex_reply(q.type));
  if (name.kind == NameKind::endpoint) {
    // The name of an endpoint exists only while the endpoint is ready.
    const int endpoint = upstream_.find_endpoint(name.id);
    if (endpoint < 0 || !upstream_.is_ready(endpoint))
      return answer(zone_.negative_reply(ResponseCode::name_error));
    return answer(
        zone_.endpoint_reply(q, name.id, upstream_.address(endpoint).ip, upstream_.address(endpoint).port));
  }
  if (q.type != RecordType::a && q.type != RecordType::srv) return answer(zone_.endpoint_reply(q, "", 0, 0));
  if (open_lookups_ >= kMaxOpenLookups) return answer({ResponseCode::refused, {}, {}, {}});
  scheduler_.start(run_lookup(q, std::move(name), std::move(client)));
}

Task DnsServer::run_lookup(Question question, Zone::ResolvedName resolved, Client client) {
  constexpr Seconds kDecisionTimeout = 1;  // resolvers repeat a query after one to five seconds
  struct Count {
    std::size_t& count;
    ~Count() { --count; }
  } count{++open_lookups_};
  const auto& name = resolved.id.empty() ? question.name : resolved.id;
  const auto object = stable_hash(name);
  const auto& setup = zone_.setup();
  net::RequestHandle handle(dispatcher_, resolved.request_class, object, name, 0, 0,
                            scheduler_.now() + kDecisionTimeout);
  // In flight at a time: the requests that follow within one second, or all of them if the use time is
  // shorter. Each is expected to last for a good part of the use time at most.
  handle.set_represented_requests(std::max(1.0, setup.requests_per_answer / std::max(1.0, setup.use_time)),
                                  setup.requests_per_answer);
  for (;;) {
    co_await handle.decision_made();
    const auto decision = handle.take_decision();
    if (!decision) continue;
    if (decision->kind == Decision::Kind::fail || decision->kind == Decision::Kind::reject) {
      const auto code =
          decision->kind == Decision::Kind::fail ? ResponseCode::server_failure : ResponseCode::refused;
      send_reply(client, serialize_reply(question, {code, {}, {}, {}}, client.max_reply_bytes));
      co_return;
    }
    // DNS clients send no maximum age, so an endpoint that has not confirmed the purges of the object is not
    // named.
    const bool purged = handle.valid_since() > 0 && dispatcher_.purges().replication() != nullptr;
    if (!upstream_.is_ready(decision->endpoint) ||
        (purged && !dispatcher_.purges().delivered_to(decision->endpoint, handle.valid_since()))) {
      handle.attempt_ended(AttemptOutcome::not_cached, FillOutcome::none, 0, 0, 0, false);
      continue;
    }
    const auto& address = upstream_.address(decision->endpoint);
    send_reply(client, serialize_reply(question,
                                       zone_.endpoint_reply(question, upstream_.id(decision->endpoint),
                                                            address.ip, address.port),
                                       client.max_reply_bytes));
    break;
  }
  Event use_ended(scheduler_);
  co_await use_ended.wait(scheduler_.now() + setup.use_time);
}

}  // namespace walkpaddle::dns
