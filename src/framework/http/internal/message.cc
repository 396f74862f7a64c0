#include "framework/http/message.h"

#include <algorithm>
#include <cctype>

namespace catkinmoor::http {
namespace {

int HexValue(char digit) {
  if (digit >= '0' && digit <= '9') return digit - '0';
  if (digit >= 'a' && digit <= 'f') return digit - 'a' + 10;
  if (digit >= 'A' && digit <= 'F') return digit - 'A' + 10;
  return -1;
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool escaped = text[i] == '%' && i + 2 < text.size() && HexValue(text[i + 1]) >= 0 &&
                         HexValue(text[i + 2]) >= 0;
    if (escaped) {
      decoded.push_back(static_cast<char>(HexValue(text[i + 1]) * 16 + HexValue(text[i + 2])));
      i += 2;
    } else {
      decoded.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return decoded;
}

}  // namespace

bool case_insensitive_less::operator()(std::string_view left, std::string_view right) const {
  return std::lexicographical_compare(
      left.begin(), left.end(), right.begin(), right.end(),
      [](unsigned char a, unsigned char b) { return std::tolower(a) < std::tolower(b); });
}

std::string_view request::Path() const {
  return std::string_view(target).substr(0, target.find('?'));
}

std::optional<std::string> request::QueryParameter(std::string_view name) const {
  const auto question_mark = target.find('?');
  if (question_mark == std::string::npos) return std::nullopt;
  std::string_view rest = std::string_view(target).substr(question_mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) != name) continue;
    return equals == std::string_view::npos ? "" : PercentDecode(pair.substr(equals + 1));
  }
  return std::nullopt;
}

std::string_view HeaderValue(const header_map& headers, std::string_view name) {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

std::string PercentEncode(std::string_view text) {
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char each : text) {
    const auto byte = static_cast<unsigned char>(each);
    if (std::isalnum(byte) != 0 || each == '-' || each == '_' || each == '.' || each == '/') {
      encoded.push_back(each);
    } else {
      encoded += {'%', kDigits[byte >> 4U], kDigits[byte & 0xFU]};
    }
  }
  return encoded;
}

}  // namespace catkinmoor::http
