#include "entry/requestrouter.h"

#include "entry/ownermap.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace briarhinge;

namespace
{

constexpr std::size_t partitions = 1024;
constexpr base::Milliseconds neverPaused{600'000};
constexpr base::Milliseconds longWait{60'000};

/** A table in which one entry owns every partition. */
state::PartitionTable singleOwnerTable(const state::EntryInfo &entry)
{
    state::PartitionTable table;
    table.entries[entry.incarnation] = entry;
    table.partitions.assign(partitions, {entry.incarnation, {entry.incarnation}});
    return table;
}

}

TEST_GROUP(RequestRouter)
{
    boost::asio::io_context context;
    const state::EntryInfo self{base::ProcessId("entry-0.1"), "entry-0", {"127.0.0.1", 1}};
    entry::OwnerMap owners{self, neverPaused};
    std::vector<api::ClientSink> localSinks;

    void setup() override
    {
        owners.setTable(singleOwnerTable(self));
    }
};

TEST(RequestRouter, LossReportedTwiceCausesOneAttempt)
{
    entry::RequestRouter router(
        context, owners, longWait,
        [](const wire::Address &) {
            return nullptr;
        },
        [this](const api::ClientRequest &, const api::ClientSink &sink) {
            localSinks.push_back(sink);
        });
    api::ClientRequest request;
    request.verb = api::Verb::MakeCall;
    request.program = base::ProgramId("order-1");
    request.number = base::CallNumber(1);
    std::string streamed;
    api::ClientSink sink;
    sink.chunk = [&](std::uint64_t, const std::string &text) {
        streamed += text;
    };
    sink.reply = [](const api::ClientReply &) {};
    router.route(request, sink);
    localSinks.at(0).reply({api::statusMisdirected, {}, std::nullopt});
    localSinks.at(0).reply({api::statusMisdirected, {}, std::nullopt});
    context.run();
    LONGS_EQUAL(2, localSinks.size());
    localSinks.back().chunk(0, "whole");
    STRCMP_EQUAL("whole", streamed.c_str());
}
