#include "daemon/stale_report_filter.h"

#include <algorithm>

namespace catkinmoor {

bool stale_report_filter::HasDeparted(const report_version& report) const {
  return std::any_of(departed_starts_.begin(), departed_starts_.end(), [&](const auto& each) {
    return each.first == report.instance && report.start_ms <= each.second;
  });
}

bool stale_report_filter::IsStale(const report_version& report) const {
  if (HasDeparted(report)) return true;
  if (!latest_) return false;
  const bool both_set = report.start_ms != 0 && latest_->start_ms != 0;
  if (both_set && report.start_ms != latest_->start_ms) return report.start_ms < latest_->start_ms;
  return report.instance == latest_->instance && report.sequence < latest_->sequence;
}

bool stale_report_filter::Accept(const report_version& report) {
  if (IsStale(report)) return false;
  const bool new_instance = latest_ && latest_->instance != report.instance;
  if (new_instance) AddDeparted(latest_->instance, latest_->start_ms);
  latest_ = report;
  return true;
}

void stale_report_filter::MarkDeparted(const std::string& instance, std::uint64_t start_ms) {
  AddDeparted(instance, start_ms);
}

std::uint64_t stale_report_filter::StartTimeOf(const std::string& instance) const {
  return latest_ && latest_->instance == instance ? latest_->start_ms : 0;
}

void stale_report_filter::AddDeparted(const std::string& instance, std::uint64_t start_ms) {
  departed_starts_.emplace_back(instance, start_ms);
  if (departed_starts_.size() > kMaxDepartedStarts) departed_starts_.pop_front();
}

}  // namespace catkinmoor
