#include "metrics/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace briarhinge::metrics
{

class Metrics::Private
{
public:
    Private()
        : requests(prometheus::BuildCounter()
                       .Name("briarhinge_requests_total")
                       .Help("Callers' requests by HTTP status.")
                       .Register(registry))
        , violations(prometheus::BuildCounter()
                         .Name("briarhinge_invariant_violations_total")
                         .Help("Broken invariants; more than 0 means that a promise is broken.")
                         .Register(registry)
                         .Add({}))
    {
    }

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &requests;
    prometheus::Counter &violations;
};

Metrics::Metrics()
    : d(std::make_unique<Private>())
{
}

Metrics::~Metrics() = default;

void Metrics::requestAnswered(std::uint16_t status)
{
    d->requests.Add({{"status", std::to_string(status)}}).Increment();
}

void Metrics::invariantViolated()
{
    d->violations.Increment();
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(d->registry.Collect());
}

}
