#include "routing/types.h"

namespace walkpaddle {

std::string_view to_string(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::served:
      return "completed";
    case AttemptOutcome::error:
      return "error";
    case AttemptOutcome::rejected:
      return "not_taken";
    case AttemptOutcome::timed_out:
      return "timed_out";
    case AttemptOutcome::unreachable:
      return "no_connection";
    case AttemptOutcome::connection_broken:
      return "broken";
    case AttemptOutcome::cancelled:
      return "called_off";
    case AttemptOutcome::not_sent:
      return "not_sent";
    case AttemptOutcome::not_cached:
      return "lacking";
    case AttemptOutcome::stale:
      return "too_old";
  }
  return "";
}

std::string_view to_string(ShedReason reason) {
  switch (reason) {
    case ShedReason::none:
      return "none";
    case ShedReason::deadline_exceeded:
      return "no_time";
    case ShedReason::attempts_used:
      return "attempts_used";
    case ShedReason::not_idempotent:
      return "may_not_repeat";
    case ShedReason::no_capacity:
      return "no_room";
  }
  return "";
}

}  // namespace walkpaddle
