#include "administration/administration_service.h"

#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

#include "framework/base/digest.h"
#include "framework/logging/log.h"

namespace catkinmoor {
namespace {

namespace asio = boost::asio;
namespace bj = boost::json;

constexpr const char* kAllTeams = "*";
constexpr milliseconds kStatusBudget{2'000};
constexpr std::size_t kChangeIdLength = 64;

http::reply Json(unsigned status, const bj::object& body) {
  return {status, {{"content-type", "application/json"}}, bj::serialize(body) + "\n"};
}

bj::object ErrorObject(const error& failure) {
  return {{"kind", KindName(failure.kind)},
          {"step", failure.step},
          {"peer", failure.peer},
          {"message", failure.message}};
}

unsigned StatusOf(error_kind kind) {
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

http::reply ErrorReply(const error& failure) {
  return Json(StatusOf(failure.kind), {{"error", ErrorObject(failure)}});
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

/// Matches a path against a pattern in which "*" stands for one part. Yields that part.
std::optional<std::string> Match(std::string_view pattern, std::string_view path) {
  const auto star = pattern.find('*');
  if (star == std::string_view::npos) {
    return pattern == path ? std::optional<std::string>("") : std::nullopt;
  }
  const std::string_view head = pattern.substr(0, star);
  const std::string_view tail = pattern.substr(star + 1);
  const bool fits = path.size() > head.size() + tail.size() &&
                    path.substr(0, head.size()) == head &&
                    path.substr(path.size() - tail.size()) == tail;
  if (!fits) return std::nullopt;
  const auto part = path.substr(head.size(), path.size() - head.size() - tail.size());
  if (part.find('/') != std::string_view::npos) return std::nullopt;
  return std::string(part);
}

std::optional<std::uint64_t> NumberOf(const std::optional<std::string>& text) {
  if (!text) return std::nullopt;
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(text->data(), text->data() + text->size(), number);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == text->data() + text->size();
  return whole ? std::optional(number) : std::nullopt;
}

}  // namespace

/// One request with the team that sent it and the variable part of its path.
struct administration_service::call {
  http::request message;
  std::string team;
  std::string part;
};

administration_service::administration_service(administration_parts parts)
    : parts_(std::move(parts)) {}

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
      {"POST", "/v1/drain", true, &administration_service::Drain},
      {"GET", "/metrics", false, &administration_service::Metrics},
      {"GET", "/healthz", false, &administration_service::Health},
      {"GET", "/readyz", false, &administration_service::Readiness},
  };
  return kOperations;
}

asio::awaitable<http::reply> administration_service::Answer(http::request message) {
  const std::string path(message.Path());
  bool path_known = false;
  for (const operation& each : Operations()) {
    const auto part = Match(each.pattern, path);
    if (!part) continue;
    path_known = true;
    if (message.method != each.method) continue;
    call of{std::move(message), "", *part};
    if (each.needs_team) {
      const auto team = parts_.teams.TeamOf(http::Header(of.message.headers, "authorization"));
      if (!team) {
        http::reply refused = Json(
            401,
            {{"error", ErrorObject({error_kind::kRefused, "authorize", "", "unknown token"})}});
        refused.headers["www-authenticate"] = "Bearer";
        co_return refused;
      }
      of.team = *team;
    }
    co_return co_await (this->*each.answer)(of);
  }
  const error failure{error_kind::kNotFound, "find operation", "", "no operation at " + path};
  co_return Json(path_known ? 405 : 404, {{"error", ErrorObject(failure)}});
}

asio::awaitable<http::reply> administration_service::ListDocuments(const call&) {
  bj::array list;
  for (const in_force_entry& each : parts_.board.documents.AllInForce()) {
    list.push_back(bj::object{{"service", each.document.service},
                              {"version", each.document.version},
                              {"digest", each.document.digest},
                              {"in_force_since_ms", each.since_ms}});
  }
  co_return Json(200, {{"documents", std::move(list)}});
}

asio::awaitable<http::reply> administration_service::GetDocument(const call& of) {
  const auto wanted = NumberOf(of.message.Query("version"));
  const auto in_force = parts_.board.documents.InForce(of.part);
  document_version found;
  if (in_force != nullptr && (!wanted || *wanted == in_force->source.version)) {
    found = in_force->source;
  } else {
    auto history = co_await parts_.repository.History(of.part);
    if (!Ok(history)) co_return ErrorReply(Failure(history));
    for (const document_change& each : Value(history)) {
      const bool match = wanted ? each.version == *wanted : each.version > found.version;
      if (match) found = {each.service, each.version, each.change, each.digest, ""};
    }
    if (found.version == 0) {
      co_return ErrorReply({error_kind::kNotFound, "get document", "", "no such version"});
    }
    auto text = co_await parts_.repository.LoadText(found.digest);
    if (!Ok(text)) co_return ErrorReply(Failure(text));
    found.text = std::move(Value(text));
  }
  co_return Json(200, {{"service", found.service},
                       {"version", found.version},
                       {"digest", found.digest},
                       {"text", found.text}});
}

std::optional<error> administration_service::CheckOwner(const call& of,
                                                        const document& content) const {
  if (of.team == kAllTeams) return std::nullopt;
  const auto held = parts_.board.documents.Held(of.part);
  const bool owns_present = held == nullptr || held->content.owner == of.team;
  if (content.owner == of.team && owns_present) return std::nullopt;
  return error{error_kind::kRefused, "check owner", "",
               "team " + of.team + " does not own this document"};
}

asio::awaitable<http::reply> administration_service::PutDocument(const call& of) {
  const auto expected = NumberOf(of.message.Query("expect"));
  const std::string change_id = of.message.Query("change_id").value_or(RandomId());
  if (!expected) {
    co_return Json(400, {{"error", ErrorObject({error_kind::kInvalid, "put document", "",
                                                "expect=VERSION is missing"})}});
  }
  if (change_id.empty() || change_id.size() > kChangeIdLength) {
    co_return Json(400, {{"error", ErrorObject({error_kind::kInvalid, "put document", "",
                                                "change_id must have 1 to 64 characters"})}});
  }
  auto parsed = ParseDocument(of.message.body);
  json::problems problems;
  if (auto* found = std::get_if<json::problems>(&parsed)) problems = *found;
  if (problems.empty() && std::get<document>(parsed).service != of.part) {
    json::Report(problems, "/service", "must be " + of.part);
  }
  if (!problems.empty()) {
    bj::array list;
    for (const json::problem& each : problems) {
      list.push_back(bj::object{{"place", each.place}, {"message", each.message}});
    }
    const error failure{error_kind::kInvalid, "check document", "", "the document is not valid"};
    co_return Json(422, {{"error", ErrorObject(failure)}, {"problems", std::move(list)}});
  }
  if (auto refused = CheckOwner(of, std::get<document>(parsed))) co_return ErrorReply(*refused);
  document_edit edit{of.part, *expected, of.message.body, of.team, change_id};
  auto accepted = co_await parts_.repository.Put(std::move(edit));
  if (!Ok(accepted)) {
    logging::Warning("edit not accepted", Failure(accepted));
    co_return Json(StatusOf(Failure(accepted).kind),
                   {{"error", ErrorObject(Failure(accepted))}, {"change_id", change_id}});
  }
  const document_change& change = Value(accepted);
  const document_version version{change.service, change.version, change.change, change.digest,
                                 of.message.body};
  if (Sha256Hex(version.text) == version.digest) {
    parts_.board.documents.Offer(version, false);
    std::vector<document_version> news = {version};
    parts_.exchange.SpreadDocuments(std::move(news), spread_reach::kWorld);
  }
  logging::Info("edit accepted", {{"service", change.service},
                                  {"version", static_cast<std::int64_t>(change.version)},
                                  {"team", of.team}});
  co_return Json(200, ChangeObject(change));
}

asio::awaitable<http::reply> administration_service::GetHistory(const call& of) {
  auto history = co_await parts_.repository.History(of.part);
  if (!Ok(history)) co_return ErrorReply(Failure(history));
  bj::array list;
  for (const document_change& each : Value(history)) list.push_back(ChangeObject(each));
  co_return Json(200, {{"history", std::move(list)}});
}

asio::awaitable<http::reply> administration_service::GetStatus(const call& of) {
  std::optional<std::uint64_t> version = NumberOf(of.message.Query("version"));
  if (!version) {
    const auto held = parts_.board.documents.Held(of.part);
    if (held == nullptr) {
      co_return ErrorReply({error_kind::kNotFound, "status", "", "no document " + of.part});
    }
    version = held->source.version;
  }
  const gather_reply report = co_await parts_.status.Status(of.part, *version, kStatusBudget);
  bj::array places;
  for (const data_centre_status& each : report.data_centres) {
    bj::array laggards;
    for (const laggard& slow : each.laggards) {
      laggards.push_back(bj::object{{"vm", slow.vm}, {"reason", slow.reason}});
    }
    places.push_back(bj::object{{"region", each.region},
                                {"data_centre", each.data_centre},
                                {"in_force", each.in_force},
                                {"behind", each.behind},
                                {"refused", each.refused},
                                {"unheard", each.unheard},
                                {"laggards", std::move(laggards)}});
  }
  co_return Json(200, {{"service", of.part},
                       {"version", *version},
                       {"in_force_everywhere", InForceEverywhere(report)},
                       {"data_centres", std::move(places)}});
}

asio::awaitable<http::reply> administration_service::GetChange(const call& of) {
  auto decided = co_await parts_.repository.Decide(of.part);
  if (!Ok(decided)) {
    co_return Json(StatusOf(Failure(decided).kind),
                   {{"error", ErrorObject(Failure(decided))}, {"change_id", of.part}});
  }
  const change_decision& decision = Value(decided);
  if (decision.what == change_decision::outcome::kAbandoned) {
    co_return Json(200, {{"outcome", "not-accepted"}, {"change_id", of.part}});
  }
  co_return Json(200, {{"outcome", "accepted"}, {"accepted", ChangeObject(decision.accepted)}});
}

asio::awaitable<http::reply> administration_service::ListMembers(const call&) {
  bj::array list;
  for (const auto& [vm, member] : parts_.board.members.View()->all) {
    bj::object entry{{"vm", vm},
                     {"region", member->region},
                     {"data_centre", member->data_centre},
                     {"state", StateName(member->version.state)},
                     {"incarnation", member->version.incarnation}};
    if (member->target) {
      entry["service"] = member->target->service;
      entry["target_state"] = StateName(member->target->state);
      entry["slots"] = member->target->slots;
    }
    list.push_back(std::move(entry));
  }
  co_return Json(200, {{"members", std::move(list)}});
}

asio::awaitable<http::reply> administration_service::ListQuarantine(const call&) {
  bj::array list;
  for (const quarantine_entry& each : parts_.board.quarantine.All(Now())) {
    list.push_back(bj::object{{"fingerprint", each.fingerprint}, {"crashes", each.crashes}});
  }
  co_return Json(200, {{"quarantine", std::move(list)}});
}

asio::awaitable<http::reply> administration_service::ReleaseQuarantine(const call& of) {
  if (!parts_.board.quarantine.IsQuarantined(of.part, Now())) {
    co_return ErrorReply({error_kind::kNotFound, "release", "", "no quarantine of " + of.part});
  }
  const std::string reporter = "operator-" + RandomId();
  parts_.exchange.StateCrash({of.part, reporter, 1, true});
  logging::Info("quarantine released", {{"fingerprint", of.part}, {"team", of.team}});
  co_return Json(200, {{"released", of.part}});
}

asio::awaitable<http::reply> administration_service::Drain(const call& of) {
  if (of.team != kAllTeams) {
    co_return ErrorReply({error_kind::kRefused, "drain", "", "only the team * may drain"});
  }
  parts_.drain();
  co_return Json(202, {{"draining", true}});
}

asio::awaitable<http::reply> administration_service::Metrics(const call&) {
  parts_.refresh_metrics();
  co_return http::reply{
      200, {{"content-type", "text/plain; version=0.0.4"}}, parts_.board.metrics.PrometheusText()};
}

asio::awaitable<http::reply> administration_service::Health(const call&) {
  co_return Json(200, {{"healthy", true}});
}

asio::awaitable<http::reply> administration_service::Readiness(const call&) {
  const bool ready = parts_.ready();
  co_return Json(ready ? 200 : 503, {{"ready", ready}});
}

}  // namespace catkinmoor
