/// \file
/// The task that handles one request, from its receipt to its answer.
#pragma once

#include <memory>

#include "io/log.h"
#include "io/scheduler.h"
#include "net/client_listener.h"
#include "net/request_dispatcher.h"
#include "net/upstream_pool.h"

namespace walkpaddle::net {

/// Handles one request: carries out the policy's decisions and answers the client once. The task must be
/// started with Scheduler::start_isolated, so that an exception ends this request alone; the client still
/// gets the answer that its request failed.
///
/// Lifetimes: the task shares ownership of the client's connection and owns the request; the references that
/// it takes must outlive it. It is torn down in this order: attempt, answer that is still due, handle at the
/// dispatcher, request, connection. Threads: everything runs on the scheduler's one thread.
///
/// `transfer_rate`: bytes per second of one transfer to a client, 0 if unknown.
Task serve(Scheduler& scheduler, Log& log, RequestDispatcher& dispatcher, UpstreamPool& upstream,
           std::shared_ptr<ClientConnection> client, Request request, double transfer_rate);

}  // namespace walkpaddle::net
