#pragma once

#include "accounts/accountknowledge.h"
#include "base/memorybudget.h"
#include "dispatch/loadbalancer.h"
#include "dispatch/programadmission.h"
#include "dispatch/retrydelay.h"
#include "dispatch/returnschedule.h"
#include "dispatch/secondtries.h"
#include "forwarding/crashdetector.h"
#include "forwarding/exchangelog.h"
#include "forwarding/permitclient.h"
#include "forwarding/runnerconnectionpool.h"
#include "forwarding/unansweredattempts.h"
#include "forwarding/usageclient.h"
#include "placement/suspecttable.h"
#include "stages/routestage.h"
#include "stages/stopstage.h"
#include "turns/turnclient.h"

#include <cstddef>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace briarhinge::forwarding
{

/** State shared by all exchanges of an entry. */
struct ExchangeContext
{
    boost::asio::io_context &context;
    dispatch::LoadBalancer &balancer;
    const dispatch::ProgramAdmission &admission;
    RunnerConnectionPool &pool;
    PermitClient &permits;
    /** Keeps client accounts within their quotas. */
    UsageClient &usage;
    /** Decides on second tries of requests that may be repeated. */
    dispatch::SecondTries &secondTries;
    metrics::ExchangeMetrics &metrics;
    /** How far the known client accounts are the ones in force. */
    const accounts::AccountKnowledge &knowledge;
    /** Tells callers that runners with a limit have no place for when to come back. */
    dispatch::ReturnSchedule<requests::ServiceName> &returns;
    /** Returns the number of entries, including this one. */
    std::function<std::size_t()> entryCount;
    turns::TurnClient &turns;
    ExchangeLog &log;
    /** Computes the retry delay from the duration of faults of this entry's own dependencies. */
    dispatch::RetryDelay &retryDelay;
    /** Requests under which runners have crashed. */
    placement::SuspectTable &suspects;
    /** Attempts that ended in silence. */
    UnansweredAttempts &unanswered;
    /** Memory for what the exchanges hold besides the requests as they were received. */
    const base::MemoryBudget &memory;
    /** Called with each attempt whose connection was lost. */
    std::function<void(const LostAttempt &)> connectionLost;
    /** Called with each attempt in whose answer the runner says that it leaves, and the time since it was sent. */
    std::function<void(const dispatch::Placement &, base::Milliseconds)> runnerLeaves;
    /** Called with what each answer says of the rate at which its runner takes requests. */
    std::function<void(const dispatch::Placement &, const dispatch::RateStatement &)> rateStated;
    /** Finds out whether the runner at an address lives, after it has closed a connection; see LivenessCheck. */
    std::function<void(const wire::Address &, std::function<void(bool)>)> checkLiveness;
    /** The routing in force and how certain that is. */
    stages::RoutingKnowledge routing;
    /** Returns the time at which the last answers must be whole, once this process has been told to stop. */
    stages::StopStage::StopDeadline stopDeadline;
};

}
