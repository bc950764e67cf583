#include "turns/chainrepair.h"

#include "turns/groupdecision.h"

#include <chrono>
#include <set>
#include <utility>

namespace briarhinge::turns
{

namespace
{

/** A turn is missing for this long before it is asked for, since its own request may just be on its way. */
constexpr base::Milliseconds checkInterval{500};
/** Pause after a page, which leaves the disks and the links to the requests of entries. */
constexpr base::Milliseconds pageInterval{100};
/** A page of half a megabyte takes 140 ms over the slowest link of 30 Mbit/s; a busy disk adds to that. */
constexpr base::Milliseconds pageTimeout{1500};
/** Most turns in one request. */
constexpr std::size_t maxTurns = 256;

}

ChainRepair::ChainRepair(boost::asio::io_context &context, StorePeers &peers, TurnStore &store, TurnServer &server,
                         logging::EventLog &log)
    : m_peers(peers)
    , m_store(store)
    , m_server(server)
    , m_log(log)
    , m_timer(context)
{
}

void ChainRepair::start()
{
    checkAfter(checkInterval);
}

void ChainRepair::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void ChainRepair::checkAfter(base::Milliseconds time)
{
    m_timer.expires_after(time);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            check();
        }
    });
}

void ChainRepair::check()
{
    const bool isFetching = containsDisk(m_store.group().current, m_store.disk()) && fetchMissing();
    updateMissing();
    if (!isFetching) {
        checkAfter(checkInterval);
    }
}

void ChainRepair::updateMissing()
{
    std::map<TurnId, RespondingDisks> missing;
    for (TurnId &id : m_store.missingTurns()) {
        const auto known = m_missing.find(id);
        missing.emplace(std::move(id), known == m_missing.end() ? RespondingDisks() : std::move(known->second));
    }
    m_missing = std::move(missing);
}

std::vector<std::string> ChainRepair::turnsToAsk(const DiskId &disk) const
{
    std::vector<std::string> ids;
    for (const auto &[id, disksWithout] : m_missing) {
        if (ids.size() == maxTurns) {
            break;
        }
        if (!disksWithout.contains(disk)) {
            ids.push_back(id.value());
        }
    }
    return ids;
}

bool ChainRepair::fetchMissing()
{
    if (m_missing.empty()) {
        return false;
    }
    auto members = m_store.group().members();
    std::erase_if(members, [this](const StoreMember &member) {
        return member.disk == m_store.disk();
    });
    for (std::size_t i = 0; i < members.size(); ++i) {
        const StoreMember &member = members[(m_requests + i) % members.size()];
        auto ids = turnsToAsk(member.disk);
        if (!ids.empty()) {
            ++m_requests;
            fetchFrom(member, std::move(ids));
            return true;
        }
    }
    return false;
}

void ChainRepair::fetchFrom(const StoreMember &member, std::vector<std::string> ids)
{
    wire::FetchStateT request;
    request.epoch = m_store.group().epoch.value();
    request.turns = ids;
    wire::MessageUnion message;
    message.Set(std::move(request));
    m_peers.sendRequest(member.address, std::move(message), pageTimeout,
                        [this, member, ids = std::move(ids)](const wire::ChannelReply &reply) {
                            if (m_isStopped) {
                                return;
                            }
                            const bool isMerged = mergePage(member, ids, reply);
                            updateMissing();
                            checkAfter(isMerged ? pageInterval : checkInterval);
                        });
}

bool ChainRepair::mergePage(const StoreMember &member, const std::vector<std::string> &ids,
                            const wire::ChannelReply &reply)
{
    const auto *frame = std::get_if<wire::FrameT>(&reply);
    const auto *page = frame == nullptr ? nullptr : frame->message.AsStatePage();
    if (page == nullptr || page->status != wire::StoreStatus::Done || page->disk != member.disk.value()) {
        return false;
    }
    const std::size_t turnsBefore = m_store.turnCount();
    const bool hasRoom = m_store.mergePage(*page, std::chrono::steady_clock::now());
    if (m_store.turnCount() > turnsBefore) {
        m_server.requestSync();
        m_log.write(logging::events::turnsRepaired,
                    {{"store", member.name.value()}, {"turns", m_store.turnCount() - turnsBefore}});
    }
    std::set<std::string> received;
    for (const auto &turn : page->turns) {
        received.insert(turn->id);
    }
    for (const std::string &id : ids) {
        // What did not fit into the page is asked for again.
        if (!page->more && !received.contains(id)) {
            m_missing[TurnId(id)].insert(member.disk);
        }
    }
    return hasRoom;
}

}
