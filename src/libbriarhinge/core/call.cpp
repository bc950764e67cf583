#include "core/call.h"

namespace briarhinge::core
{

base::Digest bodyDigest(const CallRequest &request)
{
    return base::computeDigest({request.kind == CallKind::Model ? "model" : "tool", request.target.value(),
                                request.input, request.idempotent ? "idempotent" : "once",
                                std::to_string(request.maxTokens.value()), std::to_string(request.maxCost.value())});
}

}
