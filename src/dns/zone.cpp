#include "dns/zone.h"

#include <fmt/core.h>

#include <algorithm>

#include "base/text.h"

namespace walkpaddle::dns {

namespace {

constexpr std::string_view kEndpointLabel = "boxes";

std::string ip_text(std::uint32_t ip) {
  return fmt::format("{}.{}.{}.{}", ip >> 24 & 255, ip >> 16 & 255, ip >> 8 & 255, ip & 255);
}

bool is_object(std::string_view label) {
  return label.size() == 16 &&
         std::ranges::all_of(label, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

}  // namespace

bool Zone::contains(std::string_view name) const {
  if (name == setup_.name) return true;
  return name.size() > setup_.name.size() && name.ends_with(setup_.name) &&
         name[name.size() - setup_.name.size() - 1] == '.';
}

Zone::ResolvedName Zone::resolve(std::string_view name) const {
  if (name == setup_.name) return {NameKind::apex, -1, {}};
  auto left = name.substr(0, name.size() - setup_.name.size() - 1);
  const auto dot = left.rfind('.');
  const auto last = dot == std::string_view::npos ? left : left.substr(dot + 1);
  const auto first = dot == std::string_view::npos ? std::string_view() : left.substr(0, dot);
  if (last == kEndpointLabel) {
    if (first.empty()) return {NameKind::empty_non_terminal, -1, {}};
    return first.find('.') == std::string_view::npos
               ? ResolvedName{NameKind::endpoint, -1, std::string(first)}
               : ResolvedName{};
  }
  const auto request_class = std::ranges::find(request_classes_, last);
  if (request_class == request_classes_.end()) return {};
  const int index = static_cast<int>(request_class - request_classes_.begin());
  if (first.empty()) return {NameKind::request_class, index, {}};
  return is_object(first) ? ResolvedName{NameKind::object, index, std::string(first)} : ResolvedName{};
}

// The serial is always 1, since no secondary server copies the zone. The last field is the time for which
// negative replies may be cached.
std::string Zone::soa() const {
  return fmt::format("{0}. 0 IN SOA {1}. hostmaster.{0}. 1 3600 600 86400 0", setup_.name, setup_.server);
}

Reply Zone::negative_reply(ResponseCode code) const { return {code, {}, {soa()}, {}}; }

Reply Zone::apex_reply(RecordType type) const {
  const auto ns = fmt::format("{}. 0 IN NS {}.", setup_.name, setup_.server);
  if (type == RecordType::soa || type == RecordType::any) return {ResponseCode::no_error, {soa()}, {}, {}};
  if (type == RecordType::ns) return {ResponseCode::no_error, {ns}, {}, {}};
  return negative_reply(ResponseCode::no_error);
}

Reply Zone::endpoint_reply(const Question& q, std::string_view id, std::uint32_t ip,
                           std::uint16_t port) const {
  const auto target = fmt::format("{}.{}.{}", id, kEndpointLabel, setup_.name);
  if (q.type == RecordType::a)
    return {ResponseCode::no_error, {fmt::format("{}. 0 IN A {}", q.name, ip_text(ip))}, {}, {}};
  if (q.type == RecordType::srv)
    return {ResponseCode::no_error,
            {fmt::format("{}. 0 IN SRV 0 0 {} {}.", q.name, port, target)},
            {},
            {fmt::format("{}. 0 IN A {}", target, ip_text(ip))}};
  // A query for all types (ANY) gets an HINFO record, as RFC 8482 allows.
  if (q.type == RecordType::any)
    return {ResponseCode::no_error, {fmt::format("{}. 0 IN HINFO \"RFC8482\" \"\"", q.name)}, {}, {}};
  return negative_reply(ResponseCode::no_error);
}

}  // namespace walkpaddle::dns
