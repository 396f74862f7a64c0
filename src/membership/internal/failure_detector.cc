#include "membership/failure_detector.h"

namespace catkinmoor {

failure_detector::failure_detector(std::string self, detector_settings settings)
    : self_(std::move(self)), settings_(settings) {}

member_ptr failure_detector::NextToProbe(const member_view& view, const std::string& data_centre) {
  const auto watched = Successors(view, data_centre, self_, settings_.watched);
  if (watched.empty()) return nullptr;
  return watched[turn_++ % watched.size()];
}

std::vector<member_ptr> failure_detector::Helpers(const member_view& view,
                                                  const member_record& probed,
                                                  std::size_t count) const {
  auto helpers = Successors(view, probed.data_centre, probed.vm, count + 1);
  std::erase_if(helpers, [&](const member_ptr& each) { return each->vm == self_; });
  if (helpers.size() > count) helpers.resize(count);
  return helpers;
}

void failure_detector::OnAnswer(const std::string& vm) { suspicions_.erase(vm); }

std::vector<detector_verdict> failure_detector::OnNoAnswer(const member_record& member,
                                                           time_point now) {
  const bool known = suspicions_.contains(member.vm);
  OnSuspected(member, now);
  if (known || member.version.state != member_state::kAlive) return {};
  member_version about = member.version;
  about.state = member_state::kSuspect;
  return {{member.vm, about}};
}

void failure_detector::OnSuspected(const member_record& member, time_point now) {
  const auto found = suspicions_.find(member.vm);
  const bool newer = found == suspicions_.end() ||
                     std::pair(found->second.about.incarnation, found->second.about.sequence) <
                         std::pair(member.version.incarnation, member.version.sequence);
  if (newer) suspicions_[member.vm] = {member.version, now};
}

std::vector<detector_verdict> failure_detector::Expire(const member_table& table, time_point now) {
  std::vector<detector_verdict> verdicts;
  for (auto next = suspicions_.begin(); next != suspicions_.end();) {
    const member_ptr present = table.Find(next->first);
    const member_version& about = next->second.about;
    const bool refuted = present == nullptr || !IsPresent(*present) ||
                         std::pair(present->version.incarnation, present->version.sequence) >
                             std::pair(about.incarnation, about.sequence);
    if (refuted) {
      next = suspicions_.erase(next);
    } else if (now - next->second.since >= settings_.suspicion) {
      verdicts.push_back({next->first, {about.incarnation, about.sequence, member_state::kDead}});
      next = suspicions_.erase(next);
    } else {
      ++next;
    }
  }
  return verdicts;
}

}  // namespace catkinmoor
