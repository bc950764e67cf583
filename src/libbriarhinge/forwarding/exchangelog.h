#pragma once

#include "dispatch/loadbalancer.h"
#include "logging/eventlog.h"
#include "metrics/exchangemetrics.h"
#include "requests/exchangerecord.h"

#include <string>

namespace briarhinge::forwarding
{

/** Writes log lines and updates metrics for exchanges. */
class ExchangeLog
{
public:
    /**
     * @param log receives the log lines
     * @param metrics receives the measurements
     */
    ExchangeLog(logging::EventLog &log, metrics::ExchangeMetrics &metrics);

    /**
     * Records the end of an exchange.
     *
     * @param record details of the exchange
     * @param outcome its result
     * @param status HTTP status sent to the caller, 0 when none was sent
     */
    void ended(const requests::ExchangeRecord &record, requests::Outcome outcome, unsigned status);

    /**
     * Records a failed attempt to run a request.
     *
     * @param record details of the exchange
     * @param placement runner of the attempt
     * @param reason why it failed; the text before the first colon becomes a metric label
     */
    void attemptFailed(const requests::ExchangeRecord &record, const dispatch::Placement &placement,
                       const std::string &reason);

    /**
     * Records that a request is sent to a second runner while the first one has not answered.
     *
     * @param record details of the exchange
     * @param first runner of the first try
     * @param second runner of the second try
     * @param waited time since the request arrived
     */
    void secondTry(const requests::ExchangeRecord &record, const dispatch::Placement &first,
                   const dispatch::Placement &second, base::Milliseconds waited);

private:
    logging::EventLog &m_log;
    metrics::ExchangeMetrics &m_metrics;
};

}
