#pragma once

#include "base/digest.h"
#include "base/ids.h"
#include "base/units.h"

#include <optional>
#include <string>

namespace briarhinge::core
{

/** Type of the upstream that a call needs. */
enum class CallKind {
    Model,
    Tool,
};

/** One call of a program, as requested by its caller. */
struct CallRequest
{
    base::CallNumber number;
    CallKind kind = CallKind::Model;
    /** Name of the model or tool. */
    base::TargetName target;
    /** The new input of this turn. */
    std::string input;
    /** Whether the call can safely run more than once; always true for model calls. */
    bool idempotent = true;
    /** Maximum number of tokens to generate. */
    base::Tokens maxTokens;
    /** Maximum price. */
    base::MicroMoney maxCost;
    /** Digest of the history that this call extends; absent only for the first call. */
    std::optional<base::Digest> extends;

    bool operator==(const CallRequest &) const = default;
};

/**
 * Computes the digest of the fields that determine what a call does. It distinguishes a retry of a call from a
 * different call under the same number.
 *
 * @param request the call
 * @return the digest
 */
base::Digest bodyDigest(const CallRequest &request);

}
