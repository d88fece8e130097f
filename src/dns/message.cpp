#include "dns/message.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <memory>

// Last, since it defines "true" and "false" as macros.
#include <ldns/ldns.h>
#undef true
#undef false

namespace walkpaddle::dns {

namespace {

constexpr std::size_t kHeaderBytes = 12;
// Size of a reply over UDP: the minimum of RFC 6891, and a maximum that avoids IP fragmentation.
constexpr std::size_t kMinReplyBytes = 512, kMaxReplyBytes = 1232;

struct PacketDeleter {
  void operator()(ldns_pkt* p) const { ldns_pkt_free(p); }
};
using Packet = std::unique_ptr<ldns_pkt, PacketDeleter>;

std::string header_only_reply(std::string_view bytes, ResponseCode code) {
  std::string reply(bytes.substr(0, kHeaderBytes));
  reply[2] = static_cast<char>((reply[2] & 0x79) | 0x80);  // a reply; opcode and RD flag as in the query
  reply[3] = static_cast<char>(code);
  std::fill(reply.begin() + 4, reply.end(), '\0');
  return reply;
}

// Whether the name of the question is uncompressed and lies within the message, so that ldns meets no
// compression loop in it.
bool is_question_valid(std::string_view bytes) {
  std::size_t at = kHeaderBytes;
  for (std::size_t labels = 0; at < bytes.size(); ++labels) {
    const auto length = static_cast<unsigned char>(bytes[at]);
    if (length == 0) return at - kHeaderBytes + 1 <= 255 && at + 5 <= bytes.size();
    if (length > 63 || labels > 127) return false;
    at += length + 1u;
  }
  return false;
}

std::string name_of(const ldns_rdf* owner) {
  char* text = ldns_rdf2str(owner);
  if (text == nullptr) return {};
  std::string name(text);
  std::free(text);
  std::ranges::transform(name, name.begin(),
                         [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  if (!name.empty() && name.back() == '.') name.pop_back();
  return name;
}

RecordType type_of(ldns_rr_type type) {
  switch (type) {
    case LDNS_RR_TYPE_A:
      return RecordType::a;
    case LDNS_RR_TYPE_AAAA:
      return RecordType::aaaa;
    case LDNS_RR_TYPE_SRV:
      return RecordType::srv;
    case LDNS_RR_TYPE_SOA:
      return RecordType::soa;
    case LDNS_RR_TYPE_NS:
      return RecordType::ns;
    case LDNS_RR_TYPE_ANY:
      return RecordType::any;
    default:
      return RecordType::other;
  }
}

void add_records(ldns_pkt* packet, ldns_pkt_section section, const std::vector<std::string>& records) {
  for (const auto& text : records) {
    ldns_rr* rr = nullptr;
    if (ldns_rr_new_frm_str(&rr, text.c_str(), 0, nullptr, nullptr) == LDNS_STATUS_OK)
      ldns_pkt_push_rr(packet, section, rr);
  }
}

std::string wire_of(const ldns_pkt* packet) {
  std::uint8_t* bytes = nullptr;
  std::size_t size = 0;
  if (ldns_pkt2wire(&bytes, packet, &size) != LDNS_STATUS_OK) return {};
  std::string text(reinterpret_cast<const char*>(bytes), size);
  std::free(bytes);
  return text;
}

}  // namespace

ParsedQuery parse_query(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes || (bytes[2] & 0x80) != 0)
    return {};  // too short, or a reply: never answered
  const auto count = [&](std::size_t at) {
    return static_cast<unsigned char>(bytes[at]) << 8 | static_cast<unsigned char>(bytes[at + 1]);
  };
  if ((bytes[2] & 0x78) != 0) return {std::nullopt, header_only_reply(bytes, ResponseCode::not_implemented)};
  if (count(4) != 1 || count(6) != 0 || count(8) != 0 || count(10) > 2 || !is_question_valid(bytes))
    return {std::nullopt, header_only_reply(bytes, ResponseCode::format_error)};
  ldns_pkt* raw = nullptr;
  if (ldns_wire2pkt(&raw, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()) !=
      LDNS_STATUS_OK)
    return {std::nullopt, header_only_reply(bytes, ResponseCode::format_error)};
  const Packet packet(raw);
  const auto* rr = ldns_rr_list_rr(ldns_pkt_question(raw), 0);
  Question q;
  q.id = ldns_pkt_id(raw);
  q.recursion_desired = ldns_pkt_rd(raw);
  q.name = name_of(ldns_rr_owner(rr));
  q.type = type_of(ldns_rr_get_type(rr));
  q.type_number = static_cast<std::uint16_t>(ldns_rr_get_type(rr));
  q.class_number = static_cast<std::uint16_t>(ldns_rr_get_class(rr));
  q.internet_class = q.class_number == LDNS_RR_CLASS_IN;
  q.edns = ldns_pkt_edns(raw);
  if (q.edns)
    q.max_reply_bytes = std::clamp<std::size_t>(ldns_pkt_edns_udp_size(raw), kMinReplyBytes, kMaxReplyBytes);
  if (q.edns && ldns_pkt_edns_version(raw) != 0)
    return {std::nullopt, serialize_reply(q, {ResponseCode::bad_version, {}, {}, {}}, q.max_reply_bytes)};
  return {q, {}};
}

std::string serialize_reply(const Question& q, const Reply& reply, std::size_t max_bytes) {
  const Packet packet(ldns_pkt_new());
  auto* p = packet.get();
  const int code = static_cast<int>(reply.code);
  ldns_pkt_set_id(p, q.id);
  ldns_pkt_set_qr(p, true);
  ldns_pkt_set_aa(p, reply.code == ResponseCode::no_error || reply.code == ResponseCode::name_error);
  ldns_pkt_set_rd(p, q.recursion_desired);
  ldns_pkt_set_rcode(p, static_cast<std::uint8_t>(code & 15));
  if (auto* owner = ldns_dname_new_frm_str((q.name + ".").c_str()); owner != nullptr) {
    auto* rr = ldns_rr_new();
    ldns_rr_set_question(rr, true);
    ldns_rr_set_owner(rr, owner);
    ldns_rr_set_type(rr, static_cast<ldns_rr_type>(q.type_number));
    ldns_rr_set_class(rr, static_cast<ldns_rr_class>(q.class_number));
    ldns_pkt_push_rr(p, LDNS_SECTION_QUESTION, rr);
  }
  if (q.edns) {
    ldns_pkt_set_edns_udp_size(p, kMaxReplyBytes);
    ldns_pkt_set_edns_extended_rcode(p, static_cast<std::uint8_t>(code >> 4));
  }
  add_records(p, LDNS_SECTION_ANSWER, reply.answers);
  add_records(p, LDNS_SECTION_AUTHORITY, reply.authority);
  add_records(p, LDNS_SECTION_ADDITIONAL, reply.additional);
  auto bytes = wire_of(p);
  if (bytes.size() <= max_bytes) return bytes;
  if (!reply.additional.empty())
    return serialize_reply(q, {reply.code, reply.answers, reply.authority, {}}, max_bytes);
  bytes = serialize_reply(q, {reply.code, {}, {}, {}}, ~std::size_t{});
  bytes[2] = static_cast<char>(bytes[2] | 0x02);  // truncated (TC): the client repeats the query over TCP
  return bytes;
}

}  // namespace walkpaddle::dns
