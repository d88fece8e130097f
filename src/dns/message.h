// DNS messages by ldns: queries read with every length checked first, answers written. No I/O.
// Sources: RFC 1035, 2181, 2308, 6891, 8482.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace walkpaddle::dns {

enum class Type { a, aaaa, srv, soa, ns, any, other };
enum class Code {
  good = 0,
  malformed = 1,
  failed = 2,
  no_name = 3,
  unknown = 4,
  refused = 5,
  bad_version = 16
};

struct Question {
  std::uint16_t id = 0;
  bool recursion = false, edns = false, internet = true;
  std::size_t size = 512;  // that an answer over UDP may have
  std::string name;        // lower case, without the last dot
  Type type = Type::other;
  std::uint16_t type_number = 0, class_number = 1;
};

// What came of a message: a question, or what is to be answered at once; neither: it is dropped.
struct Read {
  std::optional<Question> question;
  std::string reply;
};
Read read_query(std::string_view bytes);

// Records as text in the form of a zone file; what does not fit `size` goes out empty and marked as cut.
struct Reply {
  Code code = Code::good;
  std::vector<std::string> answers, authority, more;
};
std::string reply_bytes(const Question& question, const Reply& reply, std::size_t size);

}  // namespace walkpaddle::dns
