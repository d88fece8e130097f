#include "fronts.h"

#include "dns/front.h"

namespace walkpaddle {

void add_fronts(net::Router& router, const control::File& operators) {
  if (const auto& d = operators.dns; d.on)
    router.add([&](const net::Router::Parts& p) {
      std::vector<std::string> rules;
      for (const auto& rule : net::request_class_names(p.settings)) rules.push_back(rule.name);
      return std::make_shared<dns::Front>(p.scheduler, p.outbox, p.log, p.dispatcher, p.caches,
                                          dns::Zone({d.zone, d.server, d.use, d.txns}, std::move(rules)),
                                          parse_address(d.listen));
    });
}

}  // namespace walkpaddle
