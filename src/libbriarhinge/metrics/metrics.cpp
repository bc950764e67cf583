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
    {
    }

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &requests;
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

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(d->registry.Collect());
}

}
