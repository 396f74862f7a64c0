#pragma once

#include <list>
#include <memory>
#include <optional>

#include "proxy/internal/entry/caller_session.h"
#include "proxy/internal/entry_call.h"
#include "proxy/internal/version_evidence.h"
#include "routing/target_selector.h"

namespace catkinmoor::proxy_internal {

/// An attempt at a request, from the choice of its target. Several may be under way at a time: a
/// further one is started beside one whose response is in doubt.
struct dispatched_attempt {
  dispatched_attempt(std::shared_ptr<response_wait> response, target_load present_load,
                     version_router::attempt version_evidence)
      : wait(std::move(response)),
        load(std::move(present_load)),
        evidence(std::move(version_evidence)) {}

  const member_record& Target() const { return wait->target; }

  std::shared_ptr<response_wait> wait;
  /// The load that the choice of the target was based on.
  target_load load;
  time_point chosen_at = Now();
  version_router::attempt evidence;
  attempt_result result;
  bool ended = false;
  /// Whether the dispatcher has decided what follows from the doubt about the response.
  bool doubt_handled = false;
};

using dispatched_attempt_ptr = std::shared_ptr<dispatched_attempt>;

/// State of a request from its first attempt to its response.
struct dispatched_call {
  dispatched_call(entry_worker_state& entry_worker, caller_session& session,
                  request_parser& request, call_state& state, selection_context selection)
      : worker(entry_worker),
        caller(session),
        parser(request),
        call(state),
        context(std::move(selection)),
        changed(session.Caller().stream.get_executor(), time_point::max()) {}

  entry_worker_state& worker;
  caller_session& caller;
  request_parser& parser;
  call_state& call;
  selection_context context;
  attempt_state attempts{.attempts_made = 0};
  std::size_t crashes = 0;
  bool caller_left = false;
  /// An attempt that a target failed with a response of its own, kept in case no other succeeds.
  dispatched_attempt_ptr failed;
  /// The response if no attempt yields one.
  local_response fallback =
      NotRunResponse(503, "no-target", "pick target", "no target is available for this route");
  std::list<dispatched_attempt_ptr> running;
  /// Never expires; cancelled when an attempt ends or its response becomes doubtful.
  asio::steady_timer changed;
};

}  // namespace catkinmoor::proxy_internal
