/// \file
/// The life of one request, from its receipt to its answer.
#pragma once

#include <memory>

#include "io/log.h"
#include "io/scheduler.h"
#include "net/client_listener.h"
#include "net/request_dispatcher.h"
#include "net/upstream_pool.h"

namespace walkpaddle::net {

/// The task of one request: asks the policy, carries each decision out, and answers the client once. To be
/// started isolated (Scheduler::start_isolated): an exception that leaves it ends this request alone, which
/// is answered as failed all the same.
///
/// Lifetimes: the task holds the client's connection and the request until it ends; all that is taken by
/// reference outlives it. Its parts go in the order: attempt, answer owed, handle at the dispatcher, request,
/// connection. Threads: the scheduler's one thread.
///
/// `transfer_rate`: bytes a second of one transfer to a client, 0 if it is not told.
Task serve(Scheduler& scheduler, Log& log, RequestDispatcher& dispatcher, UpstreamPool& upstream,
           std::shared_ptr<ClientConnection> client, Request request, double transfer_rate);

}  // namespace walkpaddle::net
