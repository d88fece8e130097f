/// \file
/// Accepts the connections of one listener without keeping other tasks waiting.
#pragma once

#include <functional>

#include "io/fd.h"
#include "io/listener.h"
#include "io/scheduler.h"
#include "io/task.h"
#include "io/turn_budget.h"

namespace walkpaddle {

/// Accepts connections until the listener is closed, for a TimeSlice at a time, and passes each to
/// `accepted`. While no descriptor is free it pauses. Scheduler, listener and budget must outlive the task.
Task accept_connections(Scheduler& scheduler, Listener& listener, TurnBudget& busy_tasks,
                        std::function<void(Fd)> accepted);

}  // namespace walkpaddle
