// What a request is charged for its head.

#include "proxy/internal/wire/head_size.h"

#include <string>

#include "proxy/byte_budget.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::byte_budget;
using catkinmoor::LimitsOfProcess;
using catkinmoor::proxy_internal::head_size;
using catkinmoor::proxy_internal::MeasureHead;
using catkinmoor::proxy_internal::RequestBytes;

const std::string kRequestLine = "GET / HTTP/1.1\r\n";

std::string HeadOfFields(std::size_t count, const std::string& field) {
  std::string head = kRequestLine;
  for (std::size_t i = 0; i < count; ++i) head += field;
  return head + "\r\n";
}

}  // namespace

// Guards against a charge for the newlines of a body or of the request behind the head.
Test(head_size, of_a_head_with_bytes_behind_it_ends_at_the_head) {
  const std::string head = HeadOfFields(3, "a:\r\n");
  cr_assert(MeasureHead(head) == (head_size{head.size(), 4}));
  cr_assert(MeasureHead(head + "\n\n\nGET / HTTP/1.1\r\nb:\r\n") == MeasureHead(head));
}

Test(head_size, of_a_part_counts_the_lines_that_are_complete) {
  cr_assert(MeasureHead("") == (head_size{}));
  cr_assert(MeasureHead("GET / HT") == (head_size{8, 0}));
  cr_assert(MeasureHead("a:\r\nb:\r\nc") == (head_size{9, 2}));
}

// Guards against a charge that depends on how the head arrives.
Test(head_size, of_a_head_in_two_parts_of_whole_lines_is_that_of_the_whole) {
  const std::string head = HeadOfFields(50, "name: value\r\n");
  for (std::size_t end = head.find('\n'); end + 2 < head.size(); end = head.find('\n', end + 1)) {
    head_size sum = MeasureHead(head.substr(0, end + 1));
    sum += MeasureHead(head.substr(end + 1));
    cr_assert(sum == MeasureHead(head));
  }
}

Test(head_size, of_an_ordinary_head_is_covered_by_the_charge_for_any_request) {
  const std::string head = HeadOfFields(20, "x-name-of-a-field: a value of usual length\r\n");
  cr_assert_eq(RequestBytes(MeasureHead(head)), byte_budget::kRequestBytes);
}

// A parsed field takes at least 48 bytes beside its name and value.
Test(head_size, of_many_short_fields_is_charged_what_they_become) {
  const std::size_t fields = 3'200;
  const std::size_t charged = RequestBytes(MeasureHead(HeadOfFields(fields, "a:\r\n")));
  cr_assert(charged > fields * 2 * 48);
}

// The least memory of the vms of a deployment.
Test(head_size, of_the_largest_head_of_short_fields_is_within_the_limit_of_one_holder) {
  const std::size_t charged = RequestBytes(MeasureHead(HeadOfFields(4'090, "a:\r\n")));
  const auto limit = LimitsOfProcess(88, 4'100).bytes;
  cr_assert(static_cast<std::int64_t>(charged) < limit - limit / byte_budget::kReserveDivisor);
}
