#pragma once

#include <string>
#include <vector>

#include "quota/authority_claim.h"
#include "quota/permit_holder.h"

namespace catkinmoor {

/// Asks that fail before another daemon is asked.
inline constexpr int kFailuresBeforeSearch = 2;

/// Chooses whom a holder asks next: the authority of the row if this daemon has read it lately,
/// else the candidates in turn, which watch the row and name the authority.
class authority_finder {
 public:
  /// Called before each ask. `row` is the row that was read lately, or none.
  void Update(permit_holder& holder, const std::optional<authority_row>& row,
              const std::vector<std::string>& candidates) {
    const bool known = !holder.AuthorityVm().empty();
    if (row && !row->released && row->epoch > holder.AuthorityEpoch()) {
      holder.SetAuthority(row->vm, row->epoch);
      return;
    }
    if (known && holder.Failures() < kFailuresBeforeSearch) return;
    if (holder.Failures() == searched_at_failures_ && known) return;
    searched_at_failures_ = holder.Failures();
    if (row && !row->released && next_ % 2 == 0) {
      ++next_;
      holder.SetAuthority(row->vm, row->epoch);
    } else if (!candidates.empty()) {
      holder.SetAuthority(candidates[next_++ % candidates.size()], 0);
    }
  }

 private:
  std::size_t next_ = 0;
  int searched_at_failures_ = -1;
};

}  // namespace catkinmoor
