#pragma once

#include "logging/eventlog.h"
#include "turns/storepeers.h"

#include <functional>
#include <memory>

namespace briarhinge::turns
{

/**
 * Copies what other turn stores keep into this one, or what this one keeps into others, while the group changes. The
 * stores move to the group of the change first, so that nothing is added to the old set behind the copy.
 */
class StateFetch : public std::enable_shared_from_this<StateFetch>
{
public:
    /** Called once with whether the copy is whole. */
    using DoneHandler = std::function<void(bool isWhole)>;

    /**
     * @param peers asks the other stores
     * @param store what this store keeps
     * @param rule how many members have to be asked
     * @param log gets the outcome
     */
    StateFetch(StorePeers &peers, TurnStore &store, QuorumRule rule, logging::EventLog &log);

    /** Fetches everything from a read quorum of the current set. @param onDone gets the outcome */
    void fetch(DoneHandler onDone);

    /** Gives everything to every member of the next set. @param onDone gets the outcome */
    void push(DoneHandler onDone);

private:
    void fetchPage(const StoreMember &member, const std::string &after);
    void pushPage(const StoreMember &member, const std::string &after);
    void memberDone(const StoreMember &member, bool isWhole);

    StorePeers &m_peers;
    TurnStore &m_store;
    const QuorumRule m_rule;
    logging::EventLog &m_log;
    StoreGroup m_group;
    Answers m_copied;
    std::size_t m_open = 0;
    std::size_t m_turns = 0;
    bool m_isPush = false;
    DoneHandler m_onDone;
};

}
