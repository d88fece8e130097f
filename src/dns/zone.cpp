#include "dns/zone.h"

#include <fmt/core.h>

#include <algorithm>

#include "base/text.h"

namespace walkpaddle::dns {

namespace {

constexpr std::string_view kMembers = "boxes";

std::string ip_text(std::uint32_t ip) {
  return fmt::format("{}.{}.{}.{}", ip >> 24 & 255, ip >> 16 & 255, ip >> 8 & 255, ip & 255);
}

bool is_object(std::string_view label) {
  return label.size() == 16 &&
         std::ranges::all_of(label, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

}  // namespace

bool Zone::holds(std::string_view name) const {
  if (name == setup_.name) return true;
  return name.size() > setup_.name.size() && name.ends_with(setup_.name) &&
         name[name.size() - setup_.name.size() - 1] == '.';
}

Zone::Meaning Zone::meaning(std::string_view name) const {
  if (name == setup_.name) return {Stands::apex, -1, {}};
  auto left = name.substr(0, name.size() - setup_.name.size() - 1);
  const auto dot = left.rfind('.');
  const auto last = dot == std::string_view::npos ? left : left.substr(dot + 1);
  const auto first = dot == std::string_view::npos ? std::string_view() : left.substr(0, dot);
  if (last == kMembers) {
    if (first.empty()) return {Stands::above, -1, {}};
    return first.find('.') == std::string_view::npos ? Meaning{Stands::member, -1, std::string(first)}
                                                     : Meaning{};
  }
  const auto rule = std::ranges::find(rules_, last);
  if (rule == rules_.end()) return {};
  const int n = static_cast<int>(rule - rules_.begin());
  if (first.empty()) return {Stands::rule, n, {}};
  return is_object(first) ? Meaning{Stands::object, n, std::string(first)} : Meaning{};
}

// Serial 1: there are no copies of the zone elsewhere. The last figure bounds how long nothing is believed.
std::string Zone::soa() const {
  return fmt::format("{0}. 0 IN SOA {1}. hostmaster.{0}. 1 3600 600 86400 0", setup_.name, setup_.server);
}

Reply Zone::none(Code code) const { return {code, {}, {soa()}, {}}; }

Reply Zone::apex(Type type) const {
  const auto ns = fmt::format("{}. 0 IN NS {}.", setup_.name, setup_.server);
  if (type == Type::soa || type == Type::any) return {Code::good, {soa()}, {}, {}};
  if (type == Type::ns) return {Code::good, {ns}, {}, {}};
  return none(Code::good);
}

Reply Zone::member(const Question& q, std::string_view id, std::uint32_t ip, std::uint16_t port) const {
  const auto own = fmt::format("{}.{}.{}", id, kMembers, setup_.name);
  if (q.type == Type::a) return {Code::good, {fmt::format("{}. 0 IN A {}", q.name, ip_text(ip))}, {}, {}};
  if (q.type == Type::srv)
    return {Code::good,
            {fmt::format("{}. 0 IN SRV 0 0 {} {}.", q.name, port, own)},
            {},
            {fmt::format("{}. 0 IN A {}", own, ip_text(ip))}};
  // All types at once are answered with a word that tells so (RFC 8482).
  if (q.type == Type::any)
    return {Code::good, {fmt::format("{}. 0 IN HINFO \"RFC8482\" \"\"", q.name)}, {}, {}};
  return none(Code::good);
}

}  // namespace walkpaddle::dns
