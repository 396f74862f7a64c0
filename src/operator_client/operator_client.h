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

/// The exit codes of the command line.
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

/// An answer of the administration interface.
struct operator_reply {
  unsigned status = 0;
  boost::json::value body;
};

/// The exit code that an answer's status stands for.
exit_code ExitCodeOf(const operator_reply& reply);

/// Talks to the administration interface of any daemon out of a list, the next one when one cannot
/// be reached. An edit is sent to another daemon with the same change id, so that it is accepted
/// once at most.
class operator_client {
 public:
  operator_client(std::vector<endpoint> daemons, std::string token, milliseconds timeout);

  result<operator_reply> Call(const std::string& method, const std::string& target,
                              const std::string& body = "");

 private:
  std::vector<endpoint> daemons_;
  std::string token_;
  milliseconds timeout_;
};

/// Lines of two texts side by side: "-" only in the first, "+" only in the second, " " in both.
std::string DiffLines(const std::string& left, const std::string& right);

}  // namespace catkinmoor
