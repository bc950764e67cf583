#pragma once

#include "api/clientrequest.h"
#include "core/step.h"
#include "frames_generated.h"

namespace briarhinge::wire
{

/** @return message that runs a call on an upstream */
ExecuteCallT toWire(const core::DispatchCall &call);

/** @return the call of a message */
core::DispatchCall fromWire(const ExecuteCallT &call);

/** @return message that ends a call with an outcome */
CallResultT toWire(const core::Outcome &outcome);

/** @return the outcome of a message */
core::Outcome fromWire(const CallResultT &result);

/** @return message that forwards a client's request to the owner of its program */
ClientRequestT toWire(const api::ClientRequest &request);

/** @return the client's request of a message */
api::ClientRequest fromWire(const ClientRequestT &request);

/** @return message that ends a forwarded request */
ClientReplyT toWire(const api::ClientReply &reply);

/** @return the reply of a message */
api::ClientReply fromWire(const ClientReplyT &reply);

}
