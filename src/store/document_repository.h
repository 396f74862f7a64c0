#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "document/document.h"
#include "framework/base/result.h"
#include "store/platform_client.h"

namespace catkinmoor {

/// An edit that an operator requests. The caller chooses the change id, which makes the edit
/// idempotent: sent again with the same id, it is never applied twice.
struct document_edit {
  std::string service;
  std::uint64_t expected_version = 0;
  std::string text;
  std::string author;
  std::string change_id;
};

/// One accepted change, as stored in the change log and in the history of a document. `version`
/// counts the versions of the document, `change` the changes of all documents.
struct document_change {
  std::string service;
  std::uint64_t version = 0;
  std::uint64_t change = 0;
  std::string digest;
  std::string author;
  std::string change_id;
  std::uint64_t accepted_at_ms = 0;

  friend bool operator==(const document_change&, const document_change&) = default;
};

/// The final outcome of a change id.
struct change_decision {
  enum class outcome { kAccepted, kAbandoned };
  outcome status = outcome::kAbandoned;
  document_change accepted;
};

/// Stores accepted documents in the platform. Texts are kept in the object store under their
/// digest; rows of the table record which version is current. Every change is one transaction, so
/// that versions only increase and an edit is accepted completely or not at all.
class document_repository {
 public:
  explicit document_repository(platform_client& platform);

  /// Stores a new version. Fails with kConflict when the current version is not the expected one,
  /// kRefused when the change id has been abandoned, kUndecided when a write may have taken effect,
  /// and kUnavailable when none can have. The text must have been validated before.
  boost::asio::awaitable<result<document_change>> Put(document_edit edit);

  /// Determines the outcome of a change id. An id that has not been accepted yet is marked as
  /// abandoned, so that it never will be.
  boost::asio::awaitable<result<change_decision>> ResolveChange(std::string change_id);

  /// The number of the last accepted change, 0 when there is none.
  boost::asio::awaitable<result<std::uint64_t>> LastChangeNumber();

  /// Accepted changes with a number above the given one, oldest first, a bounded count per call.
  boost::asio::awaitable<result<std::vector<document_change>>> ChangesAfter(std::uint64_t change);

  /// The current version of every document.
  boost::asio::awaitable<result<std::vector<document_change>>> CurrentVersions();

  /// The current version of one document, or nothing if it has none.
  boost::asio::awaitable<result<std::optional<document_change>>> CurrentVersion(
      std::string service);

  /// All accepted versions of one document, oldest first.
  boost::asio::awaitable<result<std::vector<document_change>>> History(std::string service);

  /// The text with a digest. Fails with kRefused when the stored bytes do not match the digest.
  boost::asio::awaitable<result<std::string>> LoadText(std::string digest);

 private:
  boost::asio::awaitable<result<std::vector<document_change>>> ScanChanges(std::string prefix);

  platform_client& platform_;
};

}  // namespace catkinmoor
