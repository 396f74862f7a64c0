#include "peer/internal/convert.h"

#include <string>

#include "framework/base/digest.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::document_version;
using catkinmoor::kMaxDocumentBytes;
using catkinmoor::Sha256Hex;
using catkinmoor::spread_request;
using catkinmoor::peer_internal::FromWire;
using catkinmoor::peer_internal::ToWire;

document_version Version(std::string text) {
  const std::string digest = Sha256Hex(text);
  return {"mesh", 7, 7, digest, std::move(text)};
}

}  // namespace

// Guards against an accepted document that other daemons drop because of its size (config-42).
Test(document_message, with_a_text_longer_than_an_author_may_submit_arrives_whole) {
  std::string text;
  for (int i = 0; text.size() <= kMaxDocumentBytes; ++i) text += "route " + std::to_string(i);
  spread_request sent;
  sent.documents = {Version(text)};
  catkinmoor::wire::SpreadRequest message;
  ToWire(sent, message);
  spread_request received;
  FromWire(message, received);
  cr_assert(received.documents == sent.documents);
}

// A version that is left out would count as held by the receiver.
Test(document_message, with_a_damaged_text_arrives_as_one_that_is_refused) {
  spread_request sent;
  sent.documents = {Version("text")};
  catkinmoor::wire::SpreadRequest message;
  ToWire(sent, message);
  message.mutable_documents(0)->set_text("damaged");
  spread_request received;
  FromWire(message, received);
  cr_assert_eq(received.documents.size(), 1U);
  cr_assert_eq(received.documents.front().version, 7U);
  cr_assert_neq(Sha256Hex(received.documents.front().text), received.documents.front().digest);
}

Test(member_message, with_the_build_of_a_daemon_states_it_to_the_receiver) {
  spread_request sent;
  sent.members = {{.vm = "a-1", .build = "0.1.0+1234567890ab"}};
  catkinmoor::wire::SpreadRequest message;
  ToWire(sent, message);
  spread_request received;
  FromWire(message, received);
  cr_assert(received.members == sent.members);
}
