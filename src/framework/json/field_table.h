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

/// Text values by name.
using text_map = std::map<std::string, std::string>;

/// Reads and writes a member that is no plain value.
template <typename T>
struct custom_member {
  void (*read)(const bj::value&, const std::string& place, T&, problems&);
  bj::value (*write)(const T&);
};

template <typename T>
using member_pointer = std::variant<std::string T::*, bool T::*, std::int64_t T::*, double T::*,
                                    std::chrono::milliseconds T::*, std::vector<std::string> T::*,
                                    text_map T::*, custom_member<T>>;

/// One row of the table that binds an aggregate to JSON: the key, the member, the permitted range
/// and a sentence for the reference page.
template <typename T>
struct field {
  std::string_view name;
  member_pointer<T> member;
  std::string_view description;
  bool required = false;
  double least = -std::numeric_limits<double>::infinity();
  double most = std::numeric_limits<double>::infinity();
};

namespace internal {

/// Bounds of a number.
struct range {
  double least;
  double most;
};

void ReadValue(const bj::value& from, const std::string& place, range, std::string& to, problems&);
void ReadValue(const bj::value& from, const std::string& place, range, bool& to, problems&);
void ReadValue(const bj::value& from, const std::string& place, range, std::int64_t& to, problems&);
void ReadValue(const bj::value& from, const std::string& place, range, double& to, problems&);
void ReadValue(const bj::value& from, const std::string& place, range,
               std::chrono::milliseconds& to, problems&);
void ReadValue(const bj::value& from, const std::string& place, range, std::vector<std::string>& to,
               problems&);
void ReadValue(const bj::value& from, const std::string& place, range, text_map& to, problems&);

bj::value WriteValue(const std::string& from);
bj::value WriteValue(bool from);
bj::value WriteValue(std::int64_t from);
bj::value WriteValue(double from);
bj::value WriteValue(std::chrono::milliseconds from);
bj::value WriteValue(const std::vector<std::string>& from);
bj::value WriteValue(const text_map& from);

template <typename T>
void ReadMember(const field<T>& row, const bj::value& from, const std::string& place, T& to,
                problems& found) {
  std::visit(
      [&](const auto& member) {
        using kind = std::decay_t<decltype(member)>;
        if constexpr (std::is_same_v<kind, custom_member<T>>) {
          member.read(from, place, to, found);
        } else {
          ReadValue(from, place, range{row.least, row.most}, to.*member, found);
        }
      },
      row.member);
}

template <typename T>
bj::value WriteMember(const field<T>& row, const T& from) {
  return std::visit(
      [&](const auto& member) -> bj::value {
        using kind = std::decay_t<decltype(member)>;
        if constexpr (std::is_same_v<kind, custom_member<T>>) {
          return member.write(from);
        } else {
          return WriteValue(from.*member);
        }
      },
      row.member);
}

}  // namespace internal

/// Fills an aggregate from a JSON object. Unknown keys, wrong types, values out of range and
/// missing required keys are all reported; members without a key keep their defaults.
template <typename T>
void ReadObject(const bj::value& from, const std::string& place,
                std::type_identity_t<std::span<const field<T>>> table, T& to, problems& found) {
  const bj::object* object = from.if_object();
  if (object == nullptr) {
    Report(found, place, "must be an object");
    return;
  }
  for (const auto& [key, value] : *object) {
    const field<T>* match = nullptr;
    for (const field<T>& row : table) {
      if (row.name == std::string_view(key.data(), key.size())) match = &row;
    }
    const std::string child = Child(place, std::string_view(key.data(), key.size()));
    if (match == nullptr) {
      Report(found, child, "unknown field");
    } else {
      internal::ReadMember(*match, value, child, to, found);
    }
  }
  for (const field<T>& row : table) {
    if (row.required && !object->contains({row.name.data(), row.name.size()})) {
      Report(found, Child(place, row.name), "is required");
    }
  }
}

/// The JSON object of an aggregate, with every member of the table.
template <typename T>
bj::object WriteObject(const T& from, std::type_identity_t<std::span<const field<T>>> table) {
  bj::object object;
  for (const field<T>& row : table) {
    object[{row.name.data(), row.name.size()}] = internal::WriteMember(row, from);
  }
  return object;
}

/// Appends an aggregate for each element of a JSON array.
template <typename Item>
void ReadItems(const bj::value& from, const std::string& place,
               std::type_identity_t<std::span<const field<Item>>> table, std::vector<Item>& to,
               problems& found) {
  const bj::array* list = from.if_array();
  if (list == nullptr) {
    Report(found, place, "must be an array");
    return;
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    Item item;
    ReadObject<Item>((*list)[i], Child(place, std::to_string(i)), table, item, found);
    to.push_back(std::move(item));
  }
}

/// The JSON array of a list of aggregates.
template <typename Item>
bj::value WriteItems(const std::vector<Item>& from,
                     std::type_identity_t<std::span<const field<Item>>> table) {
  bj::array list;
  for (const Item& each : from) list.push_back(WriteObject<Item>(each, table));
  return list;
}

/// The JSON object of an aggregate, with the required members and those that differ from their
/// defaults.
template <typename T>
bj::object WriteChanged(const T& from, std::type_identity_t<std::span<const field<T>>> table) {
  const T defaults;
  bj::object object;
  for (const field<T>& row : table) {
    bj::value value = internal::WriteMember(row, from);
    if (!row.required && value == internal::WriteMember(row, defaults)) continue;
    object[{row.name.data(), row.name.size()}] = std::move(value);
  }
  return object;
}

/// The JSON array of a list of aggregates, without members that have their defaults.
template <typename Item>
bj::value WriteChangedItems(const std::vector<Item>& from,
                            std::type_identity_t<std::span<const field<Item>>> table) {
  bj::array list;
  for (const Item& each : from) list.push_back(WriteChanged<Item>(each, table));
  return list;
}

}  // namespace catkinmoor::json
