#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>
#include <string_view>

#include "proxy/proxy_settings.h"

namespace catkinmoor::proxy_internal {

/// Removes from a caller's request the fields that concern only its connection, those that daemons
/// exchange among themselves, and those that daemons state to targets. Fields that the daemon reads
/// from callers (request id, deadline, key) stay.
void RemoveCallerFields(boost::beast::http::fields& fields, const http_conventions& conventions);

/// Removes from a message of another daemon or of a target the fields that concern only its
/// connection and those that daemons exchange among themselves. What the receiver needs of them has
/// to be read before.
void RemoveRelayedFields(boost::beast::http::fields& fields, const http_conventions& conventions);

/// The value of a field; empty if the message does not have exactly one field of that name.
std::string_view SingleValue(const boost::beast::http::fields& fields, std::string_view name);

/// Passes bytes to a parser. What follows the head cannot change the head: the fields of a trailer
/// are checked like others and then dropped, as the head has been acted on by then. Returns the
/// number of bytes consumed.
template <bool kIsRequest, typename Body>
std::size_t ParseBytes(boost::beast::http::parser<kIsRequest, Body>& parser,
                       boost::asio::const_buffer bytes, boost::beast::error_code& failed) {
  if (!parser.is_header_done()) return parser.put(bytes, failed);
  boost::beast::http::fields& fields = parser.get();
  boost::beast::http::fields head = std::move(fields);
  const std::size_t consumed = parser.put(bytes, failed);
  fields = std::move(head);
  return consumed;
}

}  // namespace catkinmoor::proxy_internal
