// The life of one txn, from taken to answered.
#pragma once

#include <memory>

#include "net/client_listener.h"
#include "net/request_dispatcher.h"
#include "net/upstream_pool.h"

namespace walkpaddle::net {

Task serve(Scheduler& scheduler, Log& log, RequestDispatcher& dispatcher, UpstreamPool& caches,
           std::shared_ptr<ClientConnection> client, Request order,
           double bytes_a_second);  // of one transfer, 0 if not told

}  // namespace walkpaddle::net
