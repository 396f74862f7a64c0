#include "proxy/internal/entry/response_order.h"

namespace catkinmoor::proxy_internal {

response_order::ticket response_order::Add(std::size_t bytes) {
  unanswered_.emplace(next_, bytes);
  bytes_ += bytes;
  return next_++;
}

void response_order::Finish(ticket finished, bool keep_open) {
  const auto found = unanswered_.find(finished);
  if (found == unanswered_.end()) return;
  bytes_ -= found->second;
  unanswered_.erase(found);
  if (!keep_open) closed_ = true;
}

bool response_order::IsTurn(ticket request) const {
  return !closed_ && !unanswered_.empty() && unanswered_.begin()->first == request;
}

}  // namespace catkinmoor::proxy_internal
