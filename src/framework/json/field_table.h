#pragma once

#include <boost/json/array.hpp>
#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "framework/json/reader.h"

namespace catkinmoor::json {

/// String values by key.
using string_map = std::map<std::string, std::string>;

/// Reads and writes a member that has no conversion in member_pointer.
template <typename T>
struct custom_member {
  void (*read)(const bj::value&, const std::string& pointer, T&, problems&);
  bj::value (*write)(const T&);
};

template <typename T>
using member_pointer = std::variant<std::string T::*, bool T::*, std::int64_t T::*, double T::*,
                                    std::chrono::milliseconds T::*, std::vector<std::string> T::*,
                                    string_map T::*, custom_member<T>>;

/// One row of the table that maps an aggregate to JSON: the key, the member, the permitted range
/// and a sentence for the settings reference.
template <typename T>
struct field {
  std::string_view name;
  member_pointer<T> member;
  std::string_view description;
  bool required = false;
  double min = -std::numeric_limits<double>::infinity();
  double max = std::numeric_limits<double>::infinity();
};

namespace internal {

/// Inclusive bounds of a number.
struct range {
  double min;
  double max;
};

void ReadValue(const bj::value& from, const std::string& pointer, range, std::string& to,
               problems&);
void ReadValue(const bj::value& from, const std::string& pointer, range, bool& to, problems&);
void ReadValue(const bj::value& from, const std::string& pointer, range, std::int64_t& to,
               problems&);
void ReadValue(const bj::value& from, const std::string& pointer, range, double& to, problems&);
void ReadValue(const bj::value& from, const std::string& pointer, range,
               std::chrono::milliseconds& to, problems&);
void ReadValue(const bj::value& from, const std::string& pointer, range,
               std::vector<std::string>& to, problems&);
void ReadValue(const bj::value& from, const std::string& pointer, range, string_map& to, problems&);

bj::value WriteValue(const std::string& from);
bj::value WriteValue(bool from);
bj::value WriteValue(std::int64_t from);
bj::value WriteValue(double from);
bj::value WriteValue(std::chrono::milliseconds from);
bj::value WriteValue(const std::vector<std::string>& from);
bj::value WriteValue(const string_map& from);

template <typename T>
void ReadMember(const field<T>& row, const bj::value& from, const std::string& pointer, T& to,
                problems& found) {
  std::visit(
      [&](const auto& member) {
        using member_type = std::decay_t<decltype(member)>;
        if constexpr (std::is_same_v<member_type, custom_member<T>>) {
          member.read(from, pointer, to, found);
        } else {
          ReadValue(from, pointer, range{row.min, row.max}, to.*member, found);
        }
      },
      row.member);
}

template <typename T>
bj::value WriteMember(const field<T>& row, const T& from) {
  return std::visit(
      [&](const auto& member) -> bj::value {
        using member_type = std::decay_t<decltype(member)>;
        if constexpr (std::is_same_v<member_type, custom_member<T>>) {
          return member.write(from);
        } else {
          return WriteValue(from.*member);
        }
      },
      row.member);
}

}  // namespace internal

/// Fills an aggregate from a JSON object. Unknown keys, wrong types, values out of range and
/// missing required keys are all reported; members whose key is absent keep their defaults. A value
/// out of range is stored as well, for callers to which the ranges do not apply.
template <typename T>
void ReadObject(const bj::value& from, const std::string& pointer,
                std::type_identity_t<std::span<const field<T>>> table, T& to, problems& found) {
  const bj::object* object = from.if_object();
  if (object == nullptr) {
    AddProblem(found, pointer, "must be an object");
    return;
  }
  for (const auto& [key, value] : *object) {
    const field<T>* match = nullptr;
    for (const field<T>& row : table) {
      if (row.name == std::string_view(key.data(), key.size())) match = &row;
    }
    const std::string child_pointer =
        ChildPointer(pointer, std::string_view(key.data(), key.size()));
    if (match == nullptr) {
      AddProblem(found, child_pointer, "unknown field");
    } else {
      internal::ReadMember(*match, value, child_pointer, to, found);
    }
  }
  for (const field<T>& row : table) {
    if (row.required && !object->contains({row.name.data(), row.name.size()})) {
      AddProblem(found, ChildPointer(pointer, row.name), "is required");
    }
  }
}

/// Converts an aggregate to a JSON object with every member of the table.
template <typename T>
bj::object WriteObject(const T& from, std::type_identity_t<std::span<const field<T>>> table) {
  bj::object object;
  for (const field<T>& row : table) {
    object[{row.name.data(), row.name.size()}] = internal::WriteMember(row, from);
  }
  return object;
}

/// Reads a JSON array and appends an aggregate for each element.
template <typename Item>
void ReadArray(const bj::value& from, const std::string& pointer,
               std::type_identity_t<std::span<const field<Item>>> table, std::vector<Item>& to,
               problems& found) {
  const bj::array* list = from.if_array();
  if (list == nullptr) {
    AddProblem(found, pointer, "must be an array");
    return;
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    Item item;
    ReadObject<Item>((*list)[i], ChildPointer(pointer, std::to_string(i)), table, item, found);
    to.push_back(std::move(item));
  }
}

/// Converts a list of aggregates to a JSON array.
template <typename Item>
bj::value WriteArray(const std::vector<Item>& from,
                     std::type_identity_t<std::span<const field<Item>>> table) {
  bj::array list;
  for (const Item& each : from) list.push_back(WriteObject<Item>(each, table));
  return list;
}

/// Converts an aggregate to a JSON object with the required members and those that differ from
/// their defaults.
template <typename T>
bj::object WriteNonDefaults(const T& from, std::type_identity_t<std::span<const field<T>>> table) {
  const T defaults;
  bj::object object;
  for (const field<T>& row : table) {
    bj::value value = internal::WriteMember(row, from);
    if (!row.required && value == internal::WriteMember(row, defaults)) continue;
    object[{row.name.data(), row.name.size()}] = std::move(value);
  }
  return object;
}

/// Converts a list of aggregates to a JSON array, leaving out optional members that have their
/// defaults.
template <typename Item>
bj::value WriteArrayOfNonDefaults(const std::vector<Item>& from,
                                  std::type_identity_t<std::span<const field<Item>>> table) {
  bj::array list;
  for (const Item& each : from) list.push_back(WriteNonDefaults<Item>(each, table));
  return list;
}

}  // namespace catkinmoor::json
