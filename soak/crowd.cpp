#include "soak/crowd.h"

#include <fmt/core.h>

#include "net/resp_parser.h"
#include "soak/oracle.h"

namespace walkpaddle::soak {

namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr std::size_t kWriteBytes = 48'000;  // the largest write (protocol page)
constexpr std::size_t kHeadBytes = 60'000;
constexpr int kMaxOpen = 32;  // protocol page

}  // namespace

void Crowd::inject(const Fault& fault, Seconds until) {
  if (fault.kind != FaultKind::crowd_floods) process_.set_crowd_until(unix_now() + fault.duration);
  for (int n = 0; n < static_cast<int>(fault.magnitude); ++n) scheduler_.start(run_client(fault.kind, until));
}

std::shared_ptr<FaultyConnection> Crowd::connect() {
  Fd fd = dial(Address{kLoopback, static_cast<std::uint16_t>(process_.port())});
  return fd ? std::make_shared<FaultyConnection>(scheduler_, outbox_, std::move(fd)) : nullptr;
}

std::string Crowd::request_fields(int limit_ms) {
  return fmt::format("txn={:016x},limit={},item={:016x},seg=0,bucket={}", random_(), limit_ms, random_(),
                     random_() % 256);
}

// Most of a write, or of a head with very many short fields; some clients announce a length and send nothing.
std::string Crowd::unfinished_message() {
  std::string fields = request_fields(2000);
  if (chance(0.3)) {
    while (fields.size() < kHeadBytes) fields += fmt::format(",a{}=b", fields.size());
    const auto head = net::resp_array_text({"EXEC", "1", "page", fields});
    return head.substr(0, head.size() - 20);
  }
  const auto write = net::resp_array_text({"EXEC", "1", "order", fields, std::string(kWriteBytes, 's')});
  if (chance(0.2)) return write.substr(0, 200);
  return write.substr(0, std::uniform_int_distribution<std::size_t>(10'000, kWriteBytes)(random_));
}

std::string Crowd::requests(int count) {
  std::string text;
  for (int tag = 1; tag <= count; ++tag)
    text += net::resp_array_text({"EXEC", std::to_string(tag), chance(0.9) ? "page" : "order",
                                  request_fields(chance(0.5) ? 2000 : 5000), kWriteBody});
  return text;
}

// Small messages, sound or not, under new names.
std::string Crowd::small_messages() {
  constexpr int kCount = 200;
  const auto kind = random_() % 5;
  std::string text;
  for (int n = 1; n <= kCount; ++n) {
    const auto tag = std::to_string(n);
    if (kind == 0) text += net::resp_array_text({"ALIVE", tag, ""});
    if (kind == 1) text += net::resp_array_text({"EXEC", tag, "page", "txn=zz"});
    if (kind == 2) text += net::resp_array_text({"EXEC", tag, "page", request_fields(1)});
    if (kind == 3)
      text += net::resp_array_text({"EXEC", tag, fmt::format("c{:x}", random_()), request_fields(2000)});
    if (kind == 4)
      text += net::resp_array_text({"EXEC", tag, "page", request_fields(2000)}) +
              net::resp_array_text({"FORGET", tag});
  }
  return text;
}

std::string Crowd::message(FaultKind kind) {
  if (kind == FaultKind::crowd_unfinished) return unfinished_message();
  return kind == FaultKind::crowd_unread ? requests(kMaxOpen) : small_messages();
}

Task Crowd::run_client(FaultKind kind, Seconds until) {
  constexpr Seconds kRetryPause = 0.05, kInterval = 0.005;
  constexpr std::size_t kMaxUnsent = 32'768;
  const bool floods = kind == FaultKind::crowd_floods;
  Event pause(scheduler_);
  while (scheduler_.now() < until) {
    const auto connection = process_.accepts_connections() ? connect() : nullptr;
    if (!connection) {
      co_await pause.wait(scheduler_.now() + kRetryPause);
      continue;
    }
    auto& stream = connection->stream();
    co_await stream.writable(scheduler_.now() + kRetryPause);
    const bool reads = chance(0.5);
    const bool slow = kind == FaultKind::crowd_unfinished && chance(0.2);
    const auto text = message(kind);
    if (slow)
      connection->trickle(text, 400, kRetryPause);
    else
      connection->write(text);
    while (scheduler_.now() < until && !stream.peer_has_closed()) {
      while (reads && stream.read() == Stream::ReadResult::bytes) stream.consume(stream.in().size());
      if (floods && stream.unsent() < kMaxUnsent) connection->write(text);
      co_await pause.wait(scheduler_.now() + (floods ? kInterval : kRetryPause));
    }
  }
}

}  // namespace walkpaddle::soak
