#include "daemon/report_order.h"

#include <algorithm>

namespace catkinmoor {

bool report_order::IsOutdated(const report_stamp& report) const {
  const bool departed = std::any_of(departed_.begin(), departed_.end(), [&](const auto& each) {
    return each.first == report.instance && report.born_ms <= each.second;
  });
  if (departed) return true;
  if (!last_) return false;
  const bool both_born = report.born_ms != 0 && last_->born_ms != 0;
  if (both_born && report.born_ms != last_->born_ms) return report.born_ms < last_->born_ms;
  return report.instance == last_->instance && report.sequence < last_->sequence;
}

bool report_order::Take(const report_stamp& report) {
  if (IsOutdated(report)) return false;
  const bool follows = last_ && last_->instance != report.instance;
  if (follows) Remember(last_->instance, last_->born_ms);
  last_ = report;
  return true;
}

void report_order::Depart(const std::string& instance, std::uint64_t born_ms) {
  Remember(instance, born_ms);
}

std::uint64_t report_order::BornOf(const std::string& instance) const {
  return last_ && last_->instance == instance ? last_->born_ms : 0;
}

void report_order::Remember(const std::string& instance, std::uint64_t born_ms) {
  departed_.emplace_back(instance, born_ms);
  if (departed_.size() > kRemembered) departed_.pop_front();
}

}  // namespace catkinmoor
