// The names of a zone and the records of the replies. No I/O.
//   OBJECT.CLASS.ZONE  an object of a request class
//   CLASS.ZONE         a request class as a whole
//   ID.boxes.ZONE      an endpoint, as named by the target of an SRV record
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "dns/message.h"

namespace walkpaddle::dns {

/// The zone that the router is authoritative for.
class Zone {
 public:
  /// Settings of the zone.
  struct Setup {
    std::string name;                ///< in lower case, without the final dot
    std::string server;              ///< name server, for the NS and SOA records
    Seconds use_time = 1;            ///< how long a client uses an answer
    double requests_per_answer = 1;  ///< that one answer leads to in that time
  };
  /// What a name stands for. `empty_non_terminal`: a name above others, without records of its own.
  enum class NameKind { apex, request_class, object, endpoint, empty_non_terminal, none };
  /// A name of the zone, resolved.
  struct ResolvedName {
    NameKind kind = NameKind::none;  ///< what the name stands for
    int request_class = -1;          ///< index; -1 for names of other kinds
    std::string id;                  ///< object name or endpoint id; empty for names of other kinds
  };

  /// `request_classes`: their names, by index.
  Zone(const Setup& setup, std::vector<std::string> request_classes)
      : setup_(setup), request_classes_(std::move(request_classes)) {}
  const Setup& setup() const { return setup_; }
  /// Whether `name` is the zone or a name in it.
  bool contains(std::string_view name) const;
  /// What a name that contains() accepts stands for.
  ResolvedName resolve(std::string_view name) const;

  /// A reply without records for a name or type that does not exist, with the SOA record that limits for how
  /// long it may be cached.
  Reply negative_reply(ResponseCode code) const;
  /// The reply for the name of the zone itself.
  Reply apex_reply(RecordType type) const;
  /// A reply that names one endpoint: an A record, or an SRV record with the A record of its target. The time
  /// to live is 0.
  Reply endpoint_reply(const Question& question, std::string_view id, std::uint32_t ip,
                       std::uint16_t port) const;

 private:
  std::string soa() const;
  const Setup setup_;
  const std::vector<std::string> request_classes_;
};

}  // namespace walkpaddle::dns
