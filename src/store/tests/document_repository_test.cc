#include "store/document_repository.h"

#include <rapidcheck.h>

#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

#include "framework/base/test_support.h"
#include "store/stub/memory_platform.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::change_decision;
using catkinmoor::document_change;
using catkinmoor::document_edit;
using catkinmoor::document_repository;
using catkinmoor::error_kind;
using catkinmoor::memory_platform;
using catkinmoor::platform_fault;
using catkinmoor::result;
using catkinmoor::RunToEnd;

document_edit Edit(std::uint64_t expected, const std::string& change_id,
                   const std::string& text = "text") {
  return {"slotboard", expected, text, "fitting", change_id};
}

result<document_change> Put(document_repository& repository, const document_edit& edit) {
  return RunToEnd(repository.Put(edit));
}

}  // namespace

Test(document_repository, with_two_operators_at_one_instant_accepts_one_and_names_the_conflict) {
  memory_platform platform;
  document_repository repository(platform);
  boost::asio::io_context context;
  std::vector<result<document_change>> outcomes;
  for (const char* id : {"one", "two"}) {
    boost::asio::co_spawn(context, repository.Put(Edit(0, id)),
                          [&](const std::exception_ptr&, result<document_change> outcome) {
                            outcomes.push_back(std::move(outcome));
                          });
  }
  context.run();
  cr_assert(Ok(outcomes[0]) != Ok(outcomes[1]));
  const auto& lost = Ok(outcomes[0]) ? outcomes[1] : outcomes[0];
  cr_assert(Failure(lost).kind == error_kind::kConflict);
  cr_assert(Failure(lost).message.find("version 1 is present") != std::string::npos);
}

Test(document_repository, with_the_answer_of_a_write_lost_still_knows_that_it_was_accepted) {
  memory_platform platform;
  document_repository repository(platform);
  bool lost = false;
  platform.SetFaults([&](const std::string& operation) {
    const bool now = operation == "transact" && !lost;
    lost = lost || now;
    return now ? platform_fault::kAnswerLost : platform_fault::kNone;
  });
  const auto outcome = Put(repository, Edit(0, "one"));
  cr_assert(lost);
  cr_assert(Ok(outcome));
  cr_assert(Value(outcome).version == 1);
  cr_assert(Value(RunToEnd(repository.History("slotboard"))).size() == 1);
}

Test(document_repository, down_after_a_lost_answer_says_undecided_and_is_decided_later) {
  memory_platform platform;
  document_repository repository(platform);
  bool down = false;
  platform.SetFaults([&](const std::string& operation) {
    if (down) return platform_fault::kUnavailable;
    down = operation == "transact";
    return down ? platform_fault::kAnswerLost : platform_fault::kNone;
  });
  const auto outcome = Put(repository, Edit(0, "one"));
  cr_assert(!Ok(outcome));
  cr_assert(Failure(outcome).kind == error_kind::kUndecided);
  platform.SetFaults(nullptr);
  const auto decided = RunToEnd(repository.Decide("one"));
  cr_assert(Value(decided).what == change_decision::outcome::kAccepted);
  cr_assert(Value(decided).accepted.version == 1);
}

Test(document_repository, asked_about_an_edit_that_was_not_accepted_sees_that_it_never_is) {
  memory_platform platform;
  document_repository repository(platform);
  const auto decided = RunToEnd(repository.Decide("one"));
  cr_assert(Value(decided).what == change_decision::outcome::kAbandoned);
  const auto late = Put(repository, Edit(0, "one"));
  cr_assert(!Ok(late));
  cr_assert(Failure(late).kind == error_kind::kRefused);
  cr_assert(Value(RunToEnd(repository.LastChange())) == 0);
}

Test(document_repository, while_the_store_is_down_refuses_an_edit_as_not_tried) {
  memory_platform platform;
  document_repository repository(platform);
  platform.SetFaults([](const std::string&) { return platform_fault::kUnavailable; });
  const auto outcome = Put(repository, Edit(0, "one"));
  cr_assert(Failure(outcome).kind == error_kind::kUnavailable);
}

Test(document_repository, given_the_same_change_id_twice_accepts_it_once) {
  memory_platform platform;
  document_repository repository(platform);
  const auto first = Put(repository, Edit(0, "one"));
  const auto second = Put(repository, Edit(0, "one"));
  cr_assert(Value(first) == Value(second));
  cr_assert(Value(RunToEnd(repository.LastChange())) == 1);
}

Test(document_repository, with_bytes_that_do_not_match_their_digest_refuses_the_text) {
  memory_platform platform;
  document_repository repository(platform);
  const auto change = Put(repository, Edit(0, "one"));
  platform.CorruptObject(Value(change).digest, "other");
  cr_assert(Failure(RunToEnd(repository.LoadText(Value(change).digest))).kind ==
            error_kind::kRefused);
}

Test(document_repository, under_random_faults_keeps_versions_whole_and_each_change_single) {
  cr_assert(rc::check([] {
    memory_platform platform;
    document_repository repository(platform);
    std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
    platform.SetFaults([&](const std::string& operation) {
      const auto draw = random() % 10;
      if (draw == 0) return platform_fault::kUnavailable;
      if (draw <= 2 && operation == "transact") return platform_fault::kAnswerLost;
      return platform_fault::kNone;
    });
    boost::asio::io_context context;
    std::map<std::string, result<document_change>> told;
    for (int i = 0; i < 4; ++i) {
      const std::string id = "change" + std::to_string(i);
      boost::asio::co_spawn(
          context, repository.Put(Edit(i / 2, id, "text" + id)),
          [&told, id](const std::exception_ptr&, result<document_change> outcome) {
            told.emplace(id, std::move(outcome));
          });
    }
    context.run();
    platform.SetFaults(nullptr);
    const auto history = Value(RunToEnd(repository.History("slotboard")));
    std::map<std::string, std::uint64_t> versions;
    for (std::size_t i = 0; i < history.size(); ++i) {
      RC_ASSERT(history[i].version == i + 1);
      RC_ASSERT(versions.emplace(history[i].change_id, history[i].version).second);
    }
    for (const auto& [id, outcome] : told) {
      const bool accepted = versions.contains(id);
      if (Ok(outcome)) {
        RC_ASSERT(accepted);
        RC_ASSERT(Value(outcome).version == versions.at(id));
      } else if (Failure(outcome).kind != error_kind::kUndecided) {
        RC_ASSERT(!accepted);
      }
      const auto decided = Value(RunToEnd(repository.Decide(id)));
      RC_ASSERT((decided.what == change_decision::outcome::kAccepted) == accepted);
    }
  }));
}
