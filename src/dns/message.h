// Parses DNS queries and serialises replies, through ldns. All lengths in a query are checked before ldns
// sees it. No I/O. References: RFC 1035, 2181, 2308, 6891, 8482.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace walkpaddle::dns {

/// The record types that matter here.
enum class RecordType { a, aaaa, srv, soa, ns, any, other };
/// Response codes, with their numbers in the protocol.
enum class ResponseCode {
  no_error = 0,
  format_error = 1,
  server_failure = 2,
  name_error = 3,
  not_implemented = 4,
  refused = 5,
  bad_version = 16
};

/// The question of a query, with what the reply has to repeat.
struct Question {
  std::uint16_t id = 0;  ///< of the message
  /// The RD flag, whether the query has an EDNS record, and whether its class is IN.
  bool recursion_desired = false, edns = false, internet_class = true;
  std::size_t max_reply_bytes = 512;                ///< over UDP
  std::string name;                                 ///< in lower case, without the final dot
  RecordType type = RecordType::other;              ///< the record type asked for
  std::uint16_t type_number = 0, class_number = 1;  ///< type and class as numbers, for the reply
};

/// The result of parsing a message: its question, or the reply to send at once, or neither if the message is
/// to be ignored.
struct ParsedQuery {
  std::optional<Question> question;  ///< set if the query is valid
  std::string reply;                 ///< the serialised error reply; empty if there is none to send
};
/// Parses a message. A malformed or unsupported query gives the error reply; what is no query gives neither.
ParsedQuery parse_query(std::string_view bytes);

/// The content of a reply; the records are text in zone file format.
struct Reply {
  ResponseCode code = ResponseCode::no_error;               ///< of the header
  std::vector<std::string> answers, authority, additional;  ///< records by section
};
/// Serialises a reply of at most `max_bytes`. If it does not fit, the additional records are left out, and
/// then all records, with the truncation flag set. Empty if it cannot be serialised.
std::string serialize_reply(const Question& question, const Reply& reply, std::size_t max_bytes);

}  // namespace walkpaddle::dns
