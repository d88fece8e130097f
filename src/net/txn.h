// The life of one txn, from taken to answered.
#pragma once

#include <memory>

#include "net/caches.h"
#include "net/clients.h"
#include "net/desk.h"

namespace walkpaddle::net {

Task serve(Scheduler& scheduler, Desk& desk, Caches& caches, std::shared_ptr<Client> client, Order order);

}  // namespace walkpaddle::net
