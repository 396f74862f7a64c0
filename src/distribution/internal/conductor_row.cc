#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "distribution/rollout_controller.h"

namespace catkinmoor {
namespace {

namespace bj = boost::json;

std::string Text(const bj::object& from, const char* name) {
  const bj::value* value = from.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::uint64_t Count(const bj::object& from, const char* name) {
  const bj::value* value = from.if_contains(name);
  if (value == nullptr) return 0;
  bj::error_code failed;
  const auto number = value->to_number<std::uint64_t>(failed);
  return failed ? 0 : number;
}

milliseconds Duration(const bj::object& from, const char* name) {
  return milliseconds(static_cast<std::int64_t>(Count(from, name)));
}

}  // namespace

std::string SerializeConductorRow(const conductor_row& row) {
  const rollout_record& record = row.record;
  bj::array excluded;
  for (const std::string& each : record.excluded) excluded.push_back(bj::string(each));
  return bj::serialize(bj::object{{"vm", row.vm},
                                  {"epoch", row.epoch},
                                  {"service", record.order.service},
                                  {"order", record.order.number},
                                  {"target", record.order.target},
                                  {"duration_ms", record.order.duration.count()},
                                  {"phase", PhaseName(record.phase)},
                                  {"elapsed_ms", record.elapsed.count()},
                                  {"committed", record.committed},
                                  {"excluded", std::move(excluded)},
                                  {"reason", record.reason},
                                  {"status_written", row.status_written}});
}

std::optional<conductor_row> ParseConductorRow(std::string_view value) {
  bj::error_code failed;
  const bj::value parsed = bj::parse({value.data(), value.size()}, failed);
  const bj::object* object = failed ? nullptr : parsed.if_object();
  if (object == nullptr) return std::nullopt;
  const auto phase = ParsePhase(Text(*object, "phase"));
  conductor_row row;
  row.vm = Text(*object, "vm");
  row.epoch = Count(*object, "epoch");
  if (!phase || row.epoch == 0) return std::nullopt;
  rollout_record& record = row.record;
  record.order = {Text(*object, "service"), Count(*object, "order"), Text(*object, "target"),
                  Duration(*object, "duration_ms")};
  record.phase = *phase;
  record.elapsed = Duration(*object, "elapsed_ms");
  record.committed = Count(*object, "committed");
  record.reason = Text(*object, "reason");
  const bj::value* excluded = object->if_contains("excluded");
  if (excluded != nullptr && excluded->is_array()) {
    for (const bj::value& each : excluded->as_array()) {
      if (each.is_string()) record.excluded.emplace_back(each.as_string());
    }
  }
  const bj::value* written = object->if_contains("status_written");
  row.status_written = written != nullptr && written->is_bool() && written->as_bool();
  return row;
}

}  // namespace catkinmoor
