#include "administration/administration_service.h"

#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

#include "administration/rollout_json.h"
#include "framework/base/digest.h"
#include "framework/logging/log.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;
namespace bj = boost::json;

constexpr const char* kAllTeams = "*";
constexpr milliseconds kStatusTimeout{2'000};
constexpr std::size_t kMaxChangeIdLength = 64;

http::response Json(unsigned status, const bj::object& body) {
  return {status, {{"content-type", "application/json"}}, bj::serialize(body) + "\n"};
}

bj::object ErrorObject(const error& failure) {
  return {{"kind", ErrorKindName(failure.kind)},
          {"step", failure.step},
          {"peer", failure.peer},
          {"message", failure.message}};
}

unsigned StatusForError(error_kind kind) {
  switch (kind) {
    case error_kind::kInvalid:
      return 422;
    case error_kind::kNotFound:
      return 404;
    case error_kind::kConflict:
      return 409;
    case error_kind::kRefused:
      return 403;
    case error_kind::kUnavailable:
    case error_kind::kUndecided:
      return 503;
    case error_kind::kTimeout:
      return 504;
    case error_kind::kInternal:
      break;
  }
  return 500;
}

http::response ErrorResponse(const error& failure) {
  return Json(StatusForError(failure.kind), {{"error", ErrorObject(failure)}});
}

bj::object ChangeObject(const document_change& change) {
  return {{"service", change.service},
          {"version", change.version},
          {"change", change.change},
          {"digest", change.digest},
          {"author", change.author},
          {"change_id", change.change_id},
          {"accepted_at_ms", change.accepted_at_ms}};
}

/// Matches a path against a pattern in which "*" stands for one path segment. Returns that segment,
/// or an empty string for a pattern without "*".
std::optional<std::string> MatchPath(std::string_view pattern, std::string_view path) {
  const auto wildcard = pattern.find('*');
  if (wildcard == std::string_view::npos) {
    return pattern == path ? std::optional<std::string>("") : std::nullopt;
  }
  const std::string_view prefix = pattern.substr(0, wildcard);
  const std::string_view suffix = pattern.substr(wildcard + 1);
  const bool matches = path.size() > prefix.size() + suffix.size() &&
                       path.substr(0, prefix.size()) == prefix &&
                       path.substr(path.size() - suffix.size()) == suffix;
  if (!matches) return std::nullopt;
  const auto segment = path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
  if (segment.find('/') != std::string_view::npos) return std::nullopt;
  return std::string(segment);
}

std::optional<std::uint64_t> ParseNumber(const std::optional<std::string>& text) {
  if (!text) return std::nullopt;
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(text->data(), text->data() + text->size(), number);
  const bool fully_parsed = parsed.ec == std::errc() && parsed.ptr == text->data() + text->size();
  return fully_parsed ? std::optional(number) : std::nullopt;
}

}  // namespace

/// A request with the team that sent it and the path segment that matched "*".
struct administration_service::operator_request {
  http::request message;
  std::string team;
  std::string path_segment;
};

administration_service::administration_service(administration_dependencies dependencies)
    : dependencies_(std::move(dependencies)) {}

const std::vector<administration_service::operation>& administration_service::Operations() {
  static const std::vector<operation> kOperations = {
      {"GET", "/v1/documents", true, &administration_service::ListDocuments},
      {"GET", "/v1/documents/*", true, &administration_service::GetDocument},
      {"PUT", "/v1/documents/*", true, &administration_service::PutDocument},
      {"GET", "/v1/documents/*/history", true, &administration_service::GetHistory},
      {"GET", "/v1/documents/*/status", true, &administration_service::GetStatus},
      {"GET", "/v1/changes/*", true, &administration_service::GetChange},
      {"GET", "/v1/members", true, &administration_service::ListMembers},
      {"GET", "/v1/quarantine", true, &administration_service::ListQuarantine},
      {"DELETE", "/v1/quarantine/*", true, &administration_service::ReleaseQuarantine},
      {"GET", "/v1/rollouts/*", true, &administration_service::GetRollout},
      {"POST", "/v1/drain", true, &administration_service::Drain},
      {"GET", "/metrics", false, &administration_service::Metrics},
      {"GET", "/healthz", false, &administration_service::Health},
      {"GET", "/readyz", false, &administration_service::Readiness},
  };
  return kOperations;
}

asio::awaitable<http::response> administration_service::Handle(http::request message) {
  const std::string path(message.Path());
  bool path_known = false;
  for (const operation& each : Operations()) {
    const auto segment = MatchPath(each.path_pattern, path);
    if (!segment) continue;
    path_known = true;
    if (message.method != each.method) continue;
    operator_request request{std::move(message), "", *segment};
    if (each.requires_team) {
      const auto team =
          dependencies_.teams.FindTeam(http::HeaderValue(request.message.headers, "authorization"));
      if (!team) {
        http::response unauthorized =
            Json(401, {{"error", ErrorObject({error_kind::kRefused, "authorize", "",
                                              "missing or unknown bearer token"})}});
        unauthorized.headers["www-authenticate"] = "Bearer";
        co_return unauthorized;
      }
      request.team = *team;
    }
    co_return co_await (this->*each.handler)(request);
  }
  const error failure{error_kind::kNotFound, "find operation", "", "unknown operation " + path};
  co_return Json(path_known ? 405 : 404, {{"error", ErrorObject(failure)}});
}

asio::awaitable<http::response> administration_service::ListDocuments(const operator_request&) {
  bj::array list;
  for (const in_force_document& each : dependencies_.distribution.documents.AllInForce()) {
    list.push_back(bj::object{{"service", each.document.service},
                              {"version", each.document.version},
                              {"digest", each.document.digest},
                              {"in_force_since_ms", each.in_force_since_ms}});
  }
  co_return Json(200, {{"documents", std::move(list)}});
}

asio::awaitable<http::response> administration_service::GetDocument(
    const operator_request& request) {
  const auto requested_version = ParseNumber(request.message.QueryParameter("version"));
  const auto in_force = dependencies_.distribution.documents.InForce(request.path_segment);
  document_version selected;
  if (in_force != nullptr &&
      (!requested_version || *requested_version == in_force->source.version)) {
    selected = in_force->source;
  } else {
    auto history = co_await dependencies_.repository.History(request.path_segment);
    if (!Ok(history)) co_return ErrorResponse(Failure(history));
    for (const document_change& each : Value(history)) {
      const bool is_candidate =
          requested_version ? each.version == *requested_version : each.version > selected.version;
      if (is_candidate) selected = {each.service, each.version, each.change, each.digest, ""};
    }
    if (selected.version == 0) {
      co_return ErrorResponse(
          {error_kind::kNotFound, "get document", "", "unknown document or version"});
    }
    auto text = co_await dependencies_.repository.LoadText(selected.digest);
    if (!Ok(text)) co_return ErrorResponse(Failure(text));
    selected.text = std::move(Value(text));
  }
  co_return Json(200, {{"service", selected.service},
                       {"version", selected.version},
                       {"digest", selected.digest},
                       {"text", selected.text}});
}

std::optional<error> administration_service::CheckOwner(const operator_request& request,
                                                        const document& content) const {
  if (request.team == kAllTeams) return std::nullopt;
  const auto held = dependencies_.distribution.documents.Held(request.path_segment);
  const bool owns_held_version = held == nullptr || held->content.owner == request.team;
  if (content.owner == request.team && owns_held_version) return std::nullopt;
  return error{error_kind::kRefused, "check owner", "",
               "team " + request.team + " does not own the document"};
}

asio::awaitable<http::response> administration_service::PutDocument(
    const operator_request& request) {
  const auto expected = ParseNumber(request.message.QueryParameter("expect"));
  const std::string change_id = request.message.QueryParameter("change_id").value_or(RandomId());
  if (!expected) {
    co_return Json(
        400,
        {{"error", ErrorObject({error_kind::kInvalid, "put document", "",
                                "query parameter expect=VERSION is missing or not a number"})}});
  }
  if (change_id.empty() || change_id.size() > kMaxChangeIdLength) {
    co_return Json(400, {{"error", ErrorObject({error_kind::kInvalid, "put document", "",
                                                "change_id must have 1 to 64 characters"})}});
  }
  auto parsed = ParseDocument(request.message.body);
  json::problems problems;
  if (auto* found = std::get_if<json::problems>(&parsed)) problems = *found;
  if (problems.empty() && std::get<document>(parsed).service != request.path_segment) {
    json::AddProblem(problems, "/service", "must be " + request.path_segment);
  }
  if (!problems.empty()) {
    bj::array list;
    for (const json::problem& each : problems) {
      list.push_back(bj::object{{"place", each.pointer}, {"message", each.message}});
    }
    const error failure{error_kind::kInvalid, "check document", "", "the document is invalid"};
    co_return Json(422, {{"error", ErrorObject(failure)}, {"problems", std::move(list)}});
  }
  if (auto denied = CheckOwner(request, std::get<document>(parsed)))
    co_return ErrorResponse(*denied);
  document_edit edit{request.path_segment, *expected, request.message.body, request.team,
                     change_id};
  auto put_result = co_await dependencies_.repository.Put(std::move(edit));
  if (!Ok(put_result)) {
    logging::Warning("document edit not accepted", Failure(put_result));
    co_return Json(StatusForError(Failure(put_result).kind),
                   {{"error", ErrorObject(Failure(put_result))}, {"change_id", change_id}});
  }
  const document_change& change = Value(put_result);
  const document_version version{change.service, change.version, change.change, change.digest,
                                 request.message.body};
  if (Sha256Hex(version.text) == version.digest) {
    dependencies_.distribution.documents.Offer(version, false);
    std::vector<document_version> updates = {version};
    dependencies_.exchange.SpreadDocuments(std::move(updates), spread_range::kFleet);
  }
  logging::Info("document edit accepted", {{"service", change.service},
                                           {"version", static_cast<std::int64_t>(change.version)},
                                           {"team", request.team}});
  co_return Json(200, ChangeObject(change));
}

asio::awaitable<http::response> administration_service::GetHistory(
    const operator_request& request) {
  auto history = co_await dependencies_.repository.History(request.path_segment);
  if (!Ok(history)) co_return ErrorResponse(Failure(history));
  bj::array list;
  for (const document_change& each : Value(history)) list.push_back(ChangeObject(each));
  co_return Json(200, {{"history", std::move(list)}});
}

asio::awaitable<http::response> administration_service::GetStatus(const operator_request& request) {
  std::optional<std::uint64_t> version = ParseNumber(request.message.QueryParameter("version"));
  if (!version) {
    const auto held = dependencies_.distribution.documents.Held(request.path_segment);
    if (held == nullptr) {
      co_return ErrorResponse(
          {error_kind::kNotFound, "status", "", "no document " + request.path_segment});
    }
    version = held->source.version;
  }
  const gather_reply report =
      co_await dependencies_.status.Status(request.path_segment, *version, kStatusTimeout);
  bj::array data_centres;
  for (const data_centre_status& each : report.data_centres) {
    bj::array lagging_members;
    for (const lagging_member& lagging : each.lagging_members) {
      lagging_members.push_back(bj::object{{"vm", lagging.vm}, {"reason", lagging.reason}});
    }
    data_centres.push_back(bj::object{{"region", each.region},
                                      {"data_centre", each.data_centre},
                                      {"in_force", each.in_force},
                                      {"behind", each.behind},
                                      {"refused", each.refused},
                                      {"unheard", each.unresponsive},
                                      {"laggards", std::move(lagging_members)}});
  }
  co_return Json(200, {{"service", request.path_segment},
                       {"version", *version},
                       {"in_force_everywhere", InForceEverywhere(report)},
                       {"data_centres", std::move(data_centres)}});
}

asio::awaitable<http::response> administration_service::GetChange(const operator_request& request) {
  auto decision_result = co_await dependencies_.repository.ResolveChange(request.path_segment);
  if (!Ok(decision_result)) {
    co_return Json(
        StatusForError(Failure(decision_result).kind),
        {{"error", ErrorObject(Failure(decision_result))}, {"change_id", request.path_segment}});
  }
  const change_decision& decision = Value(decision_result);
  if (decision.status == change_decision::outcome::kAbandoned) {
    co_return Json(200, {{"outcome", "not-accepted"}, {"change_id", request.path_segment}});
  }
  co_return Json(200, {{"outcome", "accepted"}, {"accepted", ChangeObject(decision.accepted)}});
}

asio::awaitable<http::response> administration_service::ListMembers(const operator_request&) {
  bj::array list;
  for (const auto& [vm, member] : dependencies_.distribution.members.View()->all) {
    bj::object entry{{"vm", vm},
                     {"region", member->region},
                     {"data_centre", member->data_centre},
                     {"state", StateName(member->version.state)},
                     {"incarnation", member->version.incarnation},
                     {"build", member->build}};
    if (member->target) {
      entry["service"] = member->target->service;
      entry["target_state"] = StateName(member->target->state);
      entry["slots"] = member->target->slots;
    }
    list.push_back(std::move(entry));
  }
  co_return Json(200, {{"members", std::move(list)}});
}

asio::awaitable<http::response> administration_service::ListQuarantine(const operator_request&) {
  bj::array list;
  for (const quarantine_entry& each : dependencies_.distribution.quarantine.Quarantined(Now())) {
    list.push_back(bj::object{{"fingerprint", each.fingerprint}, {"crashes", each.crashes}});
  }
  co_return Json(200, {{"quarantine", std::move(list)}});
}

asio::awaitable<http::response> administration_service::ReleaseQuarantine(
    const operator_request& request) {
  if (!dependencies_.distribution.quarantine.IsQuarantined(request.path_segment, Now())) {
    co_return ErrorResponse(
        {error_kind::kNotFound, "release", "", "no quarantine entry for " + request.path_segment});
  }
  const std::string reporter = "operator-" + RandomId();
  dependencies_.exchange.AnnounceCrash({request.path_segment, reporter, 1, true});
  logging::Info("quarantine released by an operator",
                {{"fingerprint", request.path_segment}, {"team", request.team}});
  co_return Json(200, {{"released", request.path_segment}});
}

asio::awaitable<http::response> administration_service::GetRollout(
    const operator_request& request) {
  if (dependencies_.rollouts) {
    for (const rollout_view& each : dependencies_.rollouts()) {
      if (each.state.order.service == request.path_segment) co_return Json(200, ToJson(each));
    }
  }
  co_return ErrorResponse({error_kind::kNotFound, "find rollout", "",
                           "no order is known for \"" + request.path_segment + "\""});
}

asio::awaitable<http::response> administration_service::Drain(const operator_request& request) {
  if (request.team != kAllTeams) {
    co_return ErrorResponse({error_kind::kRefused, "drain", "", "only team * may drain a daemon"});
  }
  dependencies_.drain();
  co_return Json(202, {{"draining", true}});
}

asio::awaitable<http::response> administration_service::Metrics(const operator_request&) {
  dependencies_.refresh_metrics();
  co_return http::response{200,
                           {{"content-type", "text/plain; version=0.0.4"}},
                           dependencies_.distribution.metrics.PrometheusText()};
}

asio::awaitable<http::response> administration_service::Health(const operator_request&) {
  co_return Json(200, {{"healthy", true}});
}

asio::awaitable<http::response> administration_service::Readiness(const operator_request&) {
  const bool ready = dependencies_.ready();
  co_return Json(ready ? 200 : 503, {{"ready", ready}});
}

}  // namespace catkinmoor
