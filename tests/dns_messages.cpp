// Parsing of DNS queries from untrusted clients: queries truncated at every byte and with every bit flipped,
// looping and overlong names. Prints one line per check.
#include <cstdio>
#include <string>
#include <vector>

#include "dns/message.h"
#include "dns/zone.h"

using namespace walkpaddle::dns;

namespace {

bool all_passed = true;

void expect(const char* what, bool passed) {
  std::printf("%s: %s\n", what, passed ? "ok" : "FAILED");
  all_passed = all_passed && passed;
}

std::string query(const std::vector<std::string>& labels, int type, bool edns) {
  std::string q("\x12\x34\x01\x00\x00\x01\x00\x00\x00\x00\x00", 11);
  q += static_cast<char>(edns ? 1 : 0);
  for (const auto& l : labels) q += static_cast<char>(l.size()) + l;
  q += std::string("\0\0", 2) + static_cast<char>(type) + std::string("\0\x01", 2);
  if (edns) q += std::string("\0\0\x29\x10\0\0\0\0\0\0\0", 11);
  return q;
}

// Whether the immediate reply, if there is one, is a reply with the id of the query and of 12 to 512 bytes.
bool is_reply_bounded(const std::string& bytes) {
  const auto [question, reply] = parse_query(bytes);
  if (question && question->name.size() > 255) return false;
  if (reply.empty()) return true;
  return reply.size() >= 12 && reply.size() <= 512 && reply.substr(0, 2) == bytes.substr(0, 2) &&
         (reply[2] & 0x80) != 0;
}

}  // namespace

int main() {
  const auto plain = query({"00000000000000aa", "page", "z", "example"}, 33, false);
  const auto large = query({"00000000000000AA", "page", "z", "example"}, 1, true);
  const auto plain_query = parse_query(plain), large_query = parse_query(large);
  expect("a query is parsed with its name, type and reply size",
         plain_query.question && plain_query.question->name == "00000000000000aa.page.z.example" &&
             plain_query.question->type == RecordType::srv && plain_query.question->max_reply_bytes == 512 &&
             !plain_query.question->edns);
  expect("EDNS raises the reply size, names are lower-cased",
         large_query.question && large_query.question->max_reply_bytes == 1232 &&
             large_query.question->edns && large_query.question->name == "00000000000000aa.page.z.example");
  bool truncated_ok = true, flipped_ok = true;
  for (const auto& q : {plain, large}) {
    for (std::size_t size = 0; size < q.size(); ++size) {
      const auto part = parse_query(q.substr(0, size));
      truncated_ok = truncated_ok && !part.question && is_reply_bounded(q.substr(0, size));
    }
    for (std::size_t bit = 0; bit < 8 * q.size(); ++bit) {
      auto flipped = q;
      flipped[bit / 8] = static_cast<char>(flipped[bit / 8] ^ 1 << bit % 8);
      flipped_ok = flipped_ok && is_reply_bounded(flipped);
    }
  }
  expect("a query truncated at any byte is rejected", truncated_ok);
  expect("with any bit flipped the reply stays within its bounds", flipped_ok);
  auto loop = plain;
  loop[12] = static_cast<char>(0xc0), loop[13] = 12;
  expect("a name with a compression loop is malformed",
         !parse_query(loop).question && is_reply_bounded(loop));
  expect("a name that extends past the message is malformed",
         !parse_query(plain.substr(0, 12) + std::string(60, '\x3f')).question);
  auto reply = plain;
  reply[2] = static_cast<char>(0x81);
  expect("a reply is not answered", !parse_query(reply).question && parse_query(reply).reply.empty());
  auto other_version = large;
  other_version[other_version.size() - 5] = 1;
  expect("another EDNS version gets an error reply",
         !parse_query(other_version).question && parse_query(other_version).reply.size() > 12);
  Reply many;
  for (int n = 0; n < 60; ++n)
    many.answers.push_back("00000000000000aa.page.z.example. 0 IN A 127.0.0." + std::to_string(n));
  const auto full = serialize_reply(*plain_query.question, many, 65535),
             small = serialize_reply(*plain_query.question, many, 512);
  expect("a reply over the size limit is marked as truncated",
         full.size() > 512 && small.size() <= 512 && (small[2] & 2) != 0 && (full[2] & 2) == 0);
  const Zone zone({"z.example", "ns.z.example", 1, 1}, {"page"});
  using NameKind = Zone::NameKind;
  expect("names resolve to the kinds that they stand for",
         zone.resolve("00000000000000aa.page.z.example").kind == NameKind::object &&
             zone.resolve("page.z.example").kind == NameKind::request_class &&
             zone.resolve("0aa.page.z.example").kind == NameKind::none &&
             zone.resolve("a.b.boxes.z.example").kind == NameKind::none &&
             zone.resolve("z.example").kind == NameKind::apex && !zone.contains("az.example") &&
             !zone.contains("example"));
  return all_passed ? 0 : 1;
}
