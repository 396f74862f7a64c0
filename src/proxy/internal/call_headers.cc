#include "proxy/internal/call_headers.h"

#include <charconv>
#include <cmath>
#include <string>

namespace catkinmoor::proxy_internal {
namespace {

/// Parses the number before the next comma and removes both from the list.
std::optional<std::uint32_t> ParseNextInteger(std::string_view& list) {
  const auto comma = list.find(',');
  const auto number = ParseInteger(list.substr(0, comma));
  list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
  if (!number || *number < 0 || *number > UINT32_MAX) return std::nullopt;
  return static_cast<std::uint32_t>(*number);
}

}  // namespace

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool valid = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  return valid ? std::optional(number) : std::nullopt;
}

std::optional<double> ParseDecimal(std::string_view text) {
  double number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number, std::chars_format::fixed);
  const bool valid =
      parsed.ec == std::errc() && parsed.ptr == end && std::isfinite(number) && number >= 0;
  return valid ? std::optional(number) : std::nullopt;
}

std::string FormatLoad(const reported_load& load) {
  std::string text = std::to_string(load.in_use) + "," + std::to_string(load.slots) + "," +
                     std::to_string(load.queued) + "," + std::to_string(load.service_ms);
  if (load.pace_percent == 0) return text;
  return text + "," + std::to_string(load.pace_percent) + "," + std::to_string(load.work_left_ms) +
         "," + std::to_string(load.work_ms);
}

std::optional<reported_load> ParseLoad(std::string_view text) {
  const auto in_use = ParseNextInteger(text);
  const auto slots = ParseNextInteger(text);
  const auto queued = ParseNextInteger(text);
  const auto service_ms = ParseNextInteger(text);
  if (!in_use || !slots || !queued || !service_ms) return std::nullopt;
  return reported_load{*in_use,
                       *slots,
                       *queued,
                       *service_ms,
                       ParseNextInteger(text).value_or(0),
                       ParseNextInteger(text).value_or(0),
                       ParseNextInteger(text).value_or(0)};
}

std::optional<target_load_report> ParseTargetLoad(std::string_view text, time_point received_at) {
  // Blanks around the numbers carry no meaning.
  std::string list(text);
  std::erase(list, ' ');
  std::string_view rest = list;
  const auto running = ParseNextInteger(rest);
  const auto waiting = ParseNextInteger(rest);
  const auto slots = ParseNextInteger(rest);
  if (!running || !waiting || !slots) return std::nullopt;
  return target_load_report{*running, *waiting, *slots, ParseNextInteger(rest), received_at};
}

}  // namespace catkinmoor::proxy_internal
