#include "store/document_repository.h"

#include <rapidcheck.h>

#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

#include "framework/base/test_support.h"
#include "store/repository_source.h"
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
using catkinmoor::repository_source;
using catkinmoor::result;
using catkinmoor::RunToCompletion;

document_edit MakeEdit(std::uint64_t expected, const std::string& change_id,
                       const std::string& text = "text") {
  return {"slotboard", expected, text, "fitting", change_id};
}

result<document_change> Put(document_repository& repository, const document_edit& edit) {
  return RunToCompletion(repository.Put(edit));
}

/// Writes a row as a damaged or foreign one.
void WriteRow(memory_platform& platform, const std::string& key, const std::string& value) {
  cr_assert(Ok(RunToCompletion(platform.Transact({{key, value, std::nullopt}}))));
}

}  // namespace

Test(document_repository, with_two_concurrent_edits_accepts_one_and_reports_a_conflict) {
  memory_platform platform;
  document_repository repository(platform);
  boost::asio::io_context context;
  std::vector<result<document_change>> outcomes;
  for (const char* id : {"one", "two"}) {
    boost::asio::co_spawn(context, repository.Put(MakeEdit(0, id)),
                          [&](const std::exception_ptr&, result<document_change> outcome) {
                            outcomes.push_back(std::move(outcome));
                          });
  }
  context.run();
  cr_assert(Ok(outcomes[0]) != Ok(outcomes[1]));
  const auto& rejected = Ok(outcomes[0]) ? outcomes[1] : outcomes[0];
  cr_assert(Failure(rejected).kind == error_kind::kConflict);
  cr_assert(Failure(rejected).message.find("version 1 is present") != std::string::npos);
}

Test(document_repository, with_the_response_to_a_write_lost_reports_the_edit_as_accepted) {
  memory_platform platform;
  document_repository repository(platform);
  bool response_lost = false;
  platform.SetFaultFunction([&](const std::string& operation) {
    const bool lose_response = operation == "transact" && !response_lost;
    response_lost = response_lost || lose_response;
    return lose_response ? platform_fault::kResponseLost : platform_fault::kNone;
  });
  const auto outcome = Put(repository, MakeEdit(0, "one"));
  cr_assert(response_lost);
  cr_assert(Ok(outcome));
  cr_assert(Value(outcome).version == 1);
  cr_assert(Value(RunToCompletion(repository.History("slotboard"))).size() == 1);
}

Test(document_repository, offline_after_a_lost_response_reports_undecided_and_later_decides_it) {
  memory_platform platform;
  document_repository repository(platform);
  bool down = false;
  platform.SetFaultFunction([&](const std::string& operation) {
    if (down) return platform_fault::kUnavailable;
    down = operation == "transact";
    return down ? platform_fault::kResponseLost : platform_fault::kNone;
  });
  const auto outcome = Put(repository, MakeEdit(0, "one"));
  cr_assert(!Ok(outcome));
  cr_assert(Failure(outcome).kind == error_kind::kUndecided);
  platform.SetFaultFunction(nullptr);
  const auto decided = RunToCompletion(repository.ResolveChange("one"));
  cr_assert(Value(decided).status == change_decision::outcome::kAccepted);
  cr_assert(Value(decided).accepted.version == 1);
}

Test(document_repository, deciding_an_edit_that_was_not_accepted_prevents_its_later_acceptance) {
  memory_platform platform;
  document_repository repository(platform);
  const auto decided = RunToCompletion(repository.ResolveChange("one"));
  cr_assert(Value(decided).status == change_decision::outcome::kAbandoned);
  const auto late = Put(repository, MakeEdit(0, "one"));
  cr_assert(!Ok(late));
  cr_assert(Failure(late).kind == error_kind::kRefused);
  cr_assert(Value(RunToCompletion(repository.LastChangeNumber())) == 0);
}

Test(document_repository, with_the_platform_down_reports_an_edit_as_unavailable) {
  memory_platform platform;
  document_repository repository(platform);
  platform.SetFaultFunction([](const std::string&) { return platform_fault::kUnavailable; });
  const auto outcome = Put(repository, MakeEdit(0, "one"));
  cr_assert(Failure(outcome).kind == error_kind::kUnavailable);
}

Test(document_repository, given_the_same_change_id_twice_accepts_it_once) {
  memory_platform platform;
  document_repository repository(platform);
  const auto first = Put(repository, MakeEdit(0, "one"));
  const auto second = Put(repository, MakeEdit(0, "one"));
  cr_assert(Value(first) == Value(second));
  cr_assert(Value(RunToCompletion(repository.LastChangeNumber())) == 1);
}

Test(document_repository, with_bytes_that_do_not_match_their_digest_refuses_the_text) {
  memory_platform platform;
  document_repository repository(platform);
  const auto change = Put(repository, MakeEdit(0, "one"));
  platform.CorruptObject(Value(change).digest, "other");
  cr_assert(Failure(RunToCompletion(repository.LoadText(Value(change).digest))).kind ==
            error_kind::kRefused);
}

Test(document_repository, under_random_faults_has_no_version_gaps_and_applies_no_change_twice) {
  cr_assert(rc::check([] {
    memory_platform platform;
    document_repository repository(platform);
    std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
    platform.SetFaultFunction([&](const std::string& operation) {
      const auto draw = random() % 10;
      if (draw == 0) return platform_fault::kUnavailable;
      if (draw <= 2 && operation == "transact") return platform_fault::kResponseLost;
      return platform_fault::kNone;
    });
    boost::asio::io_context context;
    std::map<std::string, result<document_change>> outcomes;
    for (int i = 0; i < 4; ++i) {
      const std::string id = "change" + std::to_string(i);
      boost::asio::co_spawn(
          context, repository.Put(MakeEdit(i / 2, id, "text" + id)),
          [&outcomes, id](const std::exception_ptr&, result<document_change> outcome) {
            outcomes.emplace(id, std::move(outcome));
          });
    }
    context.run();
    platform.SetFaultFunction(nullptr);
    const auto history = Value(RunToCompletion(repository.History("slotboard")));
    std::map<std::string, std::uint64_t> versions;
    for (std::size_t i = 0; i < history.size(); ++i) {
      RC_ASSERT(history[i].version == i + 1);
      RC_ASSERT(versions.emplace(history[i].change_id, history[i].version).second);
    }
    for (const auto& [id, outcome] : outcomes) {
      const bool accepted = versions.contains(id);
      if (Ok(outcome)) {
        RC_ASSERT(accepted);
        RC_ASSERT(Value(outcome).version == versions.at(id));
      } else if (Failure(outcome).kind != error_kind::kUndecided) {
        RC_ASSERT(!accepted);
      }
      const auto decided = Value(RunToCompletion(repository.ResolveChange(id)));
      RC_ASSERT((decided.status == change_decision::outcome::kAccepted) == accepted);
    }
  }));
}

// Guards against a damaged row that passes for no change (config-42).
Test(repository_source, with_a_malformed_number_of_the_last_change_fails) {
  memory_platform platform;
  document_repository repository(platform);
  repository_source source(repository);
  cr_assert(Ok(Put(repository, MakeEdit(0, "one"))));
  WriteRow(platform, "head", "x");
  cr_assert(!Ok(RunToCompletion(source.FetchUpdate(1, {}))));
}

Test(repository_source, with_a_change_missing_from_the_log_fails) {
  memory_platform platform;
  document_repository repository(platform);
  repository_source source(repository);
  cr_assert(Ok(Put(repository, MakeEdit(0, "one"))));
  WriteRow(platform, "head", "2");
  cr_assert(!Ok(RunToCompletion(source.FetchUpdate(1, {}))));
  cr_assert(!Ok(RunToCompletion(source.FetchUpdate(0, {}))));
}

Test(repository_source, with_a_stale_read_fails) {
  memory_platform platform;
  document_repository repository(platform);
  repository_source source(repository);
  cr_assert(Ok(Put(repository, MakeEdit(0, "one"))));
  cr_assert(!Ok(RunToCompletion(source.FetchUpdate(2, {}))));
  cr_assert(Ok(RunToCompletion(source.FetchUpdate(1, {}))));
}

// One read of the log returns a bounded number of changes.
Test(repository_source, with_more_changes_than_one_read_returns_reads_all) {
  constexpr std::uint64_t kChanges = 501;
  memory_platform platform;
  document_repository repository(platform);
  repository_source source(repository);
  for (std::uint64_t i = 0; i <= kChanges; ++i) {
    cr_assert(Ok(Put(repository, MakeEdit(i, "change-" + std::to_string(i)))));
  }
  const auto update = RunToCompletion(source.FetchUpdate(1, {}));
  cr_assert(Ok(update));
  cr_assert_eq(Value(update).position, kChanges + 1);
  cr_assert_eq(Value(update).documents.front().version, kChanges + 1);
}
