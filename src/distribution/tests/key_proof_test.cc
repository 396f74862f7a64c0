// The proof behind the revocation of keys in a fleet without a network. The daemons run on real
// timers, so nothing here depends on how fast they are: each test waits for an event, and checks
// all along that no daemon admits by knowledge that is older than the bound.

#include "distribution/key_proof_controller.h"

#include "distribution/tests/in_process_fleet.h"

#include <criterion/criterion.h>

namespace {

namespace asio = boost::asio;

using catkinmoor::boot_time_point;
using catkinmoor::BootNow;
using catkinmoor::confirm_reply;
using catkinmoor::confirm_request;
using catkinmoor::distribution_settings;
using catkinmoor::document_edit;
using catkinmoor::kProofCandidates;
using catkinmoor::member_ptr;
using catkinmoor::member_record;
using catkinmoor::milliseconds;
using catkinmoor::Readers;
using catkinmoor::distribution_tests::in_process_peers;
using catkinmoor::distribution_tests::node;

constexpr milliseconds kBound{1'500};
constexpr int kDataCentres = 2;
constexpr const char* kService = "slotboard";

member_record RecordOf(int index) {
  member_record record = catkinmoor::distribution_tests::RecordOf(
      "vm-" + std::to_string(index), static_cast<std::uint16_t>(index + 1));
  record.data_centre = "d" + std::to_string(index % kDataCentres);
  return record;
}

std::string DocumentText(std::uint64_t version) {
  return R"({"schema": 1, "service": "slotboard", "owner": "fitting", "routes": [{"name": "a",
             "match": {"prefix": "/"}, "class": "browse", "repeatable": true, "deadline_ms": )" +
         std::to_string(1'000 + version) + "}]}";
}

/// Daemons of one region, in two data centres. A version stands for one that removes keys.
class proving_fleet {
  asio::io_context context_;
  catkinmoor::memory_platform platform_;
  distribution_settings settings_;
  std::uint64_t version_ = 0;
  boot_time_point acknowledged_at_{};
  bool writing_ = false;

 public:
  explicit proving_fleet(int size) {
    settings_.source_poll_interval = milliseconds(100);
    settings_.max_source_age = milliseconds(0);
    settings_.key_revocation_bound = kBound;
    peers.max_spread_messages = INT_MAX;
    for (int i = 0; i < size; ++i) Add();
  }

  ~proving_fleet() {
    for (node& each : nodes) {
      each.source.Stop();
      each.key_proof.Stop();
    }
    context_.run();
  }
  proving_fleet(const proving_fleet&) = delete;
  proving_fleet& operator=(const proving_fleet&) = delete;

  node& Add() {
    const member_record record = RecordOf(static_cast<int>(nodes.size()));
    node& added = nodes.emplace_back(context_, platform_, peers, record, settings_);
    for (node& each : nodes) {
      each.members.Merge(record);
      added.members.Merge(each.self.Get());
    }
    asio::co_spawn(context_, added.source.Run(), asio::detached);
    asio::co_spawn(context_, added.key_proof.Run(), asio::detached);
    return added;
  }

  node& NodeOf(const member_ptr& member) {
    for (node& each : nodes) {
      if (each.self.Get().vm == member->vm) return each;
    }
    std::abort();
  }

  /// The daemons that others ask, in the order in which they do.
  std::vector<node*> Candidates() {
    std::vector<node*> candidates;
    for (const auto& each : Readers(*nodes[0].members.View(), "r", kProofCandidates)) {
      candidates.push_back(&NodeOf(each));
    }
    return candidates;
  }

  /// Has the store refuse all daemons but some.
  void RefuseAllBut(const std::set<const node*>& served) {
    for (node& each : nodes) each.gate.refused = !served.contains(&each);
  }

  static bool Holds(const node& subject, std::uint64_t version) {
    const auto held = subject.documents.Held(kService);
    return held != nullptr && held->source.version >= version;
  }

  static bool IsFresh(const node& subject) { return subject.key_proofs.IsFresh(BootNow()); }

  bool AreFresh() {
    return std::all_of(nodes.begin(), nodes.end(), [](const node& each) { return IsFresh(each); });
  }

  /// Has the store acknowledge a new version.
  void Change() {
    ++version_;
    writing_ = true;
    document_edit edit{kService, version_ - 1, DocumentText(version_), "a",
                       std::to_string(version_)};
    asio::co_spawn(context_, nodes[0].repository.Put(std::move(edit)),
                   [this](const std::exception_ptr&, const auto&) {
                     writing_ = false;
                     acknowledged_at_ = BootNow();
                   });
    while (writing_) context_.run_one();
  }

  /// Runs the fleet until a condition holds. Checks that a daemon without the newest version admits
  /// nothing once the bound has passed since its acknowledgement.
  template <typename Condition>
  void RunUntil(Condition condition) {
    while (!condition()) {
      context_.run_one();
      for (const node& each : nodes) {
        const bool lacks_version = version_ > 0 && !Holds(each, version_);
        if (!lacks_version) continue;
        cr_assert(each.key_proofs.ValidUntil() < acknowledged_at_ + kBound);
      }
    }
  }

  void RunUntilHeld() {
    RunUntil([&] {
      return std::all_of(nodes.begin(), nodes.end(),
                         [&](const node& each) { return Holds(each, version_); });
    });
  }

  /// Runs the fleet for longer than any proof of now lasts, with a check after each event.
  template <typename Check>
  void RunPastBound(Check check) {
    const boot_time_point end = BootNow() + kBound + kBound / 4;
    RunUntil([&] {
      check();
      return BootNow() >= end;
    });
  }

  in_process_peers peers;
  std::deque<node> nodes;
};

}  // namespace

// The common case: only the readers read the source, and all others are fresh by asking them.
Test(key_proof, with_working_readers_is_kept_without_reads_by_others, .timeout = 60) {
  proving_fleet subject(12);
  subject.Change();
  subject.RunUntilHeld();
  subject.RunUntil([&] { return subject.AreFresh(); });
  // Daemons that began without any proof read once and stop when they hear a reader.
  subject.RunPastBound([] {});
  std::vector<int> reads;
  for (const node& each : subject.nodes) reads.push_back(each.gate.reads);
  subject.RunPastBound([] {});
  const auto candidates = subject.Candidates();
  for (std::size_t i = 0; i < reads.size(); ++i) {
    const node& each = subject.nodes[i];
    const bool is_reader = &each == candidates[0] || &each == candidates[1];
    if (!is_reader) cr_assert(each.gate.reads <= reads[i] + 2, "daemon %zu reads the source", i);
  }
  cr_assert(subject.AreFresh());
}

// Failure: the store refuses the readers while it serves others, and keys are removed.
Test(key_proof, with_the_readers_refused_by_the_store_is_found_by_others, .timeout = 60) {
  proving_fleet subject(12);
  subject.Change();
  subject.RunUntilHeld();
  subject.RunUntil([&] { return subject.AreFresh(); });
  const auto candidates = subject.Candidates();
  candidates[0]->gate.refused = true;
  candidates[1]->gate.refused = true;
  subject.Change();
  subject.RunUntilHeld();
  subject.RunPastBound([] {});
  subject.RunUntil([&] { return subject.AreFresh(); });
}

// Failure: the store refuses one vm that no other daemon reaches either. It must stop admitting.
Test(key_proof, of_a_daemon_cut_from_all_others_and_the_store_ends, .timeout = 60) {
  proving_fleet subject(8);
  subject.Change();
  subject.RunUntilHeld();
  subject.RunUntil([&] { return subject.AreFresh(); });
  node& lost = subject.nodes[3];
  lost.gate.refused = true;
  subject.peers.isolated.insert(lost.self.Get().vm);
  subject.Change();
  subject.RunUntil([&] { return !proving_fleet::IsFresh(lost); });
  lost.gate.refused = false;
  subject.peers.isolated.clear();
  subject.RunUntil([&] { return proving_fleet::IsFresh(lost); });
  cr_assert(proving_fleet::Holds(lost, 2));
}

// Failure: a cut separates one daemon from all others, but not from the store.
Test(key_proof, of_a_daemon_cut_from_all_others_comes_from_the_store, .timeout = 60) {
  proving_fleet subject(8);
  subject.Change();
  subject.RunUntilHeld();
  subject.RunUntil([&] { return subject.AreFresh(); });
  node& alone = subject.nodes[5];
  subject.peers.isolated.insert(alone.self.Get().vm);
  subject.Change();
  subject.RunUntil([&] { return proving_fleet::Holds(alone, 2); });
  subject.RunPastBound([] {});
  subject.RunUntil([&] { return proving_fleet::IsFresh(alone); });
}

// Failure: the store is down for all. Nobody admits past the bound, and a proof that passes between
// daemons does not grow younger.
Test(key_proof, with_the_store_down_ends_everywhere_and_returns_with_it, .timeout = 60) {
  proving_fleet subject(8);
  subject.Change();
  subject.RunUntilHeld();
  subject.RunUntil([&] { return subject.AreFresh(); });
  for (node& each : subject.nodes) each.gate.refused = true;
  const boot_time_point down = BootNow();
  subject.RunPastBound([&] {
    for (const node& each : subject.nodes) {
      cr_assert(each.key_proofs.ValidUntil() < down + kBound);
    }
  });
  cr_assert(std::none_of(subject.nodes.begin(), subject.nodes.end(), proving_fleet::IsFresh));
  for (node& each : subject.nodes) each.gate.refused = false;
  subject.RunUntil([&] { return subject.AreFresh(); });
}

// Failure: the daemon that is asked first dies between the query and its answer. The next is asked
// in the same round, not in the next one.
Test(key_proof, with_the_asked_daemon_dying_comes_from_the_next, .timeout = 60) {
  constexpr std::uint64_t kRounds = 4;
  proving_fleet subject(8);
  subject.Change();
  subject.RunUntilHeld();
  subject.RunUntil([&] { return subject.AreFresh(); });
  const auto candidates = subject.Candidates();
  subject.peers.dying.insert(candidates[0]->self.Get().vm);
  subject.RefuseAllBut({candidates[0], candidates[1]});
  const auto count = [](const node& each, const char* outcome) {
    return each.metrics.CounterValue("catkinmoor_key_queries_total", {{"outcome", outcome}});
  };
  std::map<const node*, std::uint64_t> proved;
  for (const node& each : subject.nodes) proved[&each] = count(each, "proved");
  const node* asker = nullptr;
  subject.RunUntil([&] {
    for (const node& each : subject.nodes) {
      if (&each != candidates[1] && count(each, "unanswered") >= kRounds) asker = &each;
    }
    return asker != nullptr;
  });
  cr_assert(count(*asker, "proved") - proved[asker] >= kRounds - 1);
}

// Failure: the answers of the store take long. They count from when they were asked for.
Test(key_proof, of_delayed_answers_of_the_store_is_no_younger_than_its_query, .timeout = 60) {
  proving_fleet subject(6);
  for (node& each : subject.nodes) each.gate.answer_delay = kBound / 4;
  subject.Change();
  subject.RunUntilHeld();
  subject.RunUntil([&] { return subject.AreFresh(); });
  const boot_time_point newest = BootNow() - kBound / 4;
  for (const node& each : subject.nodes) cr_assert(*each.key_proofs.ProvedAt() <= newest);
}

// Failure: the same for the answers of other daemons, where these are the only proof.
Test(key_proof, of_delayed_answers_of_daemons_is_no_younger_than_its_query, .timeout = 60) {
  proving_fleet subject(6);
  const auto candidates = subject.Candidates();
  subject.RefuseAllBut({candidates[0], candidates[1]});
  subject.peers.answer_delay = kBound / 4;
  subject.Change();
  subject.RunUntilHeld();
  subject.RunUntil([&] { return subject.AreFresh(); });
  const boot_time_point newest = BootNow() - kBound / 4;
  for (const node& each : subject.nodes) {
    const bool reads = &each == candidates[0] || &each == candidates[1];
    cr_assert(reads || *each.key_proofs.ProvedAt() <= newest);
  }
}

// Failure: a daemon starts while the store refuses it, and has no proof of its own.
Test(key_proof, of_a_daemon_that_starts_in_the_gap_is_that_of_the_readers, .timeout = 60) {
  proving_fleet subject(6);
  subject.Change();
  subject.RunUntilHeld();
  subject.RunUntil([&] { return subject.AreFresh(); });
  node& added = subject.Add();
  added.gate.refused = true;
  cr_assert_not(proving_fleet::IsFresh(added));
  subject.RunUntil([&] { return proving_fleet::IsFresh(added); });
  // The answers that made it fresh were not counted before it held their documents.
  cr_assert(proving_fleet::Holds(added, 1));
}

// Failure: a vm is gone and its address belongs to another. Messages name whom they are for.
Test(key_proof, asked_of_another_vm_is_not_given) {
  asio::io_context context;
  catkinmoor::memory_platform platform;
  in_process_peers peers;
  distribution_settings settings;
  settings.key_revocation_bound = kBound;
  node subject(context, platform, peers, RecordOf(0), settings);
  subject.key_proofs.OnOwnRead(BootNow());
  const auto ask = [&](const std::string& recipient) {
    confirm_reply reply;
    asio::co_spawn(context, subject.key_proof.OnConfirm(confirm_request{"vm-2", recipient, 1}),
                   [&](const std::exception_ptr&, confirm_reply value) { reply = value; });
    context.restart();
    context.run();
    return reply;
  };
  cr_assert_not(ask("vm-1").known);
  const confirm_reply reply = ask("vm-0");
  cr_assert(reply.known && reply.reads_source);
}
