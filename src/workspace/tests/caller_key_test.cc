#include "workspace/caller_key.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::BuildKeyIndex;
using catkinmoor::CheckKey;
using catkinmoor::CredentialsOf;
using catkinmoor::DigestKey;
using catkinmoor::key_outcome;
using catkinmoor::parsed_document;
using catkinmoor::route;
using catkinmoor::workspace;

parsed_document With(std::vector<workspace> workspaces) {
  parsed_document parsed;
  parsed.content.workspaces = std::move(workspaces);
  parsed.workspaces_by_key = BuildKeyIndex(parsed.content);
  return parsed;
}

workspace Named(std::string name, const std::vector<std::string>& keys) {
  workspace made;
  made.name = std::move(name);
  for (const std::string& each : keys) made.key_digests.push_back(DigestKey(each));
  return made;
}

const route kKeyed = {};
const route kPublic = [] {
  route made;
  made.is_public = true;
  return made;
}();

}  // namespace

Test(caller_key, of_a_workspace_is_accepted_for_it) {
  const parsed_document in_force = With({Named("a", {"key-1"}), Named("b", {"key-2", "key-3"})});
  const auto checked = CheckKey(in_force, nullptr, kKeyed, "key-3");
  cr_assert(checked.outcome == key_outcome::kAccepted);
  cr_assert_eq(checked.found->name, "b");
}

Test(caller_key, that_is_unknown_or_missing_is_refused_unless_the_route_is_public) {
  const parsed_document in_force = With({Named("a", {"key-1"})});
  for (const char* key : {"", "key-2"}) {
    cr_assert(CheckKey(in_force, nullptr, kKeyed, key).outcome == key_outcome::kRefused);
    cr_assert(CheckKey(in_force, nullptr, kPublic, key).outcome == key_outcome::kNotNeeded);
  }
}

Test(caller_key, without_workspaces_is_not_needed) {
  const parsed_document in_force = With({});
  cr_assert(CheckKey(in_force, nullptr, kKeyed, "").outcome == key_outcome::kNotNeeded);
}

Test(caller_key, of_a_workspace_without_keys_left_is_refused) {
  const parsed_document in_force = With({Named("a", {})});
  cr_assert(CheckKey(in_force, nullptr, kKeyed, "key-1").outcome == key_outcome::kRefused);
}

// A version that waits for its witness has been acknowledged to the operator already.
Test(caller_key, removed_or_moved_by_a_version_that_is_held_is_refused) {
  const parsed_document in_force = With({Named("a", {"key-1", "key-2"}), Named("b", {})});
  const parsed_document held = With({Named("a", {}), Named("b", {"key-2"})});
  cr_assert(CheckKey(in_force, &held, kKeyed, "key-1").outcome == key_outcome::kRefused);
  cr_assert(CheckKey(in_force, &held, kKeyed, "key-2").outcome == key_outcome::kRefused);
}

Test(caller_key, added_by_a_version_that_is_not_in_force_is_refused) {
  const parsed_document in_force = With({Named("a", {"key-1"})});
  const parsed_document held = With({Named("a", {"key-1", "key-2"})});
  cr_assert(CheckKey(in_force, &held, kKeyed, "key-2").outcome == key_outcome::kRefused);
  cr_assert(CheckKey(in_force, &held, kKeyed, "key-1").outcome == key_outcome::kAccepted);
}

Test(caller_key, is_read_from_credentials_of_its_scheme_only) {
  cr_assert_eq(CredentialsOf("Bearer abc", "Bearer"), "abc");
  cr_assert_eq(CredentialsOf("bearer  abc", "Bearer"), "abc");
  cr_assert_eq(CredentialsOf("Basic abc", "Bearer"), "");
  cr_assert_eq(CredentialsOf("Bearer", "Bearer"), "");
  cr_assert_eq(CredentialsOf("Bearer ", "Bearer"), "");
}

Test(caller_key, digest_does_not_contain_the_key) {
  cr_assert_eq(DigestKey("key-1").find("key-1"), std::string::npos);
  cr_assert_neq(DigestKey("key-1"), DigestKey("key-2"));
}
