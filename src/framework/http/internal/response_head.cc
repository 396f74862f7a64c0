#include "framework/http/response_head.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace catkinmoor::http {
namespace {

bool IsTokenCharacter(char each) {
  const auto byte = static_cast<unsigned char>(each);
  return byte < 0x80 && (std::isalnum(byte) != 0 ||
                         std::string_view("!#$%&'*+-.^_`|~").find(each) != std::string_view::npos);
}

/// Whether a byte may occur in a field value or a reason phrase.
bool IsTextCharacter(char each) {
  const auto byte = static_cast<unsigned char>(each);
  return byte == '\t' || (byte >= 0x20 && byte != 0x7F);
}

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(), [](unsigned char a, unsigned char b) {
           return std::tolower(a) == std::tolower(b);
         });
}

std::string_view Trim(std::string_view text) {
  const auto begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

bool IsDigits(std::string_view text) {
  return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

}  // namespace

response_head_check::state response_head_check::Check(std::string_view received) {
  for (;;) {
    const auto line_feed = received.find('\n', scanned_);
    if (line_feed == std::string_view::npos) {
      scanned_ = received.size();
      if (received.size() < max_bytes_) return state::kIncomplete;
      Refuse("the head is too long");
      return state::kRefused;
    }
    const std::string_view line = received.substr(line_start_, line_feed - line_start_);
    line_start_ = line_feed + 1;
    scanned_ = line_start_;
    if (line_start_ > max_bytes_) {
      Refuse("the head is too long");
      return state::kRefused;
    }
    const state checked = CheckLine(line);
    if (checked != state::kIncomplete) return checked;
  }
}

response_head_check::state response_head_check::CheckLine(std::string_view line) {
  if (line.empty() || line.back() != '\r') {
    Refuse("a line is not ended by CR LF");
    return state::kRefused;
  }
  line.remove_suffix(1);
  if (!has_status_line_) {
    has_status_line_ = true;
    return CheckStatusLine(line) ? state::kIncomplete : state::kRefused;
  }
  if (line.empty()) return CheckFraming() ? state::kComplete : state::kRefused;
  return CheckField(line) ? state::kIncomplete : state::kRefused;
}

bool response_head_check::CheckStatusLine(std::string_view line) {
  constexpr std::string_view kPrefix = "HTTP/1.";
  // "HTTP/1.x SSS " and a reason phrase, which may be empty.
  constexpr std::size_t kMinSize = 13;
  const bool is_status_line = line.size() >= kMinSize && line.starts_with(kPrefix) &&
                              (line[7] == '0' || line[7] == '1') && line[8] == ' ' &&
                              IsDigits(line.substr(9, 3)) && line[12] == ' ';
  if (!is_status_line) return Refuse("no HTTP/1 status line");
  is_http_10_ = line[7] == '0';
  std::from_chars(line.data() + 9, line.data() + 12, status_);
  if (status_ < 100 || status_ > 599) return Refuse("the status is not 100 to 599");
  if (status_ == 101) return Refuse("the protocol is switched without being asked");
  const std::string_view reason = line.substr(kMinSize);
  const bool is_text = std::all_of(reason.begin(), reason.end(), IsTextCharacter);
  return is_text || Refuse("control byte in the reason phrase");
}

bool response_head_check::CheckField(std::string_view line) {
  if (line.front() == ' ' || line.front() == '\t') return Refuse("a folded line");
  const auto colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  const bool is_token = colon != std::string_view::npos && !name.empty() &&
                        std::all_of(name.begin(), name.end(), IsTokenCharacter);
  if (!is_token) return Refuse("a field name is not a token");
  const std::string_view value = Trim(line.substr(colon + 1));
  const bool is_text = std::all_of(value.begin(), value.end(), IsTextCharacter);
  if (!is_text) return Refuse("control byte in a field value");
  if (EqualsIgnoringCase(name, "Content-Length")) {
    if (has_length_) return Refuse("more than one length");
    has_length_ = true;
    const char* end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, length_);
    const bool valid = IsDigits(value) && parsed.ec == std::errc() && parsed.ptr == end;
    return valid || Refuse("the length is not a number");
  }
  if (EqualsIgnoringCase(name, "Transfer-Encoding")) {
    const bool known = !is_chunked_ && EqualsIgnoringCase(value, "chunked");
    is_chunked_ = true;
    return known || Refuse("unknown transfer coding");
  }
  return true;
}

bool response_head_check::CheckFraming() {
  if (has_length_ && is_chunked_) return Refuse("a length together with chunked");
  if (is_chunked_ && is_http_10_) return Refuse("chunked in a response of HTTP/1.0");
  const bool bodyless = status_ < 200 || status_ == 204;
  const bool states_body = is_chunked_ || length_ > 0;
  return !(bodyless && states_body) || Refuse("a body where the status permits none");
}

bool response_head_check::Refuse(const char* problem) {
  problem_ = problem;
  return false;
}

connection_end HowEnded(int socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return connection_end::kUnknown;
  }
  // After an orderly close by the peer, the connection is half open until this side closes it.
  return info.tcpi_state == TCP_CLOSE ? connection_end::kReset : connection_end::kOrderly;
}

}  // namespace catkinmoor::http
