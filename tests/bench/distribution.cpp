#include "configurationinstance.h"
#include "logging/eventlog.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <limits>
#include <sstream>

#include <fmt/format.h>

/*
 * Measures the distribution of a new configuration to many processes. Each is simulated by an instance with its own
 * frame server and loopback connections; the key-value service is in memory and counts its calls.
 */

namespace
{

using namespace briarhinge;
using namespace briarhinge::config;
using tests::FakeKeyValue;
using Instance = tests::ConfigurationInstance;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t zoneCount = 7;
constexpr int revisions = 10;
/** Time for connections and pending requests to be established before the first change. */
constexpr std::chrono::seconds settleTime{5};
constexpr std::chrono::milliseconds revisionInterval{1000};
constexpr std::chrono::seconds idleTime{10};
constexpr std::chrono::seconds changeTimeout{30};

/** Counts the bytes of the requests between instances. */
class ByteCount
{
public:
    void add(const wire::FrameT &frame)
    {
        m_bytes += wire::encodeFrame(frame).size();
    }

    std::uint64_t value() const
    {
        return m_bytes;
    }

private:
    std::atomic<std::uint64_t> m_bytes{0};
};

std::uint64_t countCalls(const FakeKeyValue &keyValue)
{
    return keyValue.reads + keyValue.writes + keyValue.watches;
}

Proposal makeProposal(int index, const std::string &declaration)
{
    Proposal proposal;
    proposal.who = "bench";
    proposal.what = "apply";
    proposal.expected = base::Revision(static_cast<std::uint64_t>(index));
    proposal.nonce = std::to_string(index);
    proposal.declaration = declaration;
    return proposal;
}

/** Submits a revision. @return the time until the last instance received it */
std::chrono::microseconds measureChange(RevisionStore<FakeKeyValue> &store, int index, const std::string &declaration,
                                        const std::vector<std::unique_ptr<Instance>> &instances)
{
    const auto begin = SteadyClock::now();
    store.propose(makeProposal(index, declaration));
    for (const auto &instance : instances) {
        while (!instance->hasRevision(static_cast<std::uint64_t>(index) + 1)) {
            if (SteadyClock::now() - begin > changeTimeout) {
                std::cerr << fmt::format("{} does not have revision {}\n", instance->self().name, index + 1);
                std::exit(EXIT_FAILURE);
            }
            std::this_thread::sleep_for(std::chrono::microseconds(200));
        }
    }
    return std::chrono::duration_cast<std::chrono::microseconds>(SteadyClock::now() - begin);
}

void measure(const std::string &name, std::size_t count, const std::string &declaration,
             const DistributionOptions &options)
{
    constexpr std::size_t ioThreads = 4;
    wire::IoThreads threads(ioThreads);
    FakeKeyValue keyValue;
    logging::EventLog log("bench-distribution");
    ByteCount bytes;
    std::vector<std::unique_ptr<Instance>> instances;
    std::vector<Peer> peers;
    for (std::size_t i = 0; i < count; ++i) {
        instances.push_back(std::make_unique<Instance>(fmt::format("vm-{}", i), fmt::format("zone-{}", i % zoneCount),
                                                       threads, keyValue, log, options, [&bytes](wire::FrameT &frame) {
                                                           bytes.add(frame);
                                                       }));
        peers.push_back(instances.back()->self());
    }
    for (const auto &instance : instances) {
        instance->start(peers);
    }
    std::this_thread::sleep_for(settleTime);
    const std::uint64_t idleCalls = countCalls(keyValue);
    const std::uint64_t idleBytes = bytes.value();
    std::this_thread::sleep_for(idleTime);
    const double callsPerSecond = static_cast<double>(countCalls(keyValue) - idleCalls) / idleTime.count();
    const double bytesPerSecond =
        static_cast<double>(bytes.value() - idleBytes) / idleTime.count() / static_cast<double>(count);
    RevisionStore<FakeKeyValue> store(keyValue);
    std::vector<double> milliseconds;
    const std::uint64_t changeCalls = countCalls(keyValue);
    for (int i = 0; i < revisions; ++i) {
        milliseconds.push_back(static_cast<double>(measureChange(store, i, declaration, instances).count()) / 1000);
        std::this_thread::sleep_for(revisionInterval);
    }
    const double changes = static_cast<double>(countCalls(keyValue) - changeCalls);
    const double idleShare = callsPerSecond * revisions * (std::chrono::duration<double>(revisionInterval).count());
    std::sort(milliseconds.begin(), milliseconds.end());
    std::cout << fmt::format("{},{},{},{:.1f},{:.1f},{:.1f},{:.1f},{:.0f}\n", name, count, declaration.size(),
                             milliseconds[milliseconds.size() / 2], milliseconds.back(), callsPerSecond,
                             (changes - idleShare) / revisions, bytesPerSecond)
              << std::flush;
    // Each stop blocks until a watch returns, so all instances are stopped in parallel.
    std::vector<std::jthread> stopping;
    stopping.reserve(instances.size());
    for (const auto &instance : instances) {
        stopping.emplace_back([&instance] {
            instance->stop();
        });
    }
    stopping.clear();
    threads.stop();
}

std::string readFile(const char *path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

}

int main(int argc, char **argv)
{
    if (argc < 3) {
        std::cerr << "usage: bench-distribution DECLARATION COUNT...\n";
        return 2;
    }
    const std::string declaration = readFile(argv[1]);
    std::cout << "way,processes,document_bytes,last_ms_p50,last_ms_max,idle_calls_per_s,calls_per_change,"
                 "idle_request_bytes_per_process_per_s\n";
    for (int i = 2; i < argc; ++i) {
        const std::size_t count = std::strtoul(argv[i], nullptr, 10);
        DistributionOptions allWatch;
        allWatch.watchersPerZone = std::numeric_limits<std::size_t>::max();
        measure("every-process-watches", count, declaration, allWatch);
        measure("priority-lists", count, declaration, DistributionOptions{});
    }
    return 0;
}
