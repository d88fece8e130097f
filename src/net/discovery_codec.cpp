#include "net/discovery_codec.h"

#include <fmt/format.h>

#include "base/text.h"

namespace walkpaddle::net {

namespace {

std::uint64_t take(std::string_view& rest, int bytes) {
  std::uint64_t value = 0;
  for (int n = 0; n < bytes; ++n) value = value << 8 | static_cast<unsigned char>(rest[n]);
  rest.remove_prefix(bytes);
  return value;
}

constexpr std::size_t kHead = 9;     // number and kind
constexpr std::size_t kRecord = 27;  // one member
constexpr std::size_t kStateAt = 10;

void check(std::uint64_t kind, std::string_view payload) {
  const auto wrong_size = [&](bool wrong) {
    if (wrong) throw_bad_value("frame length", std::to_string(payload.size()));
  };
  if (kind > 4) throw_bad_value("frame kind", std::to_string(kind));
  if (kind == 0) wrong_size(!payload.empty());
  if (kind == 3) wrong_size(payload.size() != 16);
  if (kind == 4) wrong_size(payload.size() != 10);
  if (kind != 1 && kind != 2) return;
  wrong_size(payload.size() % kRecord != 0);
  for (std::size_t at = kStateAt; at < payload.size(); at += kRecord)
    if (payload[at] < 0 || payload[at] > 2) throw_bad_value("member state", std::to_string(payload[at]));
}

void hand_list(bool whole, std::string_view payload, DiscoveryEvents& events) {
  constexpr EndpointState kStates[] = {EndpointState::ready, EndpointState::draining, EndpointState::gone};
  events.begin_endpoint_list(whole);
  while (!payload.empty()) {
    const auto id = fmt::format("s-{:08x}", take(payload, 4));
    Address address;
    address.ip = static_cast<std::uint32_t>(take(payload, 4));
    address.port = static_cast<std::uint16_t>(take(payload, 2));
    const auto state = kStates[take(payload, 1)];
    const int location = static_cast<int>(take(payload, 1)), kind = static_cast<int>(take(payload, 1));
    const int cell = static_cast<int>(take(payload, 2));
    const double weight = static_cast<double>(take(payload, 4)) / 1e3;
    const Seconds started = static_cast<Seconds>(take(payload, 8)) / 1e3;
    events.update_endpoint(id, address, location, kind, cell, state, weight, started);
  }
  events.end_endpoint_list();
}

}  // namespace

std::size_t read_frame(std::string_view bytes, std::uint64_t& last, DiscoveryEvents& events,
                       std::uint64_t& seen) {
  constexpr std::size_t kMost = 4u << 20;  // a list of 150,000 members
  if (bytes.size() < 4) return 0;
  const auto length = take(bytes, 4);
  if (length < kHead || length > kMost) throw_bad_value("frame length", std::to_string(length));
  if (bytes.size() < length) return 0;
  auto payload = bytes.substr(0, length);
  const auto number = take(payload, 8), kind = take(payload, 1);
  check(kind, payload);
  if (kind == 0 || number <= last) return 4 + length;
  // Behind a gap: it counts at once, and will count again once what is missing has come before it.
  if (kind <= 2) hand_list(kind == 1, payload, events);
  if (kind == 3) {
    const auto object = fmt::format("{:016x}", take(payload, 8));
    events.purged(object, static_cast<Seconds>(take(payload, 8)) / 1e3);
  }
  if (kind == 4) {
    const auto group = static_cast<std::uint32_t>(take(payload, 2));
    events.purged_group(group, static_cast<Seconds>(take(payload, 8)) / 1e3);
  }
  seen = number;
  if (number == last + 1) last = number;
  return 4 + length;
}

std::string hello_text(std::uint64_t last) {
  std::string text;
  for (int shift = 56; shift >= 0; shift -= 8) text += static_cast<char>(last >> shift & 255);
  return text;
}

}  // namespace walkpaddle::net
