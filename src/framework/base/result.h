#pragma once

#include <string>
#include <utility>
#include <variant>

namespace catkinmoor {

/// Category of an error; determines the HTTP status and the exit code.
enum class error_kind {
  kInvalid,
  kNotFound,
  kConflict,
  kRefused,
  kUnavailable,
  kTimeout,
  kUndecided,
  kInternal,
};

/// The lower-case name of a kind, as written in JSON.
const char* ErrorKindName(error_kind kind);

/// A failure with the operation that failed (`step`) and the peer concerned. The peer is empty if
/// the failure is local.
struct error {
  error_kind kind = error_kind::kInternal;
  std::string step;
  std::string peer;
  std::string message;

  friend bool operator==(const error&, const error&) = default;
};

/// One line of readable text: step, peer and message.
std::string FormatError(const error& failure);

/// The value of an operation, or the error with which it failed.
template <typename T>
using result = std::variant<T, error>;

/// The result value of an operation that returns nothing.
struct done {
  friend bool operator==(const done&, const done&) = default;
};

template <typename T>
bool Ok(const result<T>& outcome) {
  return std::holds_alternative<T>(outcome);
}

template <typename T>
T& Value(result<T>& outcome) {
  return std::get<T>(outcome);
}

template <typename T>
const T& Value(const result<T>& outcome) {
  return std::get<T>(outcome);
}

template <typename T>
T&& Value(result<T>&& outcome) {
  return std::get<T>(std::move(outcome));
}

template <typename T>
const error& Failure(const result<T>& outcome) {
  return std::get<error>(outcome);
}

}  // namespace catkinmoor
