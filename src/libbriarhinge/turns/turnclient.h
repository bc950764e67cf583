#pragma once

#include "base/ids.h"
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

#include <boost/asio/io_context.hpp>

namespace briarhinge::turns
{

/** A turn that is about to run. */
struct TurnStart
{
    base::ProgramId program;
    AttemptId attempt;
    /** Most tokens that the attempt may hand out. */
    base::Tokens most;
    /** Tokens of the whole program; nothing when it has no budget. */
    std::optional<base::Tokens> budget;
    /** The turn that it continues; empty at the start of a chain. */
    TurnId previous;
};

/** The turn may run. */
struct TurnGranted
{
    /** Everything that was said before it in its chain. */
    std::string prompt;
    /** Engine of the turn that it continues; empty when unknown. */
    std::string engine;
    /** What end() settles; empty when nothing was reserved. */
    AttemptId reservation;
};

/** The program's budget has no room for the turn. */
struct BudgetSpent
{
};

/** No turn has the id that the caller wants to continue, for certain. */
struct NoSuchTurn
{
};

/** It can't be told for certain; nothing was run. */
struct TurnsUnavailable
{
    std::string reason;
};

/** Whether a turn may run. */
using TurnStartResult = std::variant<TurnGranted, BudgetSpent, NoSuchTurn, TurnsUnavailable>;

/** A turn that has ended. */
struct TurnEnd
{
    base::ProgramId program;
    /** As given by begin; empty when nothing was reserved. */
    AttemptId reservation;
    /** Tokens that were handed out. */
    base::Tokens spent;
    /** The turn, if it ended whole and is to be kept. */
    std::optional<Turn> turn;
};

/**
 * Reserves budgets and keeps turns at the group of turn stores: what a quorum has acknowledged outlives the losses that
 * the group bears. One thread.
 */
class TurnClient
{
public:
    /** Gets the outcome of begin; called once. */
    using StartHandler = std::function<void(TurnStartResult)>;
    /** Gets whether the end is durable; called once. */
    using EndHandler = std::function<void(bool isKept)>;

    /**
     * @param context runs the timers and connections
     * @param peers asks the turn stores
     * @param rule how many losses the group bears
     * @param zone the zone of this process; its turn store is asked for chains first
     * @param log gets what could not be kept
     */
    TurnClient(boost::asio::io_context &context, StorePeers &peers, QuorumRule rule, base::ZoneName zone,
               logging::EventLog &log);
    ~TurnClient();

    /** Takes in a group, unless it is older than the present one. @param group the group */
    void setGroup(const StoreGroup &group);

    /** @return whether a group is known and enough of its members answer, directly or by a relay, to keep turns */
    bool isReady() const;

    /** @param address an address @return whether a member of the group listens there */
    bool isMember(const wire::Address &address) const;

    /** Asks members that did not answer last whether they do again. */
    void probe();

    /**
     * Reserves the budget of a turn and finds its chain.
     *
     * @param start the turn
     * @param onDone gets the outcome; not called when the caller has gone, see cancel
     */
    void begin(const TurnStart &start, StartHandler onDone);

    /**
     * Settles a turn and keeps it.
     *
     * @param end the end
     * @param timeLimit how long it is tried
     * @param onDone gets whether it is durable
     */
    void end(const TurnEnd &end, base::Milliseconds timeLimit, EndHandler onDone);

private:
    class BeginRun;
    class EndRun;

    using ReplyHandler = StorePeers::ReplyHandler;

    /**
     * Asks a member. While this process is cut off from the group and the member does not answer, it is asked by a relay;
     * both ways at once until a relay has answered.
     */
    void askStore(const StoreMember &member, wire::MessageUnion message, ReplyHandler onReply);
    void askDirectly(const StoreMember &member, wire::MessageUnion message, ReplyHandler onReply);
    void askBothWays(const StoreMember &member, wire::MessageUnion message, ReplyHandler onReply);
    void askByRelay(const StoreMember &member, wire::MessageUnion message, ReplyHandler onReply);
    wire::MessageUnion probeMessage() const;
    /** Whether too few members answer this process itself. */
    bool isCutOff() const;
    void noteAnswer(const StoreMember &member, const wire::ChannelReply &reply);
    void releaseInBackground(const base::ProgramId &program, const AttemptId &reservation);

    boost::asio::io_context &m_context;
    StorePeers &m_peers;
    const QuorumRule m_rule;
    const base::ZoneName m_zone;
    logging::EventLog &m_log;
    StoreGroup m_group;
    /** Members that did not answer last. */
    Answers m_silent;
    /** When a relay last passed on the answer of a member. */
    std::chrono::steady_clock::time_point m_relayWorked;
    /** Turns that this process has made or read lately. */
    TurnTree m_cache;
};

}
