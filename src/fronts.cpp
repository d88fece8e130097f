#include "fronts.h"

#include "dns/front.h"

namespace walkpaddle {

void add_fronts(server::Server& server, const config::OperatorConfig& operators) {
  const auto& options = operators.dns;
  if (!options.enabled) return;
  const auto context = server.listener_context();
  std::vector<std::string> class_names;
  for (const auto& named : config::request_class_names(context.settings)) class_names.push_back(named.name);
  server.add_listener(std::make_shared<dns::Front>(
      context.scheduler, context.outbox, context.log, context.dispatcher, context.upstream,
      dns::Zone({options.zone, options.server, options.time_to_live, options.requests_per_answer},
                std::move(class_names)),
      parse_address(options.listen)));
}

}  // namespace walkpaddle
