#pragma once

#include "base/digest.h"
#include "base/ids.h"
#include "base/units.h"

#include <optional>
#include <string>

namespace briarhinge::core
{

/** What a call asks for. */
enum class CallKind {
    Model,
    Tool,
};

/** One call of a program as its caller asked for it. */
struct CallRequest
{
    base::CallNumber number;
    CallKind kind = CallKind::Model;
    /** The model or the tool. */
    base::TargetName target;
    /** The new input of this turn. */
    std::string input;
    /** Whether running it twice does no harm; always true of model calls. */
    bool idempotent = true;
    /** Upper bound of the tokens to generate. */
    base::Tokens maxTokens;
    /** Upper bound of the price. */
    base::MicroMoney maxCost;
    /** Digest of the history that this call extends; absent only on the first call. */
    std::optional<base::Digest> extends;

    bool operator==(const CallRequest &) const = default;
};

/**
 * @param request the call
 * @return the digest of all that decides what the call does, so that asking again can be told from another call
 */
base::Digest bodyDigest(const CallRequest &request);

}
