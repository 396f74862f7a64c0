// Whole and own answers: bodies cut anywhere, late answers, and requests made to confuse.

#include <thread>

#include "process_tests/fleet.h"
#include "process_tests/scripted_target.h"

#include <criterion/criterion.h>

namespace {

using catkinmoor::Expect;
using catkinmoor::fleet;
using catkinmoor::scripted_target;
using catkinmoor::SendRaw;
using catkinmoor::SlotboardDocument;
using catkinmoor::http::Header;

constexpr int kEntryPort = 8080;

/// One daemon whose target is scripted.
void StartScripted(fleet& subject, const std::string& document = SlotboardDocument()) {
  subject.Start();
  Expect(subject.Put(subject.Addresses().front(), document, 0).status == 200);
  subject.AwaitInForceEverywhere(1);
  subject.AwaitTargets(subject.Addresses().front(), 1);
}

std::string PathOf(const std::string& head) {
  const auto begin = head.find(' ') + 1;
  return head.substr(begin, head.find(' ', begin) - begin);
}

/// Cuts an answer at every byte and checks that none but the whole one looks whole.
void CutEverywhere(int subnet, const std::string& whole) {
  fleet subject({.subnet = subnet, .vms = 1, .targets = false});
  const std::string address = "127." + std::to_string(subnet + 1) + ".1.1";
  std::atomic<std::size_t> cut = 0;
  const scripted_target target(
      address, [&](const std::string&) { return scripted_target::answer{whole.substr(0, cut)}; });
  StartScripted(subject);
  for (cut = 0; cut <= whole.size(); ++cut) {
    const auto answer = subject.Request(address, "POST", "/holds/1");
    const bool looks_whole = answer.status == 200;
    Expect(looks_whole == (cut == whole.size()), "cut at " + std::to_string(cut));
    if (looks_whole) Expect(answer.body == "hello, world");
    const bool told =
        answer.status == 0 || Header(answer.headers, "x-catkinmoor-outcome") == "unknown";
    if (!looks_whole) Expect(told, "status " + std::to_string(answer.status));
  }
}

}  // namespace

Test(wire, of_a_counted_answer_cut_at_every_byte_never_looks_whole) {
  CutEverywhere(96,
                "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nConnection: close\r\n\r\nhello, world");
}

Test(wire, of_a_chunked_answer_cut_at_every_byte_never_looks_whole) {
  CutEverywhere(100,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                "7\r\nhello, \r\n5\r\nworld\r\n0\r\n\r\n");
}

Test(wire, of_a_repeatable_request_that_was_lost_is_never_said_not_to_have_run) {
  fleet subject({.subnet = 160, .vms = 1, .targets = false});
  const std::string address = subject.Addresses().front();
  const scripted_target target(address,
                               [](const std::string&) { return scripted_target::answer{""}; });
  StartScripted(subject);
  const auto answer = subject.Request(address, "GET", "/slots");
  Expect(target.Requests() > 0);
  Expect(Header(answer.headers, "x-catkinmoor-outcome") == "unknown", answer.body);
}

Test(wire, of_an_answer_past_its_deadline_is_never_given_to_another_request) {
  fleet subject({.subnet = 104, .vms = 1, .targets = false});
  const std::string address = subject.Addresses().front();
  const scripted_target target(address, [](const std::string& head) {
    const std::string path = PathOf(head);
    const std::string bytes =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(path.size()) + "\r\n\r\n" + path;
    return scripted_target::answer{bytes, true, path == "/late" ? 700 : 0};
  });
  StartScripted(subject, SlotboardDocument(300));
  for (int round = 0; round < 3; ++round) {
    Expect(subject.Request(address, "GET", "/late").status == 504);
    for (int i = 0; i < 20; ++i) {
      const std::string path = "/now" + std::to_string(i);
      const auto answer = subject.Request(address, "GET", path);
      Expect(answer.status == 200 && answer.body == path, answer.body);
    }
  }
}

Test(wire, of_a_request_made_to_confuse_is_refused_and_never_forwarded) {
  fleet subject({.subnet = 108, .vms = 1, .targets = false});
  const std::string address = subject.Addresses().front();
  const scripted_target target(address, [](const std::string&) {
    return scripted_target::answer{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true};
  });
  StartScripted(subject);
  const std::string start = "POST /holds/1 HTTP/1.1\r\nHost: slotboard\r\n";
  for (const std::string shape : {
           "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /",
           "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
           "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
           "Content-Length: -1\r\n\r\n",
           "Content-Length: 5 5\r\n\r\nhello",
           "Bad Header: x\r\n\r\n",
           "Content-Length : 5\r\n\r\nhello",
       }) {
    const std::string answer = SendRaw(address, kEntryPort, start + shape);
    Expect(answer.rfind("HTTP/1.1 400", 0) == 0, shape + " -> " + answer.substr(0, 40));
  }
  for (const std::string size : {"ZZ", "-5", "5;x=\x01", "ffffffffffffffffff"}) {
    std::string request = start;
    request += "Transfer-Encoding: chunked\r\n\r\n";
    request += size;
    request += "\r\nhello\r\n0\r\n\r\n";
    const std::string answer = SendRaw(address, kEntryPort, request);
    Expect(answer.rfind("HTTP/1.1 400", 0) == 0, size + " -> " + answer.substr(0, 40));
  }
  Expect(target.Requests() == 0);
}

namespace {

/// A target that answers with the length of the body that it was sent.
scripted_target::answer CountedBody(const std::string& head) {
  const std::string text = head.find("chunked") == std::string::npos ? "counted" : "chunked";
  return {"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n" + text, true};
}

/// A body of numbered chunks, each told apart from its neighbours.
std::string Chunked(std::size_t chunks, std::size_t bytes) {
  std::string body;
  char size[32];
  for (std::size_t i = 0; i < chunks; ++i) {
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes);
    body += size + std::string(bytes, static_cast<char>('a' + i % 26)) + "\r\n";
  }
  return "POST /holds/1 HTTP/1.1\r\nHost: slotboard\r\nTransfer-Encoding: chunked\r\n\r\n" + body +
         "0\r\n\r\n";
}

}  // namespace

Test(wire, of_a_long_body_in_chunks_arrives_whole) {
  fleet subject({.subnet = 168, .vms = 1});
  const std::string address = subject.Addresses().front();
  subject.Start();
  Expect(subject.Put(address, SlotboardDocument(), 0).status == 200);
  subject.AwaitInForceEverywhere(1);
  subject.AwaitTargets(address, 1);
  // Beyond what is kept so that it can be sent twice, and not a whole number of blocks.
  const std::string answer = SendRaw(address, kEntryPort, Chunked(41, 9'001));
  Expect(answer.find("\"body_bytes\":" + std::to_string(41 * 9'001)) != std::string::npos, answer);
}

Test(wire, of_a_short_body_in_chunks_is_passed_on_with_its_length) {
  fleet subject({.subnet = 128, .vms = 1, .targets = false});
  const std::string address = subject.Addresses().front();
  const scripted_target target(address, CountedBody);
  StartScripted(subject);
  const std::string answer = SendRaw(address, kEntryPort, Chunked(3, 100));
  Expect(answer.find("counted") != std::string::npos, answer);
}

Test(wire, with_a_header_too_large_answers_431) {
  fleet subject({.subnet = 112, .vms = 1, .targets = false});
  subject.Start();
  const std::string answer =
      SendRaw(subject.Addresses().front(), kEntryPort,
              "GET / HTTP/1.1\r\nHost: slotboard\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n");
  Expect(answer.rfind("HTTP/1.1 431", 0) == 0, answer.substr(0, 40));
}

Test(wire, with_a_body_too_large_answers_413) {
  fleet subject({.subnet = 116,
                 .vms = 1,
                 .daemon_extra = R"(, "proxy": {"body_bytes": 1000})",
                 .targets = false});
  subject.Start();
  const std::string answer =
      SendRaw(subject.Addresses().front(), kEntryPort,
              "POST / HTTP/1.1\r\nHost: slotboard\r\nContent-Length: 2000\r\n\r\n");
  Expect(answer.rfind("HTTP/1.1 413", 0) == 0, answer.substr(0, 40));
}

Test(wire, with_a_header_that_dawdles_answers_408) {
  fleet subject({.subnet = 120,
                 .vms = 1,
                 .daemon_extra = R"(, "proxy": {"header_timeout_ms": 300})",
                 .targets = false});
  subject.Start();
  const std::string answer =
      SendRaw(subject.Addresses().front(), kEntryPort, "GET / HTTP/1.1\r\nHost:");
  Expect(answer.empty() || answer.rfind("HTTP/1.1 408", 0) == 0, answer.substr(0, 40));
}

Test(wire, with_requests_sent_ahead_answers_them_in_order) {
  fleet subject({.subnet = 124, .vms = 1, .targets = false});
  const std::string address = subject.Addresses().front();
  const scripted_target target(address, [](const std::string& head) {
    const std::string path = PathOf(head);
    return scripted_target::answer{
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(path.size()) + "\r\n\r\n" + path,
        true, path == "/first" ? 200 : 0};
  });
  StartScripted(subject);
  const std::string answers = SendRaw(address, kEntryPort,
                                      "GET /first HTTP/1.1\r\nHost: slotboard\r\n\r\n"
                                      "GET /second HTTP/1.1\r\nHost: slotboard\r\n\r\n");
  const auto first = answers.find("/first");
  const auto second = answers.find("/second");
  Expect(first != std::string::npos && second != std::string::npos && first < second, answers);
}
