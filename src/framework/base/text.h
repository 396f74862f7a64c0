#pragma once

#include <string>
#include <string_view>

namespace catkinmoor {

/// Converts ASCII letters to lower case, the form in which host names are compared.
inline std::string LowerCase(std::string_view text) {
  std::string lower(text);
  for (char& each : lower) {
    if (each >= 'A' && each <= 'Z') each = static_cast<char>(each - 'A' + 'a');
  }
  return lower;
}

}  // namespace catkinmoor
