#include "net/discovery_codec.h"

#include <fmt/format.h>

#include "base/text.h"

namespace walkpaddle::net {

namespace {

// The kinds of frames, with their numbers on the wire.
enum class FrameKind : std::uint8_t { heartbeat, whole_list, list_change, object_purge, group_purge };

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kHeaderBytes = 9;  // event number and frame kind
constexpr std::size_t kEndpointBytes = 27;
constexpr std::size_t kStateOffset = 10;  // offset of the state in an endpoint
constexpr std::size_t kObjectPurgeBytes = 16;
constexpr std::size_t kGroupPurgeBytes = 10;

// Removes a number of `bytes` bytes in network byte order from the start of `rest`.
std::uint64_t take_number(std::string_view& rest, std::size_t bytes) {
  std::uint64_t value = 0;
  for (std::size_t n = 0; n < bytes; ++n) value = value << 8 | static_cast<unsigned char>(rest[n]);
  rest.remove_prefix(bytes);
  return value;
}

Seconds take_stamp(std::string_view& rest) { return static_cast<Seconds>(take_number(rest, 8)) / 1e3; }

void check_endpoints(std::string_view payload) {
  for (std::size_t at = kStateOffset; at < payload.size(); at += kEndpointBytes)
    if (payload[at] < 0 || payload[at] > 2) throw_bad_value("endpoint state", std::to_string(payload[at]));
}

bool has_valid_size(FrameKind kind, std::size_t size) {
  switch (kind) {
    case FrameKind::heartbeat:
      return size == 0;
    case FrameKind::whole_list:
    case FrameKind::list_change:
      return size % kEndpointBytes == 0;
    case FrameKind::object_purge:
      return size == kObjectPurgeBytes;
    case FrameKind::group_purge:
      return size == kGroupPurgeBytes;
  }
  return false;
}

FrameKind checked_kind(std::uint64_t number, std::string_view payload) {
  if (number > static_cast<std::uint64_t>(FrameKind::group_purge))
    throw_bad_value("frame kind", std::to_string(number));
  const auto kind = static_cast<FrameKind>(number);
  if (!has_valid_size(kind, payload.size())) throw_bad_value("frame length", std::to_string(payload.size()));
  if (kind == FrameKind::whole_list || kind == FrameKind::list_change) check_endpoints(payload);
  return kind;
}

void report_list(bool whole, std::string_view payload, DiscoveryEvents& events) {
  constexpr EndpointState kStates[] = {EndpointState::ready, EndpointState::draining, EndpointState::gone};
  events.begin_endpoint_list(whole);
  while (!payload.empty()) {
    const auto id = fmt::format("s-{:08x}", take_number(payload, 4));
    Address address;
    address.ip = static_cast<std::uint32_t>(take_number(payload, 4));
    address.port = static_cast<std::uint16_t>(take_number(payload, 2));
    const auto state = kStates[take_number(payload, 1)];
    const int location = static_cast<int>(take_number(payload, 1));
    const int kind = static_cast<int>(take_number(payload, 1));
    const int cell = static_cast<int>(take_number(payload, 2));
    const double weight = static_cast<double>(take_number(payload, 4)) / 1e3;
    const Seconds started = take_stamp(payload);
    events.update_endpoint(id, address, location, kind, cell, state, weight, started);
  }
  events.end_endpoint_list();
}

void report_event(FrameKind kind, std::string_view payload, DiscoveryEvents& events) {
  switch (kind) {
    case FrameKind::heartbeat:
      return;
    case FrameKind::whole_list:
      return report_list(true, payload, events);
    case FrameKind::list_change:
      return report_list(false, payload, events);
    case FrameKind::object_purge: {
      const auto object = fmt::format("{:016x}", take_number(payload, 8));
      return events.purged(object, take_stamp(payload));
    }
    case FrameKind::group_purge: {
      const auto group = static_cast<std::uint32_t>(take_number(payload, 2));
      return events.purged_group(group, take_stamp(payload));
    }
  }
}

}  // namespace

std::size_t read_frame(std::string_view bytes, std::uint64_t& last, DiscoveryEvents& events,
                       std::uint64_t& seen) {
  constexpr std::size_t kMaxFrameBytes = 4u << 20;  // room for a list of 150,000 endpoints
  if (bytes.size() < kLengthBytes) return 0;
  const auto length = take_number(bytes, kLengthBytes);
  if (length < kHeaderBytes || length > kMaxFrameBytes)
    throw_bad_value("frame length", std::to_string(length));
  if (bytes.size() < length) return 0;
  auto payload = bytes.substr(0, length);
  const auto number = take_number(payload, 8);
  const auto kind = checked_kind(take_number(payload, 1), payload);
  if (kind == FrameKind::heartbeat || number <= last) return kLengthBytes + length;
  // An event after a gap takes effect at once, and again when it is repeated after the missing events.
  report_event(kind, payload, events);
  seen = number;
  if (number == last + 1) last = number;
  return kLengthBytes + length;
}

std::string hello_text(std::uint64_t last) {
  std::string text;
  for (int shift = 56; shift >= 0; shift -= 8) text += static_cast<char>(last >> shift & 255);
  return text;
}

}  // namespace walkpaddle::net
