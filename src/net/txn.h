// The life of one txn, from taken to answered.
#pragma once

#include <memory>

#include "net/caches.h"
#include "net/clients.h"
#include "net/desk.h"

namespace walkpaddle::net {

Task serve(Scheduler& scheduler, Log& log, Desk& desk, Caches& caches, std::shared_ptr<Client> client,
           Order order,
           double bytes_a_second);  // of one transfer, 0 if not told

}  // namespace walkpaddle::net
