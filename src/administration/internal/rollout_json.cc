#include "administration/rollout_json.h"

#include <boost/json/array.hpp>

namespace catkinmoor {
namespace {

namespace bj = boost::json;

bj::object ShareToJson(const bad_share& share) {
  return {{"requests", share.requests}, {"bad", share.bad}};
}

}  // namespace

bj::object ToJson(const rollout_view& view) {
  const rollout_state& state = view.state;
  bj::array excluded;
  for (const std::string& each : state.excluded) excluded.push_back(bj::string(each));
  bj::array routes;
  for (const auto& [route, verdict] : Judge(view.evidence, view.evidence)) {
    if (route.empty()) continue;
    routes.push_back(bj::object{{"route", route},
                                {"target", ShareToJson(verdict.ordered)},
                                {"others", ShareToJson(verdict.others)}});
  }
  return {{"service", state.order.service},
          {"target", state.order.target},
          {"order", state.order.number},
          {"duration_ms", state.order.duration.count()},
          {"phase", PhaseName(state.phase)},
          {"share", state.share},
          {"reason", state.reason},
          {"conductor", state.conductor},
          {"epoch", state.epoch},
          {"heard_ms_ago", view.heard_ago.count()},
          {"excluded", std::move(excluded)},
          {"conducts", view.conducts},
          {"requests", view.requests},
          {"exposed", view.exposed},
          {"granted", view.granted},
          {"routes", std::move(routes)}};
}

}  // namespace catkinmoor
