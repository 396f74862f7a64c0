#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "framework/base/clock.h"
#include "framework/base/endpoint.h"
#include "framework/base/result.h"
#include "framework/http/message.h"

namespace catkinmoor {

/// Exit codes of the command-line tool.
enum class exit_code {
  kOk = 0,
  kInternal = 1,
  kUsage = 2,
  kInvalid = 3,
  kConflict = 4,
  kUndecided = 5,
  kUnavailable = 6,
  kNotAllowed = 7,
  kTimeout = 8,
  kNotFound = 9,
};

/// A response of the administration interface.
struct operator_response {
  unsigned status = 0;
  boost::json::value body;
};

/// The exit code for a response.
exit_code ExitCodeOf(const operator_response& response);

/// Client of the administration interface. Sends a request to the daemons of a list in turn until
/// one responds. An edit carries the same change id in every attempt, so it is accepted at most
/// once.
class operator_client {
 public:
  operator_client(std::vector<endpoint> daemons, std::string token, milliseconds timeout);

  result<operator_response> Call(const std::string& method, const std::string& target,
                                 const std::string& body = "");

 private:
  std::vector<endpoint> daemons_;
  std::string token_;
  milliseconds timeout_;
};

/// Line-by-line difference of two texts. Lines only in the first are prefixed with "-", lines only
/// in the second with "+", and common lines with a space.
std::string DiffLines(const std::string& old_text, const std::string& new_text);

}  // namespace catkinmoor
