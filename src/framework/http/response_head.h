#pragma once

#include <cstdint>
#include <string_view>

namespace catkinmoor::http {

/// Checks the head of a response strictly, as its bytes arrive. A head is refused if two readers
/// could understand it differently: its status must be 100 to 599, its field names must be tokens,
/// its lines must end with CR LF and must not be folded, control bytes are refused, and the length
/// of the body must be stated in one way only or not at all.
class response_head_check {
 public:
  explicit response_head_check(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  enum class state { kIncomplete, kComplete, kRefused };

  /// Continues with all bytes received since the start of the head; bytes that were passed before
  /// must be unchanged.
  state Check(std::string_view received);

  /// Size of a complete head, with the empty line that ends it.
  std::size_t Bytes() const { return line_start_; }

  /// Status of a complete head.
  unsigned Status() const { return status_; }

  /// Why the head was refused.
  const char* Problem() const { return problem_; }

 private:
  state CheckLine(std::string_view line);
  bool CheckStatusLine(std::string_view line);
  bool CheckField(std::string_view line);
  bool CheckFraming();
  bool Refuse(const char* problem);

  std::size_t max_bytes_;
  std::size_t line_start_ = 0;
  std::size_t scanned_ = 0;
  bool has_status_line_ = false;
  bool is_http_10_ = false;
  bool has_length_ = false;
  bool is_chunked_ = false;
  std::uint64_t length_ = 0;
  unsigned status_ = 0;
  const char* problem_ = "";
};

/// How a connection that was read to its end has ended.
enum class connection_end { kOrderly, kReset, kUnknown };

/// Looks up, after the end of a connection was read, whether its peer closed it in an orderly way.
/// A reset whose error a failed write has already returned is followed by a plain end of the
/// connection, so the end alone does not tell. The result is kUnknown where the system does not
/// offer the state.
connection_end HowEnded(int socket);

}  // namespace catkinmoor::http
