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

/// An edit as an operator asks for it. The change id is chosen by the caller; sending the same id
/// again never applies the edit twice.
struct document_edit {
  std::string service;
  std::uint64_t expected_version = 0;
  std::string text;
  std::string author;
  std::string change_id;
};

/// One accepted change, as the log of changes and the history of a document keep it.
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

/// What became of a change id.
struct change_decision {
  enum class outcome { kAccepted, kAbandoned };
  outcome what = outcome::kAbandoned;
  document_change accepted;
};

/// Keeps the accepted documents in the platform. Texts lie in the object store under their digest;
/// rows of the table say which version is current. Every change is one transaction, so that
/// versions only rise and an edit is accepted whole or not at all.
class document_repository {
 public:
  explicit document_repository(platform_client& platform);

  /// Accepts a new version. Fails with kConflict when the present version is another than the
  /// expected one, kUndecided when the platform could not say what became of the write, and
  /// kUnavailable when it was never tried. The text must have been checked before.
  boost::asio::awaitable<result<document_change>> Put(document_edit edit);

  /// Finds out what became of a change id, and sees to it that an id that has not been accepted by
  /// now never will be.
  boost::asio::awaitable<result<change_decision>> Decide(std::string change_id);

  /// The number of the last accepted change, 0 when there is none.
  boost::asio::awaitable<result<std::uint64_t>> LastChange();

  /// Accepted changes after a number, oldest first, a bounded count at a time.
  boost::asio::awaitable<result<std::vector<document_change>>> ChangesAfter(std::uint64_t change);

  /// The present version of every document.
  boost::asio::awaitable<result<std::vector<document_change>>> Current();

  /// The present version of one document, or nothing.
  boost::asio::awaitable<result<std::optional<document_change>>> CurrentOf(std::string service);

  /// All accepted versions of one document, oldest first.
  boost::asio::awaitable<result<std::vector<document_change>>> History(std::string service);

  /// A text by its digest. Fails with kRefused when the bytes do not match the digest.
  boost::asio::awaitable<result<std::string>> LoadText(std::string digest);

 private:
  boost::asio::awaitable<result<std::vector<document_change>>> ScanAll(std::string prefix);

  platform_client& platform_;
};

}  // namespace catkinmoor
