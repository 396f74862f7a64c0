#pragma once

#include "store/document_repository.h"
#include "store/document_source.h"

namespace catkinmoor {

/// Polls the repository for accepted documents. Its position is the number of the last change.
class repository_source : public document_source {
 public:
  explicit repository_source(document_repository& repository) : repository_(repository) {}

  boost::asio::awaitable<result<source_update>> FetchUpdate(std::uint64_t position,
                                                            milliseconds wait) override;
  bool SupportsLongPolling() const override { return false; }

 private:
  boost::asio::awaitable<result<std::vector<document_version>>> LoadVersions(
      std::vector<document_change> changes);

  document_repository& repository_;
};

}  // namespace catkinmoor
