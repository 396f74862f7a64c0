#pragma once

#include <string>
#include <utility>
#include <variant>

namespace catkinmoor {

/// What sort of failure an error is; decides HTTP status and exit code.
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

/// The lower-case name of a kind, as it stands in JSON.
const char* KindName(error_kind kind);

/// A failure with the step at which it arose and the peer concerned. The peer is empty when the
/// failure is local.
struct error {
  error_kind kind = error_kind::kInternal;
  std::string step;
  std::string peer;
  std::string message;

  friend bool operator==(const error&, const error&) = default;
};

/// One line for people: step, peer and message.
std::string Describe(const error& failure);

/// Either a value or the error that took its place.
template <typename T>
using result = std::variant<T, error>;

/// The value of an operation that yields none.
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
