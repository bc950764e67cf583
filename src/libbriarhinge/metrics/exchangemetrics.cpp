#include "metrics/exchangemetrics.h"

#include <map>
#include <utility>

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace briarhinge::metrics
{

namespace
{

/** Bucket bounds in seconds, chosen around the latency targets of 0.15 to 0.6 s and the timeouts of 1.2 to 5 s. */
const prometheus::Histogram::BucketBoundaries latencyBounds{0.01, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5,
                                                            0.75, 1,    1.5, 2,    3,   5};
/** Accounts with a time series of their own. */
constexpr std::size_t maxAccountLabels = 200;

}

class ExchangeMetrics::Private
{
public:
    using Labels = std::pair<std::string, std::string>;

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &requests = prometheus::BuildCounter()
                                                            .Name("briarhinge_requests_total")
                                                            .Help("Callers' requests by route and outcome")
                                                            .Register(registry);
    prometheus::Family<prometheus::Counter> &attempts = prometheus::BuildCounter()
                                                            .Name("briarhinge_attempts_failed_total")
                                                            .Help("Attempts at runners that came to nothing")
                                                            .Register(registry);
    prometheus::Counter &leavingRunners = prometheus::BuildCounter()
                                              .Name("briarhinge_leaving_runners_total")
                                              .Help("Runners that said in an answer that they leave")
                                              .Register(registry)
                                              .Add({});
    prometheus::Counter &limitChanges = prometheus::BuildCounter()
                                            .Name("briarhinge_runner_limit_changes_total")
                                            .Help("Changes of the limits that runners name in their answers")
                                            .Register(registry)
                                            .Add({});
    prometheus::Family<prometheus::Counter> &checks = prometheus::BuildCounter()
                                                          .Name("briarhinge_runner_checks_total")
                                                          .Help("Checks of runners after lost connections")
                                                          .Register(registry);
    prometheus::Family<prometheus::Counter> &secondTries = prometheus::BuildCounter()
                                                               .Name("briarhinge_second_tries_total")
                                                               .Help("Second tries of requests that may be repeated")
                                                               .Register(registry);
    prometheus::Family<prometheus::Counter> &capsExceeded = prometheus::BuildCounter()
                                                                .Name("briarhinge_cap_exceeded_total")
                                                                .Help("Requests beyond their account's quota")
                                                                .Register(registry);
    prometheus::Family<prometheus::Counter> &turnedAway =
        prometheus::BuildCounter()
            .Name("briarhinge_callers_turned_away_total")
            .Help("Callers without room for their connection or request")
            .Register(registry);
    std::map<std::string, prometheus::Counter *, std::less<>> capCounters;
    prometheus::Family<prometheus::Histogram> &latencies = prometheus::BuildHistogram()
                                                               .Name("briarhinge_request_seconds")
                                                               .Help("Time to the end of the answer")
                                                               .Register(registry);
    std::map<Labels, prometheus::Counter *> requestCounters;
    std::map<Labels, prometheus::Counter *> attemptCounters;
    std::map<std::string, prometheus::Histogram *, std::less<>> histograms;
};

ExchangeMetrics::ExchangeMetrics()
    : d(std::make_unique<Private>())
{
}

ExchangeMetrics::~ExchangeMetrics() = default;

void ExchangeMetrics::requestFinished(std::string_view route, std::string_view outcome, base::Milliseconds latency)
{
    prometheus::Counter *&counter = d->requestCounters[{std::string(route), std::string(outcome)}];
    if (counter == nullptr) {
        counter = &d->requests.Add({{"route", std::string(route)}, {"outcome", std::string(outcome)}});
    }
    counter->Increment();
    auto histogram = d->histograms.find(route);
    if (histogram == d->histograms.end()) {
        auto &added = d->latencies.Add({{"route", std::string(route)}}, latencyBounds);
        histogram = d->histograms.emplace(route, &added).first;
    }
    histogram->second->Observe(std::chrono::duration<double>(latency).count());
}

void ExchangeMetrics::attemptFailed(std::string_view route, std::string_view reason)
{
    prometheus::Counter *&counter = d->attemptCounters[{std::string(route), std::string(reason)}];
    if (counter == nullptr) {
        counter = &d->attempts.Add({{"service", std::string(route)}, {"reason", std::string(reason)}});
    }
    counter->Increment();
}

void ExchangeMetrics::runnerChecked(std::string_view result)
{
    // Add() returns the existing counter for known labels.
    d->checks.Add({{"result", std::string(result)}}).Increment();
}

void ExchangeMetrics::runnerLeft()
{
    d->leavingRunners.Increment();
}

void ExchangeMetrics::runnerLimitChanged()
{
    d->limitChanges.Increment();
}

void ExchangeMetrics::secondTry(std::string_view result)
{
    d->secondTries.Add({{"result", std::string(result)}}).Increment();
}

void ExchangeMetrics::capExceeded(std::string_view account)
{
    auto counter = d->capCounters.find(account);
    if (counter == d->capCounters.end()) {
        const std::string label(d->capCounters.size() < maxAccountLabels ? account : "other");
        counter = d->capCounters.emplace(label, &d->capsExceeded.Add({{"account", label}})).first;
    }
    counter->second->Increment();
}

void ExchangeMetrics::callersTurnedAway(std::string_view reason, std::size_t count)
{
    d->turnedAway.Add({{"reason", std::string(reason)}}).Increment(static_cast<double>(count));
}

std::string ExchangeMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(d->registry.Collect());
}

}
