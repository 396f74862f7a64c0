#include "framework/json/field_table.h"

#include <boost/json/array.hpp>
#include <cmath>
#include <sstream>

namespace catkinmoor::json::internal {
namespace {

constexpr double kUnbounded = std::numeric_limits<double>::infinity();

bool CheckRange(double number, range bounds, const std::string& place, problems& found) {
  if (number >= bounds.least && number <= bounds.most) return true;
  std::ostringstream message;
  message << "must be ";
  if (std::isfinite(bounds.least)) message << "at least " << bounds.least;
  if (std::isfinite(bounds.least) && std::isfinite(bounds.most)) message << " and ";
  if (std::isfinite(bounds.most)) message << "at most " << bounds.most;
  message << ", not " << number;
  Report(found, place, message.str());
  return false;
}

}  // namespace

void ReadValue(const bj::value& from, const std::string& place, range bounds, std::string& to,
               problems& found) {
  const bj::string* text = from.if_string();
  if (text == nullptr) {
    Report(found, place, "must be a string");
    return;
  }
  // The range of a string bounds its length; without one it may be empty.
  if (std::isfinite(bounds.least) && static_cast<double>(text->size()) < bounds.least) {
    Report(found, place, "must not be empty");
    return;
  }
  to.assign(text->data(), text->size());
}

void ReadValue(const bj::value& from, const std::string& place, range, bool& to, problems& found) {
  if (!from.is_bool()) {
    Report(found, place, "must be true or false");
    return;
  }
  to = from.as_bool();
}

void ReadValue(const bj::value& from, const std::string& place, range bounds, std::int64_t& to,
               problems& found) {
  bj::error_code failed;
  const auto number = from.to_number<std::int64_t>(failed);
  if (failed) {
    Report(found, place, "must be a whole number");
    return;
  }
  if (CheckRange(static_cast<double>(number), bounds, place, found)) to = number;
}

void ReadValue(const bj::value& from, const std::string& place, range bounds, double& to,
               problems& found) {
  bj::error_code failed;
  const auto number = from.to_number<double>(failed);
  if (failed) {
    Report(found, place, "must be a number");
    return;
  }
  if (CheckRange(number, bounds, place, found)) to = number;
}

void ReadValue(const bj::value& from, const std::string& place, range bounds,
               std::chrono::milliseconds& to, problems& found) {
  std::int64_t count = to.count();
  ReadValue(from, place, bounds, count, found);
  to = std::chrono::milliseconds(count);
}

void ReadValue(const bj::value& from, const std::string& place, range, std::vector<std::string>& to,
               problems& found) {
  const bj::array* list = from.if_array();
  if (list == nullptr) {
    Report(found, place, "must be an array of strings");
    return;
  }
  to.clear();
  for (std::size_t i = 0; i < list->size(); ++i) {
    std::string text;
    ReadValue((*list)[i], Child(place, std::to_string(i)), {1, kUnbounded}, text, found);
    to.push_back(std::move(text));
  }
}

void ReadValue(const bj::value& from, const std::string& place, range, text_map& to,
               problems& found) {
  const bj::object* object = from.if_object();
  if (object == nullptr) {
    Report(found, place, "must be an object of strings");
    return;
  }
  to.clear();
  for (const auto& [key, value] : *object) {
    const std::string name(key.data(), key.size());
    std::string text;
    ReadValue(value, Child(place, name), {-kUnbounded, kUnbounded}, text, found);
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

bj::value WriteValue(const text_map& from) {
  bj::object object;
  for (const auto& [key, value] : from) object[key] = value;
  return object;
}

}  // namespace catkinmoor::json::internal
