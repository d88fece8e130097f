#include "cli/optional_listeners.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "config/platform_config.h"
#include "dns/dns_server.h"

namespace walkpaddle::cli {

void add_optional_listeners(server::Server& server, const config::OperatorConfig& operator_config) {
  const auto& options = operator_config.dns;
  if (!options.enabled) return;
  const auto context = server.listener_context();
  std::vector<std::string> class_names;
  for (const auto& request_class : config::request_class_names(context.settings))
    class_names.push_back(request_class.name);
  dns::Zone zone({options.zone, options.server, options.time_to_live, options.requests_per_answer},
                 std::move(class_names));
  server.add_listener(std::make_shared<dns::DnsServer>(context.scheduler, context.outbox, context.log,
                                                       context.dispatcher, context.upstream, std::move(zone),
                                                       parse_address(options.listen)));
}

}  // namespace walkpaddle::cli
