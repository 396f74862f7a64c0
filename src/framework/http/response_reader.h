#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <string>

#include "framework/http/response_head.h"

namespace catkinmoor::http {

/// Result of reading the head of a response. A refused head has an error of the HTTP category and a
/// problem; any other error is one of the connection.
struct head_result {
  boost::beast::error_code failed;
  const char* problem = "";
  std::size_t bytes = 0;

  /// Why reading failed.
  std::string Message() const { return *problem == 0 ? failed.message() : problem; }
};

/// Interim (1xx) responses that are skipped before a final one. A server sends one or two; a
/// connection on which more arrive is given up.
inline constexpr int kMaxInterimResponses = 4;

/// Reads the head of a response after checking it, and leaves the parser at the start of the body.
/// Bytes behind the head stay in the buffer. Uses the timeout that is set on the stream.
template <typename Body>
boost::asio::awaitable<head_result> ReadResponseHead(
    boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
    boost::beast::http::response_parser<Body>& parser, std::size_t max_bytes) {
  constexpr auto kAwait = boost::asio::experimental::as_tuple(boost::asio::use_awaitable);
  constexpr std::size_t kReadBytes = 4U << 10U;
  head_result result;
  response_head_check check(max_bytes);
  for (;;) {
    const auto held = buffer.cdata();
    const auto state = check.Check({static_cast<const char*>(held.data()), held.size()});
    if (state == response_head_check::state::kComplete) break;
    if (state == response_head_check::state::kRefused) {
      result.failed = boost::beast::http::error::bad_value;
      result.problem = check.Problem();
      co_return result;
    }
    auto [failed, count] = co_await stream.async_read_some(buffer.prepare(kReadBytes), kAwait);
    result.bytes += count;
    if (failed) {
      const bool ended = failed == boost::asio::error::eof;
      result.failed = !ended ? failed
                      : held.size() == 0
                          ? make_error_code(boost::beast::http::error::end_of_stream)
                          : make_error_code(boost::beast::http::error::partial_message);
      co_return result;
    }
    buffer.commit(count);
  }
  const std::size_t consumed =
      parser.put(boost::asio::buffer(buffer.cdata(), check.Bytes()), result.failed);
  buffer.consume(consumed);
  // The parser knows every head that passes the check; a disagreement about its end must not pass.
  const bool agreed = !result.failed && parser.is_header_done() && consumed == check.Bytes();
  if (!agreed) {
    if (!result.failed) result.failed = boost::beast::http::error::bad_value;
    result.problem = "the head cannot be parsed";
  }
  co_return result;
}

}  // namespace catkinmoor::http
