#include "framework/json/field_table.h"

#include <boost/json/array.hpp>
#include <cmath>
#include <sstream>

namespace catkinmoor::json::internal {
namespace {

constexpr double kUnbounded = std::numeric_limits<double>::infinity();

void CheckRange(double number, range bounds, const std::string& pointer, problems& found) {
  if (number >= bounds.min && number <= bounds.max) return;
  std::ostringstream message;
  message << "must be ";
  if (std::isfinite(bounds.min)) message << "at least " << bounds.min;
  if (std::isfinite(bounds.min) && std::isfinite(bounds.max)) message << " and ";
  if (std::isfinite(bounds.max)) message << "at most " << bounds.max;
  message << ", not " << number;
  AddProblem(found, pointer, message.str(), problem_kind::kOutOfRange);
}

}  // namespace

void ReadValue(const bj::value& from, const std::string& pointer, range bounds, std::string& to,
               problems& found) {
  const bj::string* text = from.if_string();
  if (text == nullptr) {
    AddProblem(found, pointer, "must be a string");
    return;
  }
  // For a string, the minimum of the range applies to its length; without one it may be empty.
  if (std::isfinite(bounds.min) && static_cast<double>(text->size()) < bounds.min) {
    AddProblem(found, pointer, "must not be empty", problem_kind::kOutOfRange);
  }
  to.assign(text->data(), text->size());
}

void ReadValue(const bj::value& from, const std::string& pointer, range, bool& to,
               problems& found) {
  if (!from.is_bool()) {
    AddProblem(found, pointer, "must be true or false");
    return;
  }
  to = from.as_bool();
}

void ReadValue(const bj::value& from, const std::string& pointer, range bounds, std::int64_t& to,
               problems& found) {
  bj::error_code failed;
  const auto number = from.to_number<std::int64_t>(failed);
  if (failed) {
    AddProblem(found, pointer, "must be an integer");
    return;
  }
  CheckRange(static_cast<double>(number), bounds, pointer, found);
  to = number;
}

void ReadValue(const bj::value& from, const std::string& pointer, range bounds, double& to,
               problems& found) {
  bj::error_code failed;
  const auto number = from.to_number<double>(failed);
  if (failed) {
    AddProblem(found, pointer, "must be a number");
    return;
  }
  CheckRange(number, bounds, pointer, found);
  to = number;
}

void ReadValue(const bj::value& from, const std::string& pointer, range bounds,
               std::chrono::milliseconds& to, problems& found) {
  std::int64_t count = to.count();
  ReadValue(from, pointer, bounds, count, found);
  to = std::chrono::milliseconds(count);
}

void ReadValue(const bj::value& from, const std::string& pointer, range,
               std::vector<std::string>& to, problems& found) {
  const bj::array* list = from.if_array();
  if (list == nullptr) {
    AddProblem(found, pointer, "must be an array of strings");
    return;
  }
  to.clear();
  for (std::size_t i = 0; i < list->size(); ++i) {
    std::string text;
    ReadValue((*list)[i], ChildPointer(pointer, std::to_string(i)), {1, kUnbounded}, text, found);
    to.push_back(std::move(text));
  }
}

void ReadValue(const bj::value& from, const std::string& pointer, range, string_map& to,
               problems& found) {
  const bj::object* object = from.if_object();
  if (object == nullptr) {
    AddProblem(found, pointer, "must be an object of strings");
    return;
  }
  to.clear();
  for (const auto& [key, value] : *object) {
    const std::string name(key.data(), key.size());
    std::string text;
    ReadValue(value, ChildPointer(pointer, name), {-kUnbounded, kUnbounded}, text, found);
    to.emplace(name, std::move(text));
  }
}

bj::value WriteValue(const std::string& from) { return bj::string(from); }
bj::value WriteValue(bool from) { return from; }
bj::value WriteValue(std::int64_t from) { return from; }
bj::value WriteValue(double from) { return from; }
bj::value WriteValue(std::chrono::milliseconds from) { return from.count(); }

bj::value WriteValue(const std::vector<std::string>& from) {
  bj::array list;
  for (const std::string& each : from) list.emplace_back(each);
  return list;
}

bj::value WriteValue(const string_map& from) {
  bj::object object;
  for (const auto& [key, value] : from) object[key] = value;
  return object;
}

}  // namespace catkinmoor::json::internal
