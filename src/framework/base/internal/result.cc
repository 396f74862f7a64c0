#include "framework/base/result.h"

namespace catkinmoor {

const char* ErrorKindName(error_kind kind) {
  switch (kind) {
    case error_kind::kInvalid:
      return "invalid";
    case error_kind::kNotFound:
      return "not-found";
    case error_kind::kConflict:
      return "conflict";
    case error_kind::kRefused:
      return "refused";
    case error_kind::kUnavailable:
      return "unavailable";
    case error_kind::kTimeout:
      return "timeout";
    case error_kind::kUndecided:
      return "undecided";
    case error_kind::kInternal:
      break;
  }
  return "internal";
}

std::string FormatError(const error& failure) {
  std::string text = failure.step;
  if (!failure.peer.empty()) text += " (" + failure.peer + ")";
  return text + ": " + failure.message;
}

}  // namespace catkinmoor
