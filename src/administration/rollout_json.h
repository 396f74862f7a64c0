#pragma once

#include <boost/json/object.hpp>

#include "distribution/rollout_controller.h"

namespace catkinmoor {

/// What a daemon knows of a rollout, as operators get it. The evidence is that of its conductor.
boost::json::object ToJson(const rollout_view& view);

}  // namespace catkinmoor
