#include "proxy/internal/target_responses.h"

#include <algorithm>

#include "framework/logging/log.h"
#include "proxy/internal/wire/message_fields.h"

namespace catkinmoor::proxy_internal {
namespace {

constexpr std::uint32_t kMaxResponseHeaderBytes = 64U << 10U;
// The rest of a response arrives with its head or shortly after. Opening another connection costs
// less than a longer wait.
constexpr milliseconds kMaxDiscardTime{250};

}  // namespace

asio::awaitable<http::head_result> ReadResponseHeader(const gate_call& call, connection& backend,
                                                      std::optional<response_parser>& parser,
                                                      bool is_head, time_point deadline,
                                                      response_read_context context) {
  http::head_result head;
  for (int skipped = 0; skipped <= http::kMaxInterimResponses; ++skipped) {
    parser.emplace();
    parser->body_limit(boost::none);
    parser->header_limit(kMaxResponseHeaderBytes);
    parser->skip(is_head);
    backend.stream.expires_at(deadline);
    head = co_await http::ReadResponseHead(backend.stream, backend.buffer, *parser,
                                           kMaxResponseHeaderBytes);
    if (head.failed) co_return head;
    if (parser->get().result_int() < 200) continue;
    if (!context.settings.conventions.targets_echo_request_ids) co_return head;
    const std::string_view id = SingleValue(parser->get(), kRequestIdHeader);
    if (id == call.request_id) co_return head;
    context.metrics.IncrementCounter("catkinmoor_gate_crossed_answers_total");
    logging::Warning("target response belongs to another request; discarded",
                     {{"request", call.request_id}, {"answers", id}, {"instance", call.instance}});
    head.failed = bhttp::error::bad_value;
    head.problem = "the response belongs to another request";
    if (id.empty()) co_return head;
    const bool discarded =
        co_await DiscardResponseBody(backend, *parser, std::min(deadline, DiscardDeadline()));
    if (!discarded) co_return head;
  }
  head.failed = bhttp::error::bad_value;
  head.problem = "too many interim or late responses";
  co_return head;
}

bool IsNotRunResponse(const response_message& response, const http_conventions& conventions) {
  const bool misdirected = response.result_int() == 421 && !conventions.instance_header.empty();
  return misdirected || (!conventions.not_executed_header.empty() &&
                         response.find(conventions.not_executed_header) != response.end());
}

std::optional<double> LimitOf(const response_message& response, const http_conventions& conventions,
                              std::optional<double> present) {
  if (conventions.limit_header.empty()) return std::nullopt;
  const auto found = response.find(conventions.limit_header);
  if (found == response.end()) return std::nullopt;
  const auto text = found->value();
  const auto named = ParseDecimal({text.data(), text.size()});
  return named ? named : present;
}

bool IsLeavingResponse(const response_message& response, const http_conventions& conventions) {
  return !conventions.leaving_header.empty() && response[conventions.leaving_header] == "1";
}

bool IsCorrupted(const response_message& response, const http_conventions& conventions) {
  if (conventions.success_proof_header.empty()) return false;
  const bool success = response.result_int() / 100 == 2;
  return success && (response.find(conventions.success_proof_header) == response.end() ||
                     response.find(bhttp::field::content_encoding) != response.end());
}

asio::awaitable<bool> DiscardResponseBody(connection& backend, response_parser& parser,
                                          time_point deadline) {
  // A response without a length is delimited by the end of its connection.
  if (parser.need_eof()) co_return false;
  co_return co_await DiscardBody(backend, parser, kMaxDiscardTime, deadline);
}

time_point DiscardDeadline() { return Now() + kMaxDiscardTime; }

}  // namespace catkinmoor::proxy_internal
