#include "proxy/internal/wire/message_fields.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <string>
#include <vector>

#include "proxy/internal/call_headers.h"

namespace catkinmoor::proxy_internal {
namespace {

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

constexpr std::string_view kContentPrefix = "content-";

bool StartsWith(beast::string_view text, std::string_view prefix) {
  return text.size() >= prefix.size() &&
         beast::iequals(text.substr(0, prefix.size()), {prefix.data(), prefix.size()});
}

/// Whether a field is kept although Connection lists it: without it the message would end elsewhere
/// or mean something else, or it would lose what identifies it.
bool IsEndToEnd(beast::string_view name, const http_conventions& conventions) {
  if (StartsWith(name, kContentPrefix)) return true;
  const auto is_name = [&](std::string_view other) {
    return !other.empty() && beast::iequals(name, {other.data(), other.size()});
  };
  const std::string_view fixed[] = {"host", "transfer-encoding", kRequestIdHeader};
  const std::string_view named[] = {conventions.deadline_header,
                                    conventions.instance_header,
                                    conventions.caller_service_header,
                                    conventions.not_executed_header,
                                    conventions.success_proof_header,
                                    conventions.limit_header,
                                    conventions.load_header,
                                    conventions.leaving_header,
                                    conventions.key_header,
                                    conventions.workspace_header};
  return std::any_of(std::begin(fixed), std::end(fixed), is_name) ||
         std::any_of(std::begin(named), std::end(named), is_name);
}

void RemoveConnectionFields(bhttp::fields& fields, const http_conventions& conventions) {
  std::vector<std::string> listed;
  const auto [first, last] = fields.equal_range(bhttp::field::connection);
  for (auto each = first; each != last; ++each) {
    for (const auto& name : bhttp::token_list(each->value())) {
      if (!IsEndToEnd(name, conventions)) listed.emplace_back(name);
    }
  }
  for (const std::string& name : listed) fields.erase(name);
  // Trailers are dropped, so none is announced.
  for (const auto name :
       {bhttp::field::connection, bhttp::field::keep_alive, bhttp::field::proxy_authenticate,
        bhttp::field::proxy_authorization, bhttp::field::proxy_connection, bhttp::field::te,
        bhttp::field::trailer, bhttp::field::upgrade}) {
    fields.erase(name);
  }
}

void RemoveMeshFields(bhttp::fields& fields) {
  for (auto next = fields.begin(); next != fields.end();) {
    next = StartsWith(next->name_string(), kHeaderPrefix) ? fields.erase(next) : std::next(next);
  }
}

}  // namespace

void RemoveCallerFields(bhttp::fields& fields, const http_conventions& conventions) {
  RemoveRelayedFields(fields, conventions);
  fields.erase(bhttp::field::expect);
  for (const std::string* name : {&conventions.instance_header, &conventions.caller_service_header,
                                  &conventions.workspace_header}) {
    if (!name->empty()) fields.erase(*name);
  }
}

void RemoveRelayedFields(bhttp::fields& fields, const http_conventions& conventions) {
  RemoveConnectionFields(fields, conventions);
  RemoveMeshFields(fields);
}

std::string_view SingleValue(const bhttp::fields& fields, std::string_view name) {
  const auto [first, last] = fields.equal_range({name.data(), name.size()});
  if (first == last || std::next(first) != last) return {};
  return {first->value().data(), first->value().size()};
}

}  // namespace catkinmoor::proxy_internal
