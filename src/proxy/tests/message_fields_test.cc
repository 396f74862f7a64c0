// Which fields of a message each hop lets through. Guards against a field that a peer states or
// removes in a way that the hop does not look at (unasked-42).

#include "proxy/internal/wire/message_fields.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>

#include <criterion/criterion.h>

namespace {

namespace bhttp = boost::beast::http;

using catkinmoor::http_conventions;
using catkinmoor::proxy_internal::ParseBytes;
using catkinmoor::proxy_internal::RemoveCallerFields;
using catkinmoor::proxy_internal::RemoveRelayedFields;
using catkinmoor::proxy_internal::SingleValue;

http_conventions Conventions() {
  http_conventions conventions;
  conventions.deadline_header = "X-Deadline";
  conventions.instance_header = "X-Instance";
  conventions.caller_service_header = "X-Caller";
  conventions.not_executed_header = "X-Not-Run";
  conventions.success_proof_header = "X-Proof";
  conventions.limit_header = "X-Limit";
  conventions.load_header = "X-Load";
  conventions.leaving_header = "X-Leaving";
  conventions.key_header = "X-Key";
  conventions.key_scheme = "Bearer";
  conventions.workspace_header = "X-Workspace";
  return conventions;
}

/// The fields of a message with a body in chunks, after its whole body has been read.
bhttp::fields Receive(const std::string& head, const std::string& trailer) {
  bhttp::request_parser<bhttp::buffer_body> parser;
  const std::string text = "POST / HTTP/1.1\r\nHost: a\r\n" + head +
                           "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n" + trailer + "\r\n";
  boost::beast::error_code failed;
  boost::asio::const_buffer bytes = boost::asio::buffer(text);
  char body[16];
  while (!parser.is_done() && !failed) {
    parser.get().body().data = body;
    parser.get().body().size = sizeof(body);
    bytes += ParseBytes(parser, bytes, failed);
    if (failed == bhttp::error::need_buffer) failed = {};
  }
  cr_assert_not(failed, "%s", failed.message().c_str());
  return parser.get();
}

/// Where a field stands in a message.
enum class place {
  kHead,
  kTrailer,
  kListed,       ///< In the head, and Connection names it.
  kListedTwice,  ///< In the head, and the second of two Connection fields names it.
};

enum class hop {
  kFromCaller,  ///< The entry reads a request.
  kRelayed,     ///< The gate reads a request or a response, or the entry reads a response.
};

enum class outcome { kKept, kRemoved };

struct row {
  const char* field;
  place stands;
  hop at;
  outcome expected;
};

constexpr row kRows[] = {
    // Ordinary fields.
    {"X-Own", place::kHead, hop::kFromCaller, outcome::kKept},
    {"X-Own", place::kHead, hop::kRelayed, outcome::kKept},
    {"X-Own", place::kListed, hop::kFromCaller, outcome::kRemoved},
    {"X-Own", place::kListed, hop::kRelayed, outcome::kRemoved},
    {"X-Own", place::kListedTwice, hop::kFromCaller, outcome::kRemoved},
    {"X-Own", place::kListedTwice, hop::kRelayed, outcome::kRemoved},
    {"X-Own", place::kTrailer, hop::kFromCaller, outcome::kRemoved},
    {"X-Own", place::kTrailer, hop::kRelayed, outcome::kRemoved},
    // Fields that the daemons state to targets.
    {"X-Workspace", place::kHead, hop::kFromCaller, outcome::kRemoved},
    {"x-wORKSPACE", place::kHead, hop::kFromCaller, outcome::kRemoved},
    {"X-Workspace", place::kTrailer, hop::kFromCaller, outcome::kRemoved},
    {"X-Workspace", place::kListed, hop::kFromCaller, outcome::kRemoved},
    {"X-Workspace", place::kHead, hop::kRelayed, outcome::kKept},
    {"X-Workspace", place::kListed, hop::kRelayed, outcome::kKept},
    {"x-wORKSPACE", place::kListedTwice, hop::kRelayed, outcome::kKept},
    {"X-Workspace", place::kTrailer, hop::kRelayed, outcome::kRemoved},
    {"X-Caller", place::kHead, hop::kFromCaller, outcome::kRemoved},
    {"X-Caller", place::kTrailer, hop::kFromCaller, outcome::kRemoved},
    {"X-Instance", place::kHead, hop::kFromCaller, outcome::kRemoved},
    {"X-Instance", place::kTrailer, hop::kFromCaller, outcome::kRemoved},
    // Fields that identify or limit a request. The daemon reads them from callers.
    {"X-Request-Id", place::kHead, hop::kFromCaller, outcome::kKept},
    {"X-Request-Id", place::kListed, hop::kFromCaller, outcome::kKept},
    {"X-Request-Id", place::kListed, hop::kRelayed, outcome::kKept},
    {"X-Request-Id", place::kTrailer, hop::kFromCaller, outcome::kRemoved},
    {"X-Request-Id", place::kTrailer, hop::kRelayed, outcome::kRemoved},
    {"X-Deadline", place::kListed, hop::kFromCaller, outcome::kKept},
    {"X-Deadline", place::kTrailer, hop::kFromCaller, outcome::kRemoved},
    {"X-Key", place::kListed, hop::kFromCaller, outcome::kKept},
    {"X-Key", place::kTrailer, hop::kFromCaller, outcome::kRemoved},
    // Fields that frame or describe the content.
    {"Content-Type", place::kListed, hop::kFromCaller, outcome::kKept},
    {"content-type", place::kListedTwice, hop::kRelayed, outcome::kKept},
    {"Content-Encoding", place::kListed, hop::kRelayed, outcome::kKept},
    {"Content-Encoding", place::kTrailer, hop::kRelayed, outcome::kRemoved},
    {"Content-Range", place::kTrailer, hop::kRelayed, outcome::kRemoved},
    // Fields that targets state in responses.
    {"X-Proof", place::kListed, hop::kRelayed, outcome::kKept},
    {"X-Proof", place::kTrailer, hop::kRelayed, outcome::kRemoved},
    {"X-Not-Run", place::kListed, hop::kRelayed, outcome::kKept},
    {"X-Not-Run", place::kTrailer, hop::kRelayed, outcome::kRemoved},
    {"X-Limit", place::kListed, hop::kRelayed, outcome::kKept},
    {"X-Limit", place::kTrailer, hop::kRelayed, outcome::kRemoved},
    {"X-Load", place::kListed, hop::kRelayed, outcome::kKept},
    {"X-Load", place::kTrailer, hop::kRelayed, outcome::kRemoved},
    {"X-Leaving", place::kListed, hop::kRelayed, outcome::kKept},
    {"X-Leaving", place::kTrailer, hop::kRelayed, outcome::kRemoved},
    // Fields that daemons exchange.
    {"X-Catkinmoor-Attempt", place::kHead, hop::kFromCaller, outcome::kRemoved},
    {"x-CATKINMOOR-outcome", place::kHead, hop::kRelayed, outcome::kRemoved},
    {"X-Catkinmoor-Outcome", place::kTrailer, hop::kRelayed, outcome::kRemoved},
    {"X-Catkinmoor-Depth", place::kTrailer, hop::kFromCaller, outcome::kRemoved},
    // Fields of the connection.
    {"Keep-Alive", place::kHead, hop::kFromCaller, outcome::kRemoved},
    {"TE", place::kHead, hop::kRelayed, outcome::kRemoved},
    {"Trailer", place::kHead, hop::kFromCaller, outcome::kRemoved},
    {"Trailer", place::kHead, hop::kRelayed, outcome::kRemoved},
    {"Upgrade", place::kHead, hop::kRelayed, outcome::kRemoved},
    {"Proxy-Connection", place::kHead, hop::kFromCaller, outcome::kRemoved},
    {"Expect", place::kHead, hop::kFromCaller, outcome::kRemoved},
    {"Expect", place::kTrailer, hop::kFromCaller, outcome::kRemoved},
    {"Expect", place::kTrailer, hop::kRelayed, outcome::kRemoved},
};

bool IsLetThrough(const row& tested) {
  const std::string name = tested.field;
  const std::string line = name + ": v\r\n";
  std::string head = tested.stands == place::kTrailer ? "" : line;
  if (tested.stands == place::kListed) head += "Connection: close, " + name + "\r\n";
  if (tested.stands == place::kListedTwice) {
    head += "Connection: close\r\nConnection: " + name + "\r\n";
  }
  bhttp::fields fields = Receive(head, tested.stands == place::kTrailer ? line : "");
  if (tested.at == hop::kFromCaller) RemoveCallerFields(fields, Conventions());
  if (tested.at == hop::kRelayed) RemoveRelayedFields(fields, Conventions());
  cr_assert(fields.count("Host") == 1 && fields.count("Transfer-Encoding") == 1, "%s",
            tested.field);
  cr_assert(fields.find(bhttp::field::connection) == fields.end());
  return fields.count(name) > 0;
}

}  // namespace

Test(message_fields, at_each_hop_are_kept_or_removed_as_in_the_table) {
  for (std::size_t i = 0; i < std::size(kRows); ++i) {
    const bool is_kept = IsLetThrough(kRows[i]);
    cr_expect(is_kept == (kRows[i].expected == outcome::kKept), "row %zu, %s", i, kRows[i].field);
  }
}

Test(message_fields, that_frame_the_message_are_kept_when_connection_lists_them) {
  for (const char* name : {"Host", "Transfer-Encoding", "host", "TRANSFER-ENCODING"}) {
    bhttp::fields fields = Receive(std::string("Connection: ") + name + "\r\n", "");
    RemoveCallerFields(fields, Conventions());
    cr_assert(fields.count(name) == 1, "%s", name);
  }
  bhttp::fields fields;
  fields.set(bhttp::field::content_length, "5");
  fields.set(bhttp::field::connection, "Content-Length");
  RemoveRelayedFields(fields, Conventions());
  cr_assert_eq(fields.count(bhttp::field::content_length), 1U);
}

// Parsers may join a folded line to the value before it; it never becomes a field of its own.
Test(message_fields, on_a_folded_line_are_part_of_the_value_before_it) {
  const bhttp::fields fields = Receive("X-Own: a\r\n X-Workspace: beta\r\n", "");
  cr_assert_eq(fields.count("X-Workspace"), 0U);
}

Test(message_fields, that_are_repeated_have_no_single_value) {
  const bhttp::fields fields = Receive("X-One: 1\r\nX-Two: 1\r\nx-TWO: 2\r\n", "");
  cr_assert_eq(SingleValue(fields, "x-one"), "1");
  cr_assert_eq(SingleValue(fields, "X-Two"), "");
  cr_assert_eq(SingleValue(fields, "X-None"), "");
}
