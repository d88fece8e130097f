// The door of lookups: every cut and every turned bit of queries, names that loop, counts that lie. One line
// each.
#include <cstdio>
#include <string>
#include <vector>

#include "dns/message.h"
#include "dns/zone.h"

using namespace walkpaddle::dns;

namespace {

bool all_good = true;

void say(const char* what, bool good) {
  std::printf("%s: %s\n", what, good ? "holds" : "BROKEN");
  all_good = all_good && good;
}

std::string query(const std::vector<std::string>& labels, int type, bool edns) {
  std::string q("\x12\x34\x01\x00\x00\x01\x00\x00\x00\x00\x00", 11);
  q += static_cast<char>(edns ? 1 : 0);
  for (const auto& l : labels) q += static_cast<char>(l.size()) + l;
  q += std::string("\0\0", 2) + static_cast<char>(type) + std::string("\0\x01", 2);
  if (edns) q += std::string("\0\0\x29\x10\0\0\0\0\0\0\0", 11);
  return q;
}

// What is answered at once is an answer to that id, and never longer than it should be.
bool bounded(const std::string& bytes) {
  const auto [question, reply] = read_query(bytes);
  if (question && question->name.size() > 255) return false;
  if (reply.empty()) return true;
  return reply.size() >= 12 && reply.size() <= 512 && reply.substr(0, 2) == bytes.substr(0, 2) &&
         (reply[2] & 0x80) != 0;
}

}  // namespace

int main() {
  const auto plain = query({"00000000000000aa", "page", "z", "example"}, 33, false);
  const auto large = query({"00000000000000AA", "page", "z", "example"}, 1, true);
  const auto read = read_query(plain), with = read_query(large);
  say("a query reads as it was asked",
      read.question && read.question->name == "00000000000000aa.page.z.example" &&
          read.question->type == Type::srv && read.question->size == 512 && !read.question->edns);
  say("larger answers are asked for, names are folded",
      with.question && with.question->size == 1232 && with.question->edns &&
          with.question->name == "00000000000000aa.page.z.example");
  bool cut = true, turned = true;
  for (const auto& q : {plain, large}) {
    for (std::size_t size = 0; size < q.size(); ++size) {
      const auto part = read_query(q.substr(0, size));
      cut = cut && !part.question && bounded(q.substr(0, size));
    }
    for (std::size_t bit = 0; bit < 8 * q.size(); ++bit) {
      auto other = q;
      other[bit / 8] = static_cast<char>(other[bit / 8] ^ 1 << bit % 8);
      turned = turned && bounded(other);
    }
  }
  say("cut at any byte it is no question", cut);
  say("with any bit turned the answer is bounded", turned);
  auto loop = plain;
  loop[12] = static_cast<char>(0xc0), loop[13] = 12;
  say("a name that points at itself is malformed", !read_query(loop).question && bounded(loop));
  say("a name that runs out of the message is malformed",
      !read_query(plain.substr(0, 12) + std::string(60, '\x3f')).question);
  auto answer = plain;
  answer[2] = static_cast<char>(0x81);
  say("an answer is not answered", !read_query(answer).question && read_query(answer).reply.empty());
  auto version = large;
  version[version.size() - 5] = 1;
  say("another version of the extension is told so",
      !read_query(version).question && read_query(version).reply.size() > 12);
  Reply many;
  for (int n = 0; n < 60; ++n)
    many.answers.push_back("00000000000000aa.page.z.example. 0 IN A 127.0.0." + std::to_string(n));
  const auto full = reply_bytes(*read.question, many, 65535), small = reply_bytes(*read.question, many, 512);
  say("an answer past the size is marked as cut",
      full.size() > 512 && small.size() <= 512 && (small[2] & 2) != 0 && (full[2] & 2) == 0);
  const Zone zone({"z.example", "ns.z.example", 1, 1}, {"page"});
  using Stands = Zone::Stands;
  say("names mean what they should",
      zone.meaning("00000000000000aa.page.z.example").stands == Stands::object &&
          zone.meaning("page.z.example").stands == Stands::rule &&
          zone.meaning("0aa.page.z.example").stands == Stands::nothing &&
          zone.meaning("a.b.boxes.z.example").stands == Stands::nothing &&
          zone.meaning("z.example").stands == Stands::apex && !zone.holds("az.example") &&
          !zone.holds("example"));
  return all_good ? 0 : 1;
}
