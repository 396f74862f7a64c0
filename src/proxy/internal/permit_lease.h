#pragma once

#include "distribution/quota_controller.h"

namespace catkinmoor::proxy_internal {

/// The permit of a request. Settles it at the end of the request: used, unless the request is known
/// not to have run.
class permit_lease {
 public:
  permit_lease(quota_controller& quotas, permit taken)
      : quotas_(quotas), taken_(std::move(taken)) {}
  ~permit_lease() { quotas_.Settle(taken_, may_have_run_); }
  permit_lease(const permit_lease&) = delete;
  permit_lease& operator=(const permit_lease&) = delete;

  void MarkNotRun() { may_have_run_ = false; }

 private:
  quota_controller& quotas_;
  permit taken_;
  bool may_have_run_ = true;
};

}  // namespace catkinmoor::proxy_internal
