#include "membership/failure_detector.h"

namespace catkinmoor {

failure_detector::failure_detector(std::string self, detector_settings settings)
    : self_(std::move(self)), settings_(settings) {}

member_ptr failure_detector::NextToProbe(const member_view& view, const std::string& data_centre) {
  const auto watched = Successors(view, data_centre, self_, settings_.watched_neighbours);
  if (watched.empty()) return nullptr;
  return watched[next_probe_++ % watched.size()];
}

std::vector<member_ptr> failure_detector::IndirectProbers(const member_view& view,
                                                          const member_record& probed,
                                                          std::size_t count) const {
  auto probers = Successors(view, probed.data_centre, probed.vm, count + 1);
  std::erase_if(probers, [&](const member_ptr& each) { return each->vm == self_; });
  if (probers.size() > count) probers.resize(count);
  return probers;
}

void failure_detector::OnProbeSucceeded(const std::string& vm) { suspicions_.erase(vm); }

std::vector<detector_verdict> failure_detector::OnProbeFailed(const member_record& member,
                                                              time_point now) {
  const bool already_suspected = suspicions_.contains(member.vm);
  OnSuspected(member, now);
  if (already_suspected || member.version.state != member_state::kAlive) return {};
  member_version suspected = member.version;
  suspected.state = member_state::kSuspect;
  return {{member.vm, suspected}};
}

void failure_detector::OnSuspected(const member_record& member, time_point now) {
  const auto found = suspicions_.find(member.vm);
  const bool is_newer =
      found == suspicions_.end() ||
      std::pair(found->second.version.incarnation, found->second.version.sequence) <
          std::pair(member.version.incarnation, member.version.sequence);
  if (is_newer) suspicions_[member.vm] = {member.version, now};
}

std::vector<detector_verdict> failure_detector::ExpireSuspicions(const member_table& table,
                                                                 time_point now) {
  std::vector<detector_verdict> verdicts;
  for (auto next = suspicions_.begin(); next != suspicions_.end();) {
    const member_ptr current = table.Find(next->first);
    const member_version& suspected = next->second.version;
    const bool refuted = current == nullptr || !IsPresent(*current) ||
                         std::pair(current->version.incarnation, current->version.sequence) >
                             std::pair(suspected.incarnation, suspected.sequence);
    if (refuted) {
      next = suspicions_.erase(next);
    } else if (now - next->second.since >= settings_.suspicion_timeout) {
      verdicts.push_back(
          {next->first, {suspected.incarnation, suspected.sequence, member_state::kDead}});
      next = suspicions_.erase(next);
    } else {
      ++next;
    }
  }
  return verdicts;
}

}  // namespace catkinmoor
