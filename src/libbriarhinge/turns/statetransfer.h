#pragma once

#include "logging/eventlog.h"
#include "turns/storepeers.h"

#include <functional>
#include <memory>
#include <vector>

namespace briarhinge::turns
{

/**
 * Copies the state of other turn stores to this one, or of this one to others, during a change of the group. The stores
 * adopt the changed group first, so that no write can reach the old set alone after it was copied.
 */
class StateTransfer : public std::enable_shared_from_this<StateTransfer>
{
public:
    /** Receives whether the copy is complete; called once. */
    using DoneHandler = std::function<void(bool isComplete)>;

    /**
     * @param peers connections to the other turn stores
     * @param store state of this turn store
     * @param rule quorum sizes
     * @param log receives the outcome
     */
    StateTransfer(StorePeers &peers, TurnStore &store, QuorumRule rule, logging::EventLog &log);

    /** Fetches the state from the current set; complete with a read quorum. @param onDone receives the outcome */
    void fetch(DoneHandler onDone);

    /** Sends the state to the next set; complete if all its members stored it. @param onDone receives the outcome */
    void push(DoneHandler onDone);

    /** Fetches the state from the current set and sends it to the next set. @param onDone receives the outcome */
    void spread(DoneHandler onDone);

private:
    /** The last record of a page: a turn or, before the first turn, a program. Both are empty before the first page. */
    struct PagePosition
    {
        std::string program;
        std::string turn;
    };

    static PagePosition lastOf(const wire::StatePageT &page);
    void begin(const std::vector<StoreMember> &members, bool isPush, DoneHandler onDone);
    void fetchPage(const StoreMember &member, const PagePosition &after);
    void pushPage(const StoreMember &member, const PagePosition &after);
    void finishMember(const StoreMember &member, bool isComplete);
    void finish();

    StorePeers &m_peers;
    TurnStore &m_store;
    const QuorumRule m_rule;
    logging::EventLog &m_log;
    StoreGroup m_group;
    RespondingDisks m_copiedDisks;
    /** Members whose copy has not finished yet. */
    std::size_t m_pendingMembers = 0;
    std::size_t m_turnCount = 0;
    bool m_isPush = false;
    DoneHandler m_onDone;
};

}
