#include "proxy/internal/target_answers.h"

#include <boost/beast/http/read.hpp>

#include "framework/logging/log.h"

namespace catkinmoor::proxy_internal {
namespace {

constexpr std::uint32_t kAnswerHeaderBytes = 64U << 10U;
// Late answers to earlier requests that are read past before a connection is given up.
constexpr int kPassedAnswers = 3;
constexpr std::size_t kPassedBytes = 256U << 10U;

}  // namespace

asio::awaitable<beast::error_code> ReadAnswerTo(const gate_call& call, connection& backend,
                                                std::optional<response_parser>& parser, bool head,
                                                time_point deadline, answer_reading how) {
  for (int passed = 0; passed <= kPassedAnswers; ++passed) {
    parser.emplace();
    parser->body_limit(boost::none);
    parser->header_limit(kAnswerHeaderBytes);
    parser->skip(head);
    backend.stream.expires_at(deadline);
    auto [failed, count] =
        co_await bhttp::async_read_header(backend.stream, backend.buffer, *parser, kAwait);
    if (failed) co_return failed;
    if (parser->get().result_int() < 200) continue;
    if (!how.settings.dialect.targets_repeat_ids) co_return failed;
    const auto id = parser->get()[kRequestIdHeader];
    if (id == call.request_id) co_return failed;
    how.metrics.Count("catkinmoor_gate_crossed_answers_total");
    logging::Warning("crossed answer", {{"request", call.request_id},
                                        {"answers", std::string_view(id.data(), id.size())},
                                        {"instance", call.instance}});
    if (id.empty()) co_return bhttp::error::bad_value;
    const bool whole = co_await DropAnswerBody(backend, *parser, how.settings.progress_timeout);
    if (!whole) co_return bhttp::error::partial_message;
  }
  co_return bhttp::error::bad_value;
}

bool TurnsAway(const response_message& answer, const wire_dialect& dialect) {
  const bool misdirected = answer.result_int() == 421 && !dialect.instance_header.empty();
  return misdirected ||
         (!dialect.not_run_header.empty() && answer.find(dialect.not_run_header) != answer.end());
}

bool IsSpoiled(const response_message& answer, const wire_dialect& dialect) {
  if (dialect.proof_header.empty()) return false;
  const bool success = answer.result_int() / 100 == 2;
  return success && (answer.find(dialect.proof_header) == answer.end() ||
                     answer.find(bhttp::field::content_encoding) != answer.end());
}

asio::awaitable<bool> DropAnswerBody(connection& backend, response_parser& parser,
                                     milliseconds progress) {
  // An answer without a length ends with its connection.
  if (parser.need_eof()) co_return false;
  std::string dropped;
  const body_outcome read =
      co_await ReadWholeBody(backend, parser, kPassedBytes, dropped, progress);
  co_return read == body_outcome::kWhole;
}

}  // namespace catkinmoor::proxy_internal
