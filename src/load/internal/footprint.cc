#include "load/footprint.h"

#include <malloc.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <random>

#include "distribution/document_board.h"
#include "distribution/spread_plan.h"
#include "framework/base/clock.h"
#include "framework/base/digest.h"
#include "membership/member_table.h"
#include "routing/target_selector.h"

namespace catkinmoor {
namespace {

constexpr int kIterations = 50;

double HeapBytes() { return static_cast<double>(::mallinfo2().uordblks); }

std::string ServiceName(std::int64_t number) { return "service-" + std::to_string(number); }

member_record MakeMember(const footprint_settings& settings, std::int64_t number) {
  const std::int64_t data_centre = number % settings.data_centres;
  const std::int64_t region = data_centre % settings.regions;
  member_record member;
  member.vm = "vm-" + std::to_string(number);
  member.region = "region-" + std::to_string(region);
  member.data_centre = "data-centre-" + std::to_string(data_centre);
  member.gate = {"10.1.2." + std::to_string(number % 250), 9001};
  member.control = {"10.1.2." + std::to_string(number % 250), 9002};
  member.version = {static_cast<std::uint64_t>(number) + 1, 1, member_state::kAlive};
  member.target = target_announcement{ServiceName(number % settings.documents),
                                      RandomId(),
                                      {{"track", "stable"}, {"release", "42"}},
                                      target_state::kReady,
                                      10,
                                      130,
                                      0};
  return member;
}

document_version MakeDocument(std::int64_t number) {
  std::string routes;
  for (int i = 0; i < 8; ++i) {
    routes += (i == 0 ? "" : ",") + std::string(R"({"name": "route-)") + std::to_string(i) +
              R"(", "match": {"methods": ["GET"], "prefix": "/part-)" + std::to_string(i) +
              R"("}, "class": "browse", "repeatable": true, "deadline_ms": 3000, "attempts": 3})";
  }
  const std::string text = R"({"schema": 1, "service": ")" + ServiceName(number) +
                           R"(", "owner": "team", "routes": [)" + routes + "]}";
  return {ServiceName(number), 1, static_cast<std::uint64_t>(number) + 1, Sha256Hex(text), text};
}

/// Mean time of one call in microseconds.
template <typename Work>
double MeanMicroseconds(int iterations, Work&& work) {
  const time_point start = Now();
  for (int i = 0; i < iterations; ++i) work(i);
  return std::chrono::duration<double, std::micro>(Now() - start).count() / iterations;
}

}  // namespace

footprint_report MeasureFootprint(const footprint_settings& settings) {
  footprint_report report;
  member_table members;
  document_board documents;
  const double initial_bytes = HeapBytes();
  report.merge_us = MeanMicroseconds(static_cast<int>(settings.members),
                                     [&](int i) { members.Merge(MakeMember(settings, i)); });
  const auto view = members.View();
  const double bytes_with_members = HeapBytes();
  report.offer_us = MeanMicroseconds(static_cast<int>(settings.documents),
                                     [&](int i) { documents.Offer(MakeDocument(i), true); });
  report.member_bytes =
      (bytes_with_members - initial_bytes) / static_cast<double>(settings.members);
  report.document_bytes =
      (HeapBytes() - bytes_with_members) / static_cast<double>(settings.documents);
  report.view_us = MeanMicroseconds(kIterations, [&](int i) {
    member_record changed = MakeMember(settings, i);
    changed.version.sequence = static_cast<std::uint64_t>(i) + 2;
    members.Merge(changed);
    members.View();
  });
  const member_record self = MakeMember(settings, 0);
  const spread_scope all_regions{spread_range::kFleet, ""};
  report.plan_us =
      MeanMicroseconds(kIterations, [&](int) { PlanSpread(*members.View(), self, all_regions); });
  load_board loads;
  std::mt19937_64 random(1);
  const auto in_force = documents.InForce(ServiceName(0));
  const selection_context context{self.vm, self.region, self.data_centre, {}, Now(), 0};
  report.pick_us = MeanMicroseconds(kIterations * 100, [&](int) {
    const auto eligible = EligibleTargets(in_force->content, {}, members.TargetsOf(ServiceName(0)));
    PickTarget(eligible, in_force->content, in_force->content.routes.front(), context, loads,
               random);
  });
  return report;
}

std::string FormatReport(const footprint_settings& settings, const footprint_report& report) {
  return boost::json::serialize(boost::json::object{{"members", settings.members},
                                                    {"documents", settings.documents},
                                                    {"member_bytes", report.member_bytes},
                                                    {"document_bytes", report.document_bytes},
                                                    {"merge_us", report.merge_us},
                                                    {"offer_us", report.offer_us},
                                                    {"view_us", report.view_us},
                                                    {"plan_us", report.plan_us},
                                                    {"pick_us", report.pick_us}});
}

}  // namespace catkinmoor
