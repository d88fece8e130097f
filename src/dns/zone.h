// Names of a zone: what each stands for, and the records that every answer shares. No I/O.
//   OBJECT.RULE.ZONE   one object        RULE.ZONE   a rule as a whole
//   ID.boxes.ZONE      one member's own name, as an SRV record names it
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "dns/message.h"

namespace walkpaddle::dns {

class Zone {
 public:
  struct Setup {
    std::string name;    // lower case, without the last dot
    std::string server;  // of names, for NS and SOA
    Seconds use = 1;     // how long a client uses what it was told
    double txns = 1;     // that one answer leads to in that time
  };
  enum class Stands {
    apex,
    rule,
    object,
    member,
    above,
    nothing
  };  // above: between, without records of its own
  struct Meaning {
    Stands stands = Stands::nothing;
    int rule = -1;
    std::string text;  // object or member
  };

  Zone(const Setup& setup, std::vector<std::string> rules) : setup_(setup), rules_(std::move(rules)) {}
  const Setup& setup() const { return setup_; }
  bool holds(std::string_view name) const;
  Meaning meaning(std::string_view name) const;

  Reply none(Code code) const;  // nothing of that name or type, with what bounds how long that is believed
  Reply apex(Type type) const;
  // Answers for one member: an address, or an SRV record with the address beside it. The time to live is 0.
  Reply member(const Question& question, std::string_view id, std::uint32_t ip, std::uint16_t port) const;

 private:
  std::string soa() const;
  const Setup setup_;
  const std::vector<std::string> rules_;
};

}  // namespace walkpaddle::dns
