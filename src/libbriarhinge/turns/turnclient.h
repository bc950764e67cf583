#pragma once

#include "base/ids.h"
#include "base/memorybudget.h"
#include "base/units.h"
#include "logging/eventlog.h"
#include "turns/budgetledger.h"
#include "turns/storegroup.h"
#include "turns/storepeers.h"
#include "turns/turntree.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace briarhinge::turns
{

/** A turn that is about to start. */
struct TurnStart
{
    base::ProgramId program;
    AttemptId attempt;
    /** Maximum number of tokens that the attempt may generate. */
    base::Tokens maxTokens;
    /** Token budget of the whole program, if it has one. */
    std::optional<base::Tokens> budget;
    /** The turn that this one continues; empty for the first turn of a chain. */
    TurnId previous;
    /** Size of the input if the turn will be stored, otherwise 0. */
    std::size_t inputBytes = 0;
    /** How long the route promises to retain turns; zero if it stores none. */
    base::Milliseconds retention{0};
};

/** The turn may run. */
struct TurnGranted
{
    /** Inputs and outputs of the preceding turns of the chain. */
    std::string prompt;
    /** Id of the runner whose engine ran the previous turn; empty if unknown. */
    std::string engine;
    /** The reservation to settle with end(); empty if nothing was reserved. */
    AttemptId reservation;
    /** Whether another attempt of the program runs, or has generated tokens; only known with a reservation. */
    bool isProgramUnderWay = false;
    /** The memory of the prompt. */
    std::shared_ptr<base::MemoryBudget::Share> memory = nullptr;
};

/** The program's remaining budget does not cover the turn. */
struct BudgetSpent
{
};

/** The previous turn does not exist; confirmed by a read quorum. */
struct NoSuchTurn
{
};

/** There is no room for the turn or for its chain; the turn must not run. */
struct NoRoom
{
    std::string reason;
};

/** The turn stores could not decide; the turn must not run. */
struct TurnsUnavailable
{
    std::string reason;
};

/** Outcome of TurnClient::begin(). */
using TurnStartResult = std::variant<TurnGranted, BudgetSpent, NoSuchTurn, NoRoom, TurnsUnavailable>;

/** The end of an attempt at a turn. */
struct TurnEnd
{
    base::ProgramId program;
    /** Reservation returned by begin(); empty if nothing was reserved. */
    AttemptId reservation;
    /** Number of generated tokens. */
    base::Tokens spent;
    /** The turn, if it completed and has to be stored. */
    std::optional<Turn> turn;
    /** How long the route promises to retain turns; zero if it stores none. */
    base::Milliseconds retention{0};
};

/**
 * Reserves budgets and stores turns at the turn store group. What a quorum has acknowledged survives as many disk
 * losses as the group tolerates. All methods must be called on one thread.
 */
class TurnClient
{
public:
    /** Receives the outcome of begin(); called once. */
    using StartHandler = std::function<void(TurnStartResult)>;
    /** Receives whether the end is durable; called once. */
    using EndHandler = std::function<void(bool isDurable)>;

    /**
     * @param context runs the timers and connections
     * @param peers connections to the turn stores
     * @param rule quorum sizes
     * @param memory the memory for chains
     * @param zone availability zone of this process; chains are requested from the turn store in this zone first
     * @param log receives adopted groups, unreachable turn stores and turns that could not be stored
     */
    TurnClient(boost::asio::io_context &context, StorePeers &peers, QuorumRule rule, const base::MemoryBudget &memory,
               base::ZoneName zone, logging::EventLog &log);
    ~TurnClient();

    /** Adopts @p group if its epoch is newer than that of the present group. */
    void setGroup(const StoreGroup &group);

    /** @return whether a write quorum of a known group responds, directly or through a relay */
    bool isReady() const;

    /** @return whether a member of the group listens at @p address */
    bool isMember(const wire::Address &address) const;

    /** @param disk a disk @return the member of the group that has it, if there is one */
    std::optional<StoreMember> member(const DiskId &disk) const;

    /** @return number of copies of a turn that are in memory while it is being stored */
    std::size_t copiesWhileStoring() const;

    /** @return the disks of all members of the group */
    std::vector<DiskId> disks() const;

    /**
     * Sends a request to a member. If this process can't reach a quorum and the member does not respond, the request goes
     * through a relay, and also directly until a relay has delivered a response.
     *
     * @param member the member
     * @param message the request
     * @param onReply receives the response or an error
     */
    void sendToStore(const StoreMember &member, wire::MessageUnion message, StorePeers::ReplyHandler onReply);

    /** Sends a probe to each member that did not respond to its last request. */
    void probe();

    /**
     * Reserves the budget of a turn and looks up the chain that it continues.
     *
     * @param start the turn
     * @param onDone receives the outcome
     */
    void begin(const TurnStart &start, StartHandler onDone);

    /**
     * Settles the reservation of an attempt and stores its turn, if there is one.
     *
     * @param end the end of the attempt
     * @param timeLimit how long the request is retried
     * @param onDone receives whether the end is durable
     */
    void end(const TurnEnd &end, base::Milliseconds timeLimit, EndHandler onDone);

private:
    class BeginOperation;
    class EndOperation;

    using ReplyHandler = StorePeers::ReplyHandler;

    void sendDirectly(const StoreMember &member, wire::MessageUnion message, ReplyHandler onReply);
    void sendBothWays(const StoreMember &member, wire::MessageUnion message, ReplyHandler onReply);
    void sendByRelay(const StoreMember &member, wire::MessageUnion message, ReplyHandler onReply);
    wire::MessageUnion probeMessage() const;
    /** Whether fewer members than a write quorum respond to this process directly. */
    bool isIsolated() const;
    void recordReply(const StoreMember &member, const wire::ChannelReply &reply);
    /** Settles a reservation in the background. */
    void releaseReservation(const base::ProgramId &program, const AttemptId &reservation,
                            base::Tokens spent = base::Tokens(0));

    boost::asio::io_context &m_context;
    StorePeers &m_peers;
    const QuorumRule m_rule;
    const base::MemoryBudget m_memory;
    const base::ZoneName m_zone;
    logging::EventLog &m_log;
    StoreGroup m_group;
    /** Disks of the members that did not respond to their last request. */
    RespondingDisks m_unresponsive;
    /** Time at which a relay last delivered a response of a member. */
    std::chrono::steady_clock::time_point m_lastRelayReply;
    /** Turns that this process has recently stored. */
    TurnTree m_cache;
};

}
